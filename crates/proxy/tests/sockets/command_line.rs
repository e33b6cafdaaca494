//! The command line, the operator's file, the log, and starts that fail.

use super::*;

const SHORTER: &str = "version = 1\n[[class]]\nnamespace = 'page'\n[class.limits]\ntime_limit_ms = 500\ntarget_ms = 400\n[end]\n";

#[test]
fn a_reload_that_tightens_a_class_holds_for_what_is_open_and_a_bad_one_changes_nothing() {
    let operator = a_file();
    std::fs::write(&operator, "version = 1\n[end]").unwrap();
    let hang: ServerScript = |_| ("", false);
    let before = format!("MORE='--operator {operator}';");
    let setup = ProxySetup::with(&[("a", hang)], 1024, &before, |lines| vec![whole(2, lines)]);
    let mut client = setup.client();
    let begun = Instant::now();
    setup.write(&mut client, "GET", "once", "k");
    let mut other = setup.client();
    setup.write(&mut other, "GET", "page", "k");
    sleep(Duration::from_millis(100));
    std::fs::write(&operator, SHORTER).unwrap();
    setup.signal("-HUP");
    setup.record_response(&mut other);
    setup.observed.record(format!(
        "the tightened class within 0.9 s: {}",
        begun.elapsed() < Duration::from_millis(900)
    ));
    // Written in halves, and against the platform's settings: the one before holds.
    for bad in [&SHORTER[..40], "version = 1\n[defaults]\nmost_shots = 50\n[end]"] {
        std::fs::write(&operator, bad).unwrap();
        setup.signal("-HUP");
        sleep(Duration::from_millis(50));
    }
    let again = Instant::now();
    setup.ask(&mut other, "GET", "page", "k");
    setup.observed.record(format!("and so it stays: {}", again.elapsed() < Duration::from_millis(900)));
    setup.record_response(&mut client);
    setup
        .observed
        .record(format!("the other as promised: {}", begun.elapsed() > Duration::from_millis(1300)));
    setup.assert_observed(expect![[r#"
        a: GET /api/k?part=1
        a: GET /api/k?part=1
        client: 503 Retry-After
        the tightened class within 0.9 s: true
        a: GET /api/k?part=1
        client: 503 Retry-After
        and so it stays: true
        client: 500
        the other as promised: true
    "#]]);
}

#[test]
fn the_log_is_a_json_object_a_line_where_that_is_asked_for() {
    let (list, addr) = a_listener();
    drop(list);
    let mut child = run(&configuration(own_address(), addr, &[], 64), "MORE='--log json';");
    sleep(Duration::from_millis(300));
    Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    child.wait().unwrap();
    let mut output = String::new();
    child.stderr.take().unwrap().read_to_string(&mut output).unwrap();
    let lines: Vec<Value> = output.lines().map(|l| serde_json::from_str(l).expect(l)).collect();
    let seen = |event: &str| {
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
    .assert_eq(&["serving", "discovery call failed", "draining", "stopped"].map(seen).concat());
}

#[test]
fn an_operators_file_is_checked_with_the_configuration_and_explained() {
    let (config, operator) = (a_file(), a_file());
    let addr = own_address();
    std::fs::write(&config, configuration(addr, addr, &[], 64).to_string()).unwrap();
    let mut output = String::new();
    let mut run_command = |file: &str, args: &[&str]| {
        std::fs::write(&operator, file).unwrap();
        let args = [args, &["--config", &config, "--operator", &operator]].concat();
        let out = command(&args);
        let text = [out.stdout, out.stderr].map(|o| String::from_utf8_lossy(&o).to_string()).concat();
        output += &format!("{}\n{}", out.status, text.replace(&operator, "FILE"));
    };
    run_command(SHORTER, &["check"]);
    run_command("version = 1\n[defaults]\nmost_shots = 50\nopen = 0\n[end]", &["check"]);
    run_command(SHORTER, &["explain", "--namespace", "page", "--route", "/api/k"]);
    run_command(SHORTER, &["explain", "--namespace", "pages"]);
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

/// How a start ends that is wrong, and what it says.
fn outcome(mut child: Child) -> String {
    let mut output = String::new();
    child.stderr.take().unwrap().read_to_string(&mut output).unwrap();
    format!("{} {output}", child.wait().unwrap())
}

fn command(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chalkwalk")).args(args).env_remove("ROUTER_CONFIG").output().unwrap()
}

#[test]
fn a_wrong_start_is_one_plain_line_and_exit_2() {
    let (taken, addr) = a_listener();
    let mut lines = Vec::new();
    let mut wrong = configuration(addr, addr, &[], 64);
    lines.push(outcome(run(&wrong, "")).replace(&addr.to_string(), "ADDRESS"));
    drop(taken);
    wrong["settings"]["ceilings"]["mostShots"] = json!("many");
    lines.push(outcome(run(&wrong, "")));
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
