//! What programs before this one have written: captures, lists kept on disk, files between processes, operators' files and the
//! platform's configuration. The fixtures were written by the program of commit 5dafa35, and are never written anew by a
//! later one: a test that fails here says that an installation's files would no longer be read, or be read as something else.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn text_of(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap()
}

/// The program, run to its end in the fixtures' folder.
fn run(args: &[&str]) -> Output {
    let program = Command::new(env!("CARGO_BIN_EXE_chalkwalk"))
        .args(args)
        .current_dir(fixture(""))
        .env_remove("ROUTER_CONFIG")
        .env_remove("ROUTER_CONSOLE")
        .output();
    program.unwrap()
}

/// Standard output of a run that has to end well.
fn printed(args: &[&str]) -> String {
    let out = run(args);
    let told = String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success(), "{args:?}: {}{told}", String::from_utf8_lossy(&out.stdout));
    String::from_utf8(out.stdout).unwrap()
}

/// The whole numbers of a line, in order: its wording may change.
fn numbers(line: &str) -> Vec<u64> {
    line.split(|c: char| !c.is_ascii_digit()).filter_map(|word| word.parse().ok()).collect()
}

/// Captures of each source of the endpoint list, of operators' words over a restart, and of RESP are decided again as they
/// were: so many calls, decisions, starts, snapshots to begin from, and snapshots compared; none differ, are passed over, or
/// missing.
#[test]
fn captures_are_replayed_without_a_difference() {
    let folders = [
        ("discovery", vec![vec![593, 402, 1, 0, 1, 0, 0, 0], vec![345, 233, 2, 0, 2, 0, 0, 0]]),
        ("etcd", vec![vec![434, 296, 1, 0, 1, 0, 0, 0], vec![513, 350, 1, 0, 1, 0, 0, 0]]),
        ("file", vec![vec![441, 295, 1, 0, 1, 0, 0, 0], vec![510, 341, 1, 0, 1, 0, 0, 0]]),
        ("operators", vec![vec![1049, 711, 2, 0, 2, 0, 0, 0]]),
        ("resp", vec![vec![592, 433, 1, 0, 1, 0, 0, 0], vec![302, 208, 1, 0, 1, 0, 0, 0]]),
    ];
    for (name, expected) in folders {
        let said = printed(&["capture", "replay", &format!("captures/{name}")]);
        let found: Vec<Vec<u64>> =
            said.lines().map(|line| numbers(line.split_once(": ").unwrap().1)).collect();
        assert_eq!(found, expected, "{name}: {said}");
    }
}
