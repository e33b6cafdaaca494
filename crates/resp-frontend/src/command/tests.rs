//! Commands are classified, and invalid ones get the errors that cluster servers send.

use super::*;
use crate::test_support::arguments;
use expect_test::expect;

#[test]
fn commands_are_classified_and_invalid_ones_get_the_errors_of_cluster_servers() {
    let lines = [
        "get a",
        "GET a b",
        "set a 1",
        "set a 1 ex 5 nx",
        "set a 1 ex",
        "set a 1 px x",
        "set a 1 ex 0",
        "set a 1 nx xx",
        "set a 1 keepttl",
        "del a b",
        "mget split1 split2 {split1}3",
        "del {a}1 {a}2",
        "mget {x}a {x}b {x}c",
        "mset {x}a 1 {x}b 2",
        "mset {x}a 1 {x}b",
        "mset",
        "ttl a",
        "expire a",
        "flushall",
        "ping",
        "cluster slots",
    ];
    let line_result = |line: &&str| match classify_command(&arguments(line), line.contains("split")) {
        Ok(command) => format!("{line}: {command:?}\n"),
        Err(error) => format!("{line}: {error}\n"),
    };
    let results: String = lines.iter().map(line_result).collect();
    expect![[r#"
        get a: Keyed(KeyedCommand { write: false, keys: SlotKeys { slot: 15495, positions: [1] } })
        GET a b: ERR wrong number of arguments for 'get' command
        set a 1: Keyed(KeyedCommand { write: true, keys: SlotKeys { slot: 15495, positions: [1] } })
        set a 1 ex 5 nx: Keyed(KeyedCommand { write: true, keys: SlotKeys { slot: 15495, positions: [1] } })
        set a 1 ex: ERR syntax error
        set a 1 px x: ERR value is not an integer or out of range
        set a 1 ex 0: ERR invalid expire time in 'set' command
        set a 1 nx xx: ERR syntax error
        set a 1 keepttl: ERR syntax error
        del a b: CROSSSLOT Keys in request don't hash to the same slot
        mget split1 split2 {split1}3: Split(SplitCommand { write: false, merge: Values, step: 1, parts: [SlotKeys { slot: 9999, positions: [1, 3] }, SlotKeys { slot: 5996, positions: [2] }] })
        del {a}1 {a}2: Keyed(KeyedCommand { write: true, keys: SlotKeys { slot: 15495, positions: [1, 2] } })
        mget {x}a {x}b {x}c: Keyed(KeyedCommand { write: false, keys: SlotKeys { slot: 16287, positions: [1, 2, 3] } })
        mset {x}a 1 {x}b 2: Keyed(KeyedCommand { write: true, keys: SlotKeys { slot: 16287, positions: [1, 3] } })
        mset {x}a 1 {x}b: ERR wrong number of arguments for 'mset' command
        mset: ERR wrong number of arguments for 'mset' command
        ttl a: Keyed(KeyedCommand { write: false, keys: SlotKeys { slot: 15495, positions: [1] } })
        expire a: ERR wrong number of arguments for 'expire' command
        flushall: ERR unknown command 'flushall'
        ping: Local
        cluster slots: Local
    "#]]
    .assert_eq(&results);
}
