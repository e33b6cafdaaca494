//! Guards against an oracle that misses a broken rule or reports one that was kept: the testbed's
//! baseline proxies break one rule each on purpose, and the oracle has to report exactly the breach
//! of that rule.

use expect_test::expect;
use std::process::Command;

const TESTBED: &str = env!("CARGO_BIN_EXE_chalkwalk-testbed");

/// Runs an experiment with a baseline proxy, and returns one line with the broken rules that the
/// testbed reports and its exit status: 0 if no rule was broken, 1 otherwise.
fn run_and_list_broken_rules(experiment: &str, proxy: &str) -> String {
    let name = proxy.replace([' ', '-'], "_");
    let json = format!("{}/{}_{experiment}_{name}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let file = format!("{}/tests/files/{experiment}.toml", env!("CARGO_MANIFEST_DIR"));
    let command = format!("'{TESTBED}' proxy {proxy}");
    let out = Command::new(TESTBED)
        .args(["run", &file, "--proxy", &command, "--json", &json])
        .output()
        .unwrap_or_else(|e| panic!("{TESTBED}: {e}"));
    let json = std::fs::read_to_string(&json)
        .unwrap_or_else(|e| panic!("{e}: {}", String::from_utf8_lossy(&out.stderr)));
    let figures: serde_json::Value = serde_json::from_str(&json).expect("the figures are JSON");
    let mut rules: Vec<&str> = figures["breaches"]
        .as_array()
        .expect("the figures have a list of breaches")
        .iter()
        .filter_map(|b| b.as_str()?.split(':').next())
        .collect();
    rules.sort();
    rules.dedup();
    format!("{proxy}: [{}], exit {}\n", rules.join(", "), out.status.code().unwrap_or(-1))
}

#[test]
fn each_broken_rule_is_found_by_name_and_nothing_where_nothing_is_broken() {
    let runs = [
        ("calm", "relay"),
        ("calm", "ring"),
        ("broken", "ring"),
        ("broken", "ring --break lose"),
        ("broken", "ring --break twice"),
        ("broken", "ring --break resend"),
        ("broken", "ring --break drained"),
        ("broken", "ring --break swap"),
        ("broken", "ring --break hold"),
        // The baseline proxies ignore the cancellation of a request by its client.
        ("leaving", "ring"),
    ];
    let seen: Vec<_> =
        runs.map(|(file, proxy)| std::thread::spawn(move || run_and_list_broken_rules(file, proxy))).into();
    let seen: String =
        seen.into_iter().map(|t| t.join().expect("the thread of a run does not panic")).collect();
    expect![[r#"
        relay: [], exit 0
        ring: [], exit 0
        ring: [], exit 0
        ring --break lose: [no final answer], exit 1
        ring --break twice: [answered twice], exit 1
        ring --break resend: [may run twice], exit 1
        ring --break drained: [sent to a drained server], exit 1
        ring --break swap: [not the answer made for it], exit 1
        ring --break hold: [a refusal was held back], exit 1
        ring: [sent on after its client cancelled], exit 1
    "#]]
    .assert_eq(&seen);
}

#[test]
fn an_invalid_experiment_is_refused_with_the_lines_of_its_errors() {
    let with_invalid_values = r#"title = "Bad"
seconds = 10
[world]
zones = ["north"]
caches = 2
mode = "beside"
[load]
rate = 10
[[namespace]]
name = "page"
target_ms = 2000
limit_ms = 1000
work_ms = 1
repeats = "often"
[[trouble]]
kind = "fails"
at = 1
for = 2
[[trouble]]
kind = "zone-lost"
at = 20
for = 1
zone = "south"
share = 0.5
[[trouble]]
kind = "hangs"
at = 1
for = 1
caches = [2]
"#;
    let file = format!("{}/{}_bad.toml", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let check = |text: &str| {
        std::fs::write(&file, text).expect("the experiment's file can be written");
        let out = Command::new(TESTBED).args(["check", &file]).output().expect("the testbed starts");
        format!("{}\n{}", out.status, String::from_utf8_lossy(&out.stderr).replace(&file, "FILE"))
    };
    let with_unknown_field = "title = 'x'\nseconds = 3\nwhatever = 1\n";
    expect![[r#"
        exit status: 2
        chalkwalk-testbed: FILE: line 6: mode is "beside", expected "aside" or "through"
        FILE: line 11: namespace page: target_ms is greater than limit_ms
        FILE: line 14: repeats is "often", expected "replayable", "tagged" or "single-use"
        FILE: line 15: fails requires "share"
        FILE: line 19: at is 20 s, outside the run of 0 to 10 s
        FILE: line 19: zone "south" is not in [world] zones
        FILE: line 19: zone-lost does not accept "share"
        FILE: line 25: there is no server 2; they are numbered from 0 to 1
        exit status: 2
        chalkwalk-testbed: FILE: line 3: unknown field `whatever`, expected one of `title`, `seed`, `seconds`, `world`, `fleet`, `load`, `rules`, `bounds`, `namespace`, `trouble`
    "#]].assert_eq(&(check(with_invalid_values) + &check(with_unknown_field)));
}
