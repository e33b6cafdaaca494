//! Operators' files: invalid files are rejected with all of their errors, each with its line and
//! the rule that is violated.

use chalkwalk_config::{explain, format_errors, read};
use chalkwalk_limits::{DedupGroup, Idempotency, Namespace, PlatformLimits, RequestAttributes};
use chalkwalk_time::Span;
use expect_test::expect;

fn platform_limits() -> PlatformLimits {
    let namespace = |name: &str, idempotency, limit| Namespace {
        name: name.into(),
        time_limit: limit,
        latency_objective: limit / 2,
        idempotency,
        dedup_group: DedupGroup::All,
        dedup_window: Span::from_ticks(15_000),
        in_order: false,
    };
    PlatformLimits {
        max_attempts: 6,
        hedging: true,
        connect_timeout: Span::from_ticks(1000),
        max_body_bytes: 65_536,
        namespaces: vec![
            namespace("page", Idempotency::Replayable, Span::from_ticks(10_000)),
            namespace("record", Idempotency::Tagged, Span::from_ticks(20_000)),
            namespace("once", Idempotency::SingleUse, Span::from_ticks(20_000)),
        ],
        tenants: vec!["north".into()],
        frontends: vec!["http".into()],
    }
}

/// Reads each file between the lines `version = 1` and `[end]`, and returns the errors of all of
/// them.
fn errors_of(files: &[&str]) -> String {
    let output = files.iter().map(|file| {
        let text = format!("version = 1\n{file}\n[end]\n");
        match read(&text, &platform_limits()) {
            Ok(_) => format!("ACCEPTED: {file}\n"),
            Err(errors) => format_errors("f", &errors) + "\n",
        }
    });
    output.collect()
}

