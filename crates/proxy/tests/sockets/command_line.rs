//! The command line, the operator's file, the log, and failing starts.

use super::*;

const SHORTER_LIMITS: &str = "version = 1\n[[class]]\nnamespace = 'page'\n[class.limits]\ntime_limit_ms = 500\ntarget_ms = 400\n[end]\n";

#[test]
fn a_reload_that_tightens_a_class_applies_to_open_requests_and_an_invalid_one_changes_nothing() {
    let operator = unique_path();
    std::fs::write(&operator, "version = 1\n[end]").unwrap();
    let hang: ServerScript = |_| ("", false);
    let shell_prefix = format!("EXTRA_ARGS='--operator {operator}';");
    let setup =
        ProxySetup::with_options(&[("a", hang)], 1024, &shell_prefix, |entries| vec![full_list(2, entries)]);
    let mut client = setup.client();
    let started = Instant::now();
    setup.send_request(&mut client, "GET", "once", "k");
    let mut other = setup.client();
    setup.send_request(&mut other, "GET", "page", "k");
    sleep(Duration::from_millis(100));
    std::fs::write(&operator, SHORTER_LIMITS).unwrap();
    setup.signal("-HUP");
    setup.record_response(&mut other);
    setup.observed.record(format!(
        "class with the shorter limit answered within 0.9 s: {}",
        started.elapsed() < Duration::from_millis(900)
    ));
    // A truncated file and one that contradicts the platform's settings are rejected: the previous
    // file stays in force.
    for rejected in [&SHORTER_LIMITS[..40], "version = 1\n[defaults]\nmost_shots = 50\n[end]"] {
        std::fs::write(&operator, rejected).unwrap();
        setup.signal("-HUP");
        sleep(Duration::from_millis(50));
    }
    let resent_at = Instant::now();
    setup.request(&mut other, "GET", "page", "k");
    setup.observed.record(format!(
        "still within 0.9 s after rejected files: {}",
        resent_at.elapsed() < Duration::from_millis(900)
    ));
    setup.record_response(&mut client);
    setup.observed.record(format!(
        "class without a new limit keeps its own: {}",
        started.elapsed() > Duration::from_millis(1300)
    ));
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        a: GET /api/k?part=1
        client: 503 Retry-After
        class with the shorter limit answered within 0.9 s: true
        a: GET /api/k?part=1
        client: 503 Retry-After
        still within 0.9 s after rejected files: true
        client: 500
        class without a new limit keeps its own: true
    "#]]);
}

#[test]
fn the_json_log_has_one_object_per_line() {
    let (list, addr) = bind_listener();
    drop(list);
    let mut child = run(&configuration(unique_address(), addr, &[], 64), "EXTRA_ARGS='--log json';");
    sleep(Duration::from_millis(300));
    Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    child.wait().unwrap();
    let mut output = String::new();
    child.stderr.take().unwrap().read_to_string(&mut output).unwrap();
    let lines: Vec<Value> = output.lines().map(|l| serde_json::from_str(l).expect(l)).collect();
    let describe = |event: &str| {
        let line = lines.iter().find(|l| l["event"] == event).expect(event);
        let mut names: Vec<&str> = line.as_object().unwrap().keys().map(String::as_str).collect();
        names.sort();
        format!("{event} of {}: {}\n", line["proxy"], names.join(" "))
    };
    expect![[r#"
        serving of "p": at_ms event level listen proxy
        discovery call failed of "p": at_ms call event fault level proxy took_ms unheard_ms version
        draining of "p": at_ms event level open proxy succeeded
        stopped of "p": at_ms event left_waiting level proxy violations withheld
    "#]]
    .assert_eq(&["serving", "discovery call failed", "draining", "stopped"].map(describe).concat());
}

#[test]
fn an_operators_file_is_checked_with_the_configuration_and_explained() {
    let (config, operator) = (unique_path(), unique_path());
    let addr = unique_address();
    std::fs::write(&config, configuration(addr, addr, &[], 64).to_string()).unwrap();
    let mut output = String::new();
    let mut run_command = |file: &str, args: &[&str]| {
        std::fs::write(&operator, file).unwrap();
        let args = [args, &["--config", &config, "--operator", &operator]].concat();
        let out = command(&args);
        let text = [out.stdout, out.stderr].map(|o| String::from_utf8_lossy(&o).to_string()).concat();
        output += &format!("{}\n{}", out.status, text.replace(&operator, "FILE"));
    };
    run_command(SHORTER_LIMITS, &["check"]);
    run_command("version = 1\n[defaults]\nmost_shots = 50\nopen = 0\n[end]", &["check"]);
    run_command(SHORTER_LIMITS, &["explain", "--namespace", "page", "--route", "/api/k"]);
    run_command(SHORTER_LIMITS, &["explain", "--namespace", "pages"]);
    expect![[r#"
        exit status: 0
        p: configuration is valid
        exit status: 2
        chalkwalk: FILE:3: once: 50 attempts are more than the 4 that the platform allows
        FILE:3: page: 50 attempts are more than the 4 that the platform allows
        FILE:4: open is 0, so no request would be served
        exit status: 0
        no route matches
        time limit       500 ms                   line 5, class page
        target time      400 ms                   line 6, class page
        max attempts     4                        the platform
        attempt timeout  up to the time limit     the platform
        hedging          allowed                  the platform
        hedge after      silence or loss only     the platform
        retry budget     the shared budget        the platform
        max in flight    no limit                 the platform
        max body         33554432 bytes           the platform
        exit status: 2
        chalkwalk: unknown namespace "pages"; known namespaces: page, once
    "#]]
    .assert_eq(&output);
}

/// Returns the exit status and the error output of a process that fails to start.
fn outcome(mut child: Child) -> String {
    let mut output = String::new();
    child.stderr.take().unwrap().read_to_string(&mut output).unwrap();
    format!("{} {output}", child.wait().unwrap())
}

fn command(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chalkwalk")).args(args).env_remove("ROUTER_CONFIG").output().unwrap()
}

#[test]
fn a_failing_start_prints_one_line_and_exits_with_2() {
    let (occupied, addr) = bind_listener();
    let mut lines = Vec::new();
    let mut invalid = configuration(addr, addr, &[], 64);
    lines.push(outcome(run(&invalid, "")).replace(&addr.to_string(), "ADDRESS"));
    drop(occupied);
    invalid["settings"]["ceilings"]["mostShots"] = json!("many");
    lines.push(outcome(run(&invalid, "")));
    for args in [&[][..], &["serve"], &["check", "--config", "/nowhere"], &["srve"], &["check", "--all"]] {
        let out = command(args);
        lines.push(format!("{} {}", out.status, String::from_utf8_lossy(&out.stderr)));
    }
    expect![[r#"
        exit status: 2 chalkwalk: cannot listen on ADDRESS: Address already in use (os error 98)
        exit status: 2 chalkwalk: setting ceilings.mostShots: expected a number, got "many"
        exit status: 2 chalkwalk: no command; chalkwalk --help lists them
        exit status: 2 chalkwalk: no configuration: give --config FILE or set ROUTER_CONFIG
        exit status: 2 chalkwalk: cannot read /nowhere: No such file or directory (os error 2)
        exit status: 2 chalkwalk: unknown command srve; chalkwalk --help lists them
        exit status: 2 chalkwalk: no configuration: give --config FILE or set ROUTER_CONFIG
    "#]]
    .assert_eq(&lines.concat());
}
