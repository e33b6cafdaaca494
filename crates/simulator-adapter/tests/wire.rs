//! The adapter as a process: lines of the wire in, replies out. What it writes is read by the simulator, and never changes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter over these lines.
fn run(lines: &[&str]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_chalkwalk-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // It may end at a malformed line before it has read the rest.
    _ = adapter.stdin.take().unwrap().write_all((lines.join("\n") + "\n").as_bytes());
    adapter.wait_with_output().unwrap()
}

const UP: &str = r#"{"tsNs": 0, "groups": [{"happened": [{"kind": "INVENTORY", "buffer": 1, "entries": [
    {"node": "amber", "dc": "north", "model": "box", "state": "in_service"}]}]},
    {"proxy": 3, "happened": [{"kind": "UP", "randomSeed": 7, "options": {"az": "north", "zones": ["north"],
    "kinds": ["box"], "namespaces": [{"name": "books", "idempotency": "single_shot", "timeLimitNs": 2000000000}],
    "ceilings": {"mostShots": 1}, "discovery": "push"}},
    {"kind": "MEMBERS", "scope": "Complete", "buffer": 1}]}]}"#;

fn up() -> String {
    UP.replace('\n', " ")
}

#[test]
fn a_request_is_sent_and_what_its_failure_changes_is_remarked() {
    let request = r#"{"tsNs": 1000000, "groups": [{"proxy": 3, "happened": [{"kind": "KNOCK", "req": 40,
        "service": "books", "routeKey": "k", "expiresNs": 2001000000, "retry": false, "isWrite": false}]}]}"#
        .replace('\n', " ");
    let refused = r#"{"tsNs": 2000000, "groups": [{"proxy": 3, "happened": [{"kind": "DONE", "req": 40, "node": "amber",
        "trial": 0, "reason": "econnrefused", "latencyNs": 1000000, "finished": false}]}]}"#
        .replace('\n', " ");
    let lost =
        r#"{"tsNs": 3000000, "groups": [{"proxy": 3, "happened": [{"kind": "MEMBERS", "scope": "Error"},
        {"kind": "MEMBERS", "scope": "Partial", "buffer": 1}]}]}"#
            .replace('\n', " ");
    let output = run(&[&up(), &request, &refused, &lost]);
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    expect_test::expect![[r#"
        {"groups":[]}
        {"groups":[{"actions":[{"kind":"ROUTE","node":"amber","notPastNs":2001000000,"req":40},{"kind":"REMIND","name":0,"offsetNs":750100000}],"proxy":3}]}
        {"groups":[{"actions":[{"kind":"REMARK","noteText":"cache left amber"},{"kind":"REMIND","name":2305843009213693952,"offsetNs":501200000},{"kind":"OVERLOAD_REPLY","req":40,"retryInNs":0}],"proxy":3}]}
        {"groups":[{"actions":[{"kind":"REMARK","noteText":"discovery lost"},{"kind":"REMIND","name":4611686018427387904,"offsetNs":140000000},{"kind":"REMARK","noteText":"discovery reached again"}],"proxy":3}]}
    "#]].assert_eq(&String::from_utf8_lossy(&output.stdout));
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn a_malformed_line_ends_it_with_the_line_and_the_field() {
    let event = |happened: &str| {
        format!(r#"{{"tsNs": 1000000, "groups": [{{"proxy": 3, "happened": [{happened}]}}]}}"#)
    };
    let errors = [
        "no JSON".to_string(),
        event(r#"{"kind": "SLEEP"}"#),
        event(r#"{"kind": "MEMBERS", "scope": "Complete", "buffer": 9}"#),
        event(r#"{"kind": "KNOCK", "req": 1, "service": "films"}"#),
        event(r#"{"kind": "HEALTH_RESULT", "node": "amber", "reason": "perhaps"}"#),
        event(r#"{"kind": "WAKEUP"}"#).replace("\"proxy\": 3", "\"proxy\": 4"),
    ]
    .map(|line| {
        let output = run(&[&up(), &line]);
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8_lossy(&output.stderr).into_owned()
    });
    expect_test::expect![[r#"
        chalkwalk-simulator-adapter: line 2: not JSON: expected ident at line 1 column 2
        chalkwalk-simulator-adapter: line 2: SLEEP: field kind: expected an event of the wire, got "SLEEP"
        chalkwalk-simulator-adapter: line 2: MEMBERS: field buffer: expected the number of a declared list, got 9
        chalkwalk-simulator-adapter: line 2: KNOCK: field service: expected a namespace named in the settings, got "films"
        chalkwalk-simulator-adapter: line 2: HEALTH_RESULT: field reason: expected an outcome code, got "perhaps"
        chalkwalk-simulator-adapter: line 2: WAKEUP: field proxy: expected an instance that is up, got 4
    "#]].assert_eq(&errors.concat());
}

/// An instance that was killed stays declared, so a stray event for it is no error, and does nothing.
#[test]
fn a_killed_instance_ignores_events() {
    let killed = r#"{"tsNs": 1000000, "groups": [{"proxy": 3, "happened": [{"kind": "CRASH_NOW"}, {"kind": "SLEEP"}]}]}"#;
    let output = run(&[&up(), killed]);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "{\"groups\":[]}\n{\"groups\":[]}\n");
    assert_eq!(output.status.code(), Some(0));
}
