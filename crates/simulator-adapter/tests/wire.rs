//! Runs the adapter as a process: lines of the simulator's protocol in, replies out. The simulator
//! reads the replies, so their form never changes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter with these lines as its standard input.
fn run(lines: &[&str]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_chalkwalk-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may exit at a malformed line before it has read the rest, so the write may fail.
    _ = adapter.stdin.take().unwrap().write_all((lines.join("\n") + "\n").as_bytes());
    adapter.wait_with_output().unwrap()
}

const UP_BATCH: &str = r#"{"tsNs": 0, "groups": [{"happened": [{"kind": "INVENTORY", "buffer": 1, "entries": [
    {"node": "amber", "dc": "north", "model": "box", "state": "in_service"}]}]},
    {"proxy": 3, "happened": [{"kind": "UP", "randomSeed": 7, "options": {"az": "north", "zones": ["north"],
    "kinds": ["box"], "namespaces": [{"name": "books", "idempotency": "single_shot", "timeLimitNs": 2000000000}],
    "ceilings": {"mostShots": 1}, "discovery": "push"}},
    {"kind": "MEMBERS", "scope": "Complete", "buffer": 1}]}]}"#;

fn up_line() -> String {
    UP_BATCH.replace('\n', " ")
}

#[test]
fn a_request_is_routed_and_state_changes_are_reported() {
    let request = r#"{"tsNs": 1000000, "groups": [{"proxy": 3, "happened": [{"kind": "KNOCK", "req": 40,
        "service": "books", "routeKey": "k", "expiresNs": 2001000000, "retry": false, "isWrite": false}]}]}"#
        .replace('\n', " ");
    let refused = r#"{"tsNs": 2000000, "groups": [{"proxy": 3, "happened": [{"kind": "DONE", "req": 40, "node": "amber",
        "trial": 0, "reason": "econnrefused", "latencyNs": 1000000, "finished": false}]}]}"#
        .replace('\n', " ");
    let discovery_lost =
        r#"{"tsNs": 3000000, "groups": [{"proxy": 3, "happened": [{"kind": "MEMBERS", "scope": "Error"},
        {"kind": "MEMBERS", "scope": "Partial", "buffer": 1}]}]}"#
            .replace('\n', " ");
    let output = run(&[&up_line(), &request, &refused, &discovery_lost]);
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
fn a_malformed_line_stops_the_adapter_with_the_line_and_the_field() {
    let event_line = |event_json: &str| {
        format!(r#"{{"tsNs": 1000000, "groups": [{{"proxy": 3, "happened": [{event_json}]}}]}}"#)
    };
    let errors = [
        "no JSON".to_string(),
        event_line(r#"{"kind": "SLEEP"}"#),
        event_line(r#"{"kind": "MEMBERS", "scope": "Complete", "buffer": 9}"#),
        event_line(r#"{"kind": "KNOCK", "req": 1, "service": "films"}"#),
        event_line(r#"{"kind": "HEALTH_RESULT", "node": "amber", "reason": "perhaps"}"#),
        event_line(r#"{"kind": "WAKEUP"}"#).replace("\"proxy\": 3", "\"proxy\": 4"),
    ]
    .map(|line| {
        let output = run(&[&up_line(), &line]);
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8_lossy(&output.stderr).into_owned()
    });
    expect_test::expect![[r#"
        chalkwalk-simulator-adapter: line 2: not JSON: expected ident at line 1 column 2
        chalkwalk-simulator-adapter: line 2: SLEEP: field kind: expected a known kind of event, got "SLEEP"
        chalkwalk-simulator-adapter: line 2: MEMBERS: field buffer: expected the number of a declared list, got 9
        chalkwalk-simulator-adapter: line 2: KNOCK: field service: expected a namespace named in the settings, got "films"
        chalkwalk-simulator-adapter: line 2: HEALTH_RESULT: field reason: expected an outcome code, got "perhaps"
        chalkwalk-simulator-adapter: line 2: WAKEUP: field proxy: expected an instance that is up, got 4
    "#]].assert_eq(&errors.concat());
}

/// A crashed instance stays declared, so a late event for it is no error and has no effect.
#[test]
fn a_crashed_instance_ignores_events() {
    let crashed = r#"{"tsNs": 1000000, "groups": [{"proxy": 3, "happened": [{"kind": "CRASH_NOW"}, {"kind": "SLEEP"}]}]}"#;
    let output = run(&[&up_line(), crashed]);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "{\"groups\":[]}\n{\"groups\":[]}\n");
    assert_eq!(output.status.code(), Some(0));
}
