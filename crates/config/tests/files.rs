//! Files as operators write them: bad ones are refused at load with every error, its line, and the
//! rule that it breaks.

use chalkwalk_config::{explain, format_errors, read};
use chalkwalk_limits::{Idempotency, Namespace, PlatformLimits, RequestAttributes};
use chalkwalk_time::Span;
use expect_test::expect;

fn platform_limits() -> PlatformLimits {
    let namespace = |name: &str, idempotency, limit| Namespace {
        name: name.into(),
        time_limit: limit,
        latency_objective: limit / 2,
        idempotency,
        dedup_window: Span::from_ticks(15_000),
    };
    PlatformLimits {
        max_attempts: 6,
        hedging: true,
        connect_time: Span::from_ticks(1000),
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

/// The errors of each file, one after the other; `version = 1` goes ahead of all, and `[end]`
/// after.
fn refused(files: &[&str]) -> String {
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
fn each_bad_file_is_refused_with_its_line_and_the_rule_it_breaks() {
    let class =
        |name: &str, limits: &str| format!("[[class]]\nnamespace = '{name}'\n[class.limits]\n{limits}\n");
    let route =
        |when: &str, limits: &str| format!("[[route]]\nname = 'r'\n{when}\n[route.limits]\n{limits}\n");
    let files = [
        // What would run a request twice.
        class("record", "second_copies = true"),
        class("once", "second_copies = true"),
        "[defaults]\nsecond_copies = true".into(),
        class("record", "most_shots = 3\nshot_wait_ms = 700"),
        class("record", "most_shots = 3"),
        // What the platform does not allow.
        class("page", "most_shots = 7"),
        "[defaults]\nmost_shots = 9".into(),
        class("page", "time_limit_ms = 1500"),
        class("page", "longest_body = 70000"),
        // What contradicts itself, or makes no sense.
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
        // Names that are not known, or twice.
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
        // With what clients do by themselves.
        "[clients]\ntries = 3\namplification = 6.0".into(),
        "[defaults]\nfurther_shots = 0.5\n[clients]\ntries = 3\namplification = 4.0".into(),
        "[clients]\ntries = 0\namplification = 6.0".into(),
        // Where the endpoint list comes from.
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
        // No file of this form.
        "[default]\nopen = 9".into(),
        "[defaults]\nretries = 9".into(),
        "[defaults]\nopen = 'many'".into(),
        "[defaults]\nopen = ".into(),
        class("page", "most_shots = 9\ntime_limit_ms = 9000\nopen = 0\ntarget_ms = 0"),
    ];
    let files: Vec<&str> = files.iter().map(String::as_str).collect();
    assert!(files.len() >= 30);
    let output =
        refused(&files) + &format_errors("f", &read("version = 2\n[end]", &platform_limits()).unwrap_err());
    assert!(!output.contains("ACCEPTED"), "{output}");
    expect![[r#"
        f:5: record: hedging a tagged request would run it twice
        f:5: once: hedging a single-use request would run it twice
        f:3: once: hedging a single-use request would run it twice
        f:3: record: hedging a tagged request would run it twice
        f:6: record: 3 attempts of 800 ms each, connecting included, do not end within the time limit of 2000 ms
        f:6: record: the last attempt may start 1600 ms after the first, and servers drop repeats for 1500 ms only
        f:5: record: servers drop repeats for 1500 ms only, and the last attempt may start later: set shot_wait_ms, a shorter time limit or most_shots = 1
        f:5: page: 7 attempts are more than the 6 that the platform allows
        f:3: once: 9 attempts are more than the 6 that the platform allows
        f:3: page: 9 attempts are more than the 6 that the platform allows
        f:3: record: 9 attempts are more than the 6 that the platform allows
        f:3: record: servers drop repeats for 1500 ms only, and the last attempt may start later: set shot_wait_ms, a shorter time limit or most_shots = 1
        f:5: page: a time limit of 1500 ms is above the platform's 1000 ms
        f:5: page: a body of 70000 bytes is above the platform's 65536
        f:6: page: 4 attempts of 300 ms each, connecting included, do not end within the time limit of 1000 ms
        f:5: page: an attempt timeout of 1200 ms is above the time limit of 1000 ms
        f:6: page: the target time of 900 ms is above the time limit of 800 ms
        f:5: time_limit_ms is below 1 ms, in which no answer comes
        f:5: time_limit_ms is below 1 ms, in which no answer comes
        f:5: most_shots is 0, and nothing would be served
        f:5: open is 0, and nothing would be served
        f:6: page: a hedged request is a second attempt, and most_shots is 1
        f:6: page: copies_after is set, and hedged requests are not allowed
        f:5: copies_after is a share of the answers, from 0.5 to 0.999
        f:5: copies_after is a share of the answers, from 0.5 to 0.999
        f:6: page: further_shots is more than the 1 that most_shots leaves
        f:5: further_shots is a share of the first attempts, from 0 to 5
        f:5: page: further_shots is more than the 5 that most_shots leaves
        f:3: class "pages" is no namespace of the platform
        f:7: class "page" is there twice
        f:2: route r: "pages" is no namespace of the platform
        f:2: route r: "nord" is no tenant of the platform
        f:2: route r: there is no frontend "gopher", only http
        f:2: route r: a path begins with /
        f:7: two routes are named r
        f:7: route s can never match: route r matches all that it would
        f:7: route s can never match: route r matches all that it would
        f:4: once: 3 tries of a client with 6 attempts each come to 18, and 6 is the most that was stated: set further_shots
        f:4: page: 3 tries of a client with 6 attempts each come to 18, and 6 is the most that was stated: set further_shots
        f:4: record: 3 tries of a client with 6 attempts each come to 18, and 6 is the most that was stated: set further_shots
        f:6: once: 3 tries of a client with 1.5 attempts each come to 4.5, and 4 is the most that was stated: set further_shots
        f:6: page: 3 tries of a client with 1.5 attempts each come to 4.5, and 4 is the most that was stated: set further_shots
        f:6: record: 3 tries of a client with 1.5 attempts each come to 4.5, and 4 is the most that was stated: set further_shots
        f:3: tries counts the first one: it is 1 at the least
        f:3: there is no source "stars", only file and etcd
        f:2: endpoints, prefix and count are for the source "etcd"
        f:2: the source "file" needs a file
        f:2: file is for the source "file"
        f:2: the source "etcd" needs 1 to 9 endpoints
        f:5: a prefix is ASCII and begins with /
        f:6: lease_s is from 3 to 60
        f:4: "127.0.0.1" is no address with a port
        f:4: "localhost:2379" is no address with a port
        f:2: resp needs 1 to 4096 seeds, and has as many instances at the most
        f:3: "a" is no address with a port
        f:5: "pages" is no namespace of the platform
        f:6: "x" is no namespace of the platform
        f:2: no instance answers for slot 100
        f:2: no instance is at the address that this one listens on
        f:12: a secret is written as sha256: and 64 hexadecimal digits
        f:2: no instance answers for slot 1
        f:9: slots are FIRST-LAST, from 0 to 16383
        f:2: capture keeps two segments at the least, of 1 MB or more each
        f:2: unknown field `default`, expected one of `version`, `defaults`, `class`, `route`, `clients`, `membership`, `resp`, `capture`, `end`
        f:3: unknown field `retries`, expected one of `time_limit_ms`, `target_ms`, `most_shots`, `shot_wait_ms`, `second_copies`, `copies_after`, `further_shots`, `open`, `longest_body`
        f:3: invalid type: string "many", expected u64
        f:3: string values must be quoted, expected literal string
        f:5: page: 9 attempts are more than the 6 that the platform allows
        f:6: page: a time limit of 9000 ms is above the platform's 1000 ms
        f:7: open is 0, and nothing would be served
        f:8: target_ms is below 1 ms, in which no answer comes
        f:1: version 2 is not known; this program reads version 1"#]].assert_eq(&output);
}

#[test]
fn the_narrowest_scope_that_sets_a_limit_applies_and_is_named() {
    let text = "version = 1\n[defaults]\nopen = 100\n[[class]]\nnamespace = 'page'\n[class.limits]\nmost_shots = 4\n\
                open = 50\n[[route]]\nname = 'kiosk'\npath = '/kiosk/'\n[route.limits]\nopen = 5\n[end]\n";
    let table = read(text, &platform_limits()).expect("a good file").limits;
    let output = ["/kiosk/a", "/a"]
        .map(|path| explain(&table, RequestAttributes { namespace: 0, path, tenant: "", frontend: "http" }));
    expect![[r#"
        route kiosk
        time limit       1000 ms                  the platform
        target time      500 ms                   the platform
        max attempts     4                        line 7, class page
        attempt timeout  up to the time limit     the platform
        hedging          allowed                  the platform
        hedge after      silence or loss alone    the platform
        retry budget     the shared budget        the platform
        max in flight    5                        line 13, route kiosk
        max body         65536 bytes              the platform
        no route matches
        time limit       1000 ms                  the platform
        target time      500 ms                   the platform
        max attempts     4                        line 7, class page
        attempt timeout  up to the time limit     the platform
        hedging          allowed                  the platform
        hedge after      silence or loss alone    the platform
        retry budget     the shared budget        the platform
        max in flight    50                       line 8, class page
        max body         65536 bytes              the platform
    "#]]
    .assert_eq(&output.concat());
}

#[test]
fn the_example_is_accepted_with_the_testbeds_platform() {
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
fn a_file_that_is_cut_short_anywhere_is_refused() {
    let text = include_str!("../../../deploy/operator.toml");
    let mut platform_limits = platform_limits();
    platform_limits
        .namespaces
        .insert(1, Namespace { name: "chunk".into(), ..platform_limits.namespaces[0].clone() });
    let end = text.rfind("[end]").expect("an end") + "[end]".len();
    let accepted: Vec<usize> = (0..end)
        .filter(|cut| text.is_char_boundary(*cut))
        .filter(|cut| read(&text[..*cut], &platform_limits).is_ok())
        .collect();
    assert_eq!(accepted, [0usize; 0]);
    assert!(read(&text[..end], &platform_limits).is_ok());
}
