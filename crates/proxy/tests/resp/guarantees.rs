//! Commands with several keys: the guarantees of all of them hold for the whole command.

use super::*;

/// Guards against a second run of a single-use write whose command begins with a replayable key:
/// the guarantees of every key hold for the whole command.
#[test]
fn a_command_with_a_single_use_key_anywhere_is_not_retried_after_a_reset() {
    let setup = ProxySetup::new("split = true\n");
    let mut observed = String::new();
    for command in [
        "MSET breaks:{q} 1 breaks:once:{q} 2",
        "DEL breaks:{q} breaks:{q}2 breaks:once:{q}",
        "MSET breaks:{q} 1 breaks:once:{q} 2 other 3",
    ] {
        let reply = without_retry_delay(&setup.request(&format!("{command}\r\n")));
        // The parts of a split command reach the server in any order.
        let commands = setup.take_commands();
        let mut commands: Vec<&str> = commands.lines().collect();
        commands.sort_unstable();
        observed += &format!("> {command}\n{reply}{}\n", commands.join("\n"));
    }
    expect![[r#"
        > MSET breaks:{q} 1 breaks:once:{q} 2
        -ERR abandoned: it may have run
        a: MSET breaks:{q} 1 breaks:once:{q} 2
        > DEL breaks:{q} breaks:{q}2 breaks:once:{q}
        -ERR abandoned: it may have run
        a: DEL breaks:{q} breaks:{q}2 breaks:once:{q}
        > MSET breaks:{q} 1 breaks:once:{q} 2 other 3
        -ERR abandoned: it may have run
        a: MSET breaks:{q} 1 breaks:once:{q} 2
        a: MSET other 3
    "#]]
    .assert_eq(&observed);
}

/// Guards against two writes of one key at once, where the key is not the first one of a command of
/// a namespace that keeps the order by key.
#[test]
fn commands_that_share_any_key_of_an_ordered_namespace_run_one_at_a_time() {
    const ANSWER_TIME: Duration = Duration::from_millis(150); // of keys that begin with "slow"
    let setup = ProxySetup::new("[[resp.prefix]]\nprefix = \"slow:ordered\"\nnamespace = \"ordered\"\n");
    let mut first = setup.connect().unwrap();
    let started = Instant::now();
    first.write_all(b"MSET slow:ordered:{q}a 1 slow:ordered:{q}b 2\r\n").unwrap();
    let is_sent = || setup.commands.lock().unwrap().len() == 1;
    while !is_sent() && started.elapsed() < ANSWER_TIME {
        sleep(Duration::from_millis(1));
    }
    let reply = setup.request("SET slow:ordered:{q}b 3\r\n");
    assert_eq!(reply, "+slow\r\n");
    assert_eq!(
        setup.take_commands(),
        "a: MSET slow:ordered:{q}a 1 slow:ordered:{q}b 2\na: SET slow:ordered:{q}b 3\n"
    );
    let elapsed = started.elapsed();
    assert!(elapsed >= 2 * ANSWER_TIME, "both were answered within {elapsed:?}");
}

/// Guards against a split command of which a part has run although the reply is that the command is
/// not accepted.
#[test]
fn a_split_command_is_sent_only_if_all_of_its_parts_are_accepted() {
    let setup = ProxySetup::new("split = true\n[defaults]\nlongest_body = 100\n");
    // The second part waits for the answer to the command before it.
    let reply = setup.request(&format!("GET slow:1\r\nMSET a 1 slow:1 {}\r\n", "v".repeat(100)));
    assert_eq!(reply, "+slow\r\n-ERR the command is longer than its class allows\r\n");
    assert_eq!(setup.take_commands(), "a: GET slow:1\n");
}