#[test]
fn invalid_files_are_rejected_with_the_line_and_the_rule_of_each_error() {
    let class =
        |name: &str, limits: &str| format!("[[class]]\nnamespace = '{name}'\n[class.limits]\n{limits}\n");
    let route =
        |when: &str, limits: &str| format!("[[route]]\nname = 'r'\n{when}\n[route.limits]\n{limits}\n");
    let files = [
        // Limits that could run a request twice.
        class("record", "second_copies = true"),
        class("once", "second_copies = true"),
        "[defaults]\nsecond_copies = true".into(),
        class("record", "most_shots = 3\nshot_wait_ms = 700"),
        class("record", "most_shots = 3"),
        // Limits that the platform does not allow.
        class("page", "most_shots = 7"),
        "[defaults]\nmost_shots = 9".into(),
        class("page", "time_limit_ms = 1500"),
        class("page", "longest_body = 70000"),
        // Limits that contradict each other, and invalid values.
        class("page", "most_shots = 4\nshot_wait_ms = 200"),
        class("page", "shot_wait_ms = 1200"),
        class("page", "target_ms = 900\ntime_limit_ms = 800"),
        class("page", "time_limit_ms = 0.5"),
        class("page", "time_limit_ms = -3"),
        class("page", "most_shots = 0"),
        class("page", "open = 0"),
        class("page", "most_shots = 1\ncopies_after = 0.9"),
        class("page", "second_copies = false\ncopies_after = 0.9"),
        class("page", "copies_after = 0.3"),
        class("page", "copies_after = 1.0"),
        class("page", "most_shots = 2\nfurther_shots = 1.5"),
        class("page", "further_shots = 9"),
        // Names that are unknown or defined twice.
        class("pages", "open = 9"),
        class("page", "open = 9") + &class("page", "open = 8"),
        route("namespace = 'pages'", "open = 9"),
        route("tenant = 'nord'", "open = 9"),
        route("door = 'gopher'", "open = 9"),
        route("path = 'api'", "open = 9"),
        route("path = '/a'", "") + &route("path = '/b'", ""),
        // Routes that can never match.
        route("path = '/api/'", "") + "[[route]]\nname = 's'\npath = '/api/books'\nnamespace = 'page'\n",
        route("", "open = 9") + "[[route]]\nname = 's'\ntenant = 'north'\n",
        // Retries that clients make on their own.
        "[clients]\ntries = 3\namplification = 6.0".into(),
        "[defaults]\nfurther_shots = 0.5\n[clients]\ntries = 3\namplification = 4.0".into(),
        "[clients]\ntries = 0\namplification = 6.0".into(),
        // The source of the endpoint list.
        "[membership]\nsource = 'stars'".into(),
        "[membership]\nsource = 'file'\nprefix = '/a/'".into(),
        "[membership]\nsource = 'etcd'\nfile = 'a'\nprefix = 'a'\nlease_s = 1".into(),
        "[membership]\nsource = 'etcd'\nendpoints = ['localhost:2379', '127.0.0.1']".into(),
        // The RESP frontend.
        "[resp]\nlisten = 'a'\nseeds = []\nnamespace = 'pages'\nstale_reads = ['x']".into(),
        "[resp]\nlisten = '127.0.0.1:1'\nseeds = ['127.0.0.1:2']\nnamespace = 'page'\n[[resp.instance]]\nname = 'a'\n\
         addr = '127.0.0.1:3'\nslots = '0-99'\n[[resp.user]]\nname = 'u'\nsecret = 'plain'".into(),
        "[resp]\nlisten = '127.0.0.1:1'\nseeds = ['127.0.0.1:2']\nnamespace = 'page'\n[[resp.instance]]\nname = 'a'\n\
         addr = '127.0.0.1:1'\nslots = '9-3'".into(),
        "[capture]\nfolder = '/tmp'\nsegment_mb = 8\nmost_mb = 9".into(),
        // Unknown tables and keys, values of the wrong type, and invalid TOML.
        "[default]\nopen = 9".into(),
        "[defaults]\nretries = 9".into(),
        "[defaults]\nopen = 'many'".into(),
        "[defaults]\nopen = ".into(),
        class("page", "most_shots = 9\ntime_limit_ms = 9000\nopen = 0\ntarget_ms = 0"),
    ];
    let files: Vec<&str> = files.iter().map(String::as_str).collect();
    assert!(files.len() >= 30);
    let output =
        errors_of(&files) + &format_errors("f", &read("version = 2\n[end]", &platform_limits()).unwrap_err());
    assert!(!output.contains("ACCEPTED"), "{output}");
    expect![[r#"
        f:5: record: hedging a tagged request could run it twice
        f:5: once: hedging a single-use request could run it twice
        f:3: once: hedging a single-use request could run it twice
        f:3: record: hedging a tagged request could run it twice
        f:6: record: 3 attempts of 800 ms each, including connection setup, do not end within the time limit of 2000 ms
        f:6: record: the last attempt may start 1600 ms after the first, but servers drop repeated requests for 1500 ms only
        f:5: record: servers drop repeated requests for 1500 ms only, but the last attempt may start later: set shot_wait_ms, a shorter time limit or most_shots = 1
        f:5: page: 7 attempts are more than the 6 that the platform allows
        f:3: once: 9 attempts are more than the 6 that the platform allows
        f:3: page: 9 attempts are more than the 6 that the platform allows
        f:3: record: 9 attempts are more than the 6 that the platform allows
        f:3: record: servers drop repeated requests for 1500 ms only, but the last attempt may start later: set shot_wait_ms, a shorter time limit or most_shots = 1
        f:5: page: a time limit of 1500 ms is above the platform's 1000 ms
        f:5: page: a maximum body of 70000 bytes is above the platform's 65536 bytes
        f:6: page: 4 attempts of 300 ms each, including connection setup, do not end within the time limit of 1000 ms
        f:5: page: an attempt timeout of 1200 ms is above the time limit of 1000 ms
        f:6: page: the target time of 900 ms is above the time limit of 800 ms
        f:5: time_limit_ms is below 1 ms, too short for any response
        f:5: time_limit_ms is below 1 ms, too short for any response
        f:5: most_shots is 0, so no request would be served
        f:5: open is 0, so no request would be served
        f:6: page: copies_after is set, but a hedged request is a second attempt and most_shots is 1
        f:6: page: copies_after is set, but hedged requests are not allowed
        f:5: copies_after must be a share of the responses from 0.5 to 0.999
        f:5: copies_after must be a share of the responses from 0.5 to 0.999
        f:6: page: further_shots is above 1, the number of retries that most_shots allows
        f:5: further_shots must be a share of the first attempts from 0 to 5
        f:5: page: further_shots is above 5, the number of retries that most_shots allows
        f:3: class "pages" is not a namespace of the platform
        f:7: class "page" is defined twice
        f:2: route r: "pages" is not a namespace of the platform
        f:2: route r: "nord" is not a tenant of the platform
        f:2: route r: unknown frontend "gopher", expected one of: http
        f:2: route r: the path does not begin with /
        f:7: two routes are named r
        f:7: route s can never match: the earlier route r matches all of its requests
        f:7: route s can never match: the earlier route r matches all of its requests
        f:4: once: 3 tries by a client with 6 attempts each make 18 attempts, more than the stated amplification of 6: set further_shots
        f:4: page: 3 tries by a client with 6 attempts each make 18 attempts, more than the stated amplification of 6: set further_shots
        f:4: record: 3 tries by a client with 6 attempts each make 18 attempts, more than the stated amplification of 6: set further_shots
        f:6: once: 3 tries by a client with 1.5 attempts each make 4.5 attempts, more than the stated amplification of 4: set further_shots
        f:6: page: 3 tries by a client with 1.5 attempts each make 4.5 attempts, more than the stated amplification of 4: set further_shots
        f:6: record: 3 tries by a client with 1.5 attempts each make 4.5 attempts, more than the stated amplification of 4: set further_shots
        f:3: tries is 0, but it includes the first request and must be at least 1
        f:3: unknown source "stars", expected file or etcd
        f:2: endpoints, prefix and count apply only to the source "etcd"
        f:2: the source "file" needs the key file
        f:2: file applies only to the source "file"
        f:2: the source "etcd" needs 1 to 9 endpoints
        f:5: prefix must be ASCII and begin with /
        f:6: lease_s must be from 3 to 60 seconds
        f:4: "127.0.0.1" is not an IP:port address
        f:4: "localhost:2379" is not an IP:port address
        f:2: resp needs 1 to 4096 seeds and at most 4096 instances
        f:3: "a" is not an IP:port address
        f:5: "pages" is not a namespace of the platform
        f:6: "x" is not a namespace of the platform
        f:2: no instance covers slot 100
        f:2: no instance has the address that this proxy listens on
        f:12: secret must be sha256: followed by 64 hexadecimal digits
        f:2: no instance covers slot 1
        f:9: slots must be FIRST-LAST, both from 0 to 16383
        f:2: segment_mb must be at least 1, and most_mb must hold at least two segments and at most 16 TiB
        f:2: unknown field `default`, expected one of `version`, `defaults`, `class`, `route`, `clients`, `membership`, `resp`, `capture`, `end`
        f:3: unknown field `retries`, expected one of `time_limit_ms`, `target_ms`, `most_shots`, `shot_wait_ms`, `second_copies`, `copies_after`, `further_shots`, `open`, `longest_body`
        f:3: invalid type: string "many", expected u64
        f:3: string values must be quoted, expected literal string
        f:5: page: 9 attempts are more than the 6 that the platform allows
        f:6: page: a time limit of 9000 ms is above the platform's 1000 ms
        f:7: open is 0, so no request would be served
        f:8: target_ms is below 1 ms, too short for any response
        f:1: version 2 is not known; this program reads version 1"#]].assert_eq(&output);
}

#[test]
fn the_narrowest_scope_that_sets_a_limit_applies_and_is_shown() {
    let text = "version = 1\n[defaults]\nopen = 100\n[[class]]\nnamespace = 'page'\n[class.limits]\nmost_shots = 4\n\
                open = 50\n[[route]]\nname = 'kiosk'\npath = '/kiosk/'\n[route.limits]\nopen = 5\n[end]\n";
    let table = read(text, &platform_limits()).expect("a valid file").limits;
    let output = ["/kiosk/a", "/a"]
        .map(|path| explain(&table, RequestAttributes { namespace: 0, path, tenant: "", frontend: "http" }));
    expect![[r#"
        route kiosk
        time limit       1000 ms                  the platform
        target time      500 ms                   the platform
        max attempts     4                        line 7, class page
        attempt timeout  up to the time limit     the platform
        hedging          allowed                  the platform
        hedge after      silence or loss only     the platform
        retry budget     the shared budget        the platform
        max in flight    5                        line 13, route kiosk
        max body         65536 bytes              the platform
        no route matches
        time limit       1000 ms                  the platform
        target time      500 ms                   the platform
        max attempts     4                        line 7, class page
        attempt timeout  up to the time limit     the platform
        hedging          allowed                  the platform
        hedge after      silence or loss only     the platform
        retry budget     the shared budget        the platform
        max in flight    50                       line 8, class page
        max body         65536 bytes              the platform
    "#]]
    .assert_eq(&output.concat());
}

#[test]
fn the_example_file_is_accepted_with_the_testbeds_namespaces() {
    let text = include_str!("../../../deploy/operator.toml");
    let mut platform_limits = platform_limits();
    platform_limits
        .namespaces
        .insert(1, Namespace { name: "chunk".into(), ..platform_limits.namespaces[0].clone() });
    platform_limits.namespaces.truncate(3);
    if let Err(errors) = read(text, &platform_limits) {
        panic!("{}", format_errors("deploy/operator.toml", &errors));
    }
}

#[test]
fn a_file_truncated_at_any_byte_is_rejected() {
    let text = include_str!("../../../deploy/operator.toml");
    let mut platform_limits = platform_limits();
    platform_limits
        .namespaces
        .insert(1, Namespace { name: "chunk".into(), ..platform_limits.namespaces[0].clone() });
    let end = text.rfind("[end]").expect("an end") + "[end]".len();
    let accepted: Vec<usize> = (0..end)
        .filter(|length| text.is_char_boundary(*length))
        .filter(|length| read(&text[..*length], &platform_limits).is_ok())
        .collect();
    assert_eq!(accepted, [0usize; 0]);
    assert!(read(&text[..end], &platform_limits).is_ok());
}
