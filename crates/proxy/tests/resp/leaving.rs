//! Clients that leave: what they had sent is not begun any more.

use super::*;

/// Longer than the servers are at work in these tests.
const WORK_TIME: Duration = Duration::from_millis(600);

/// Guards against a command that runs long after its client has reset the connection, and then undoes
/// a later write. The replies that the client has not read make its close a reset. The first command
/// keeps all later replies from being written, while the others make room for the last one.
#[test]
fn a_command_behind_slow_ones_is_not_sent_after_its_client_reset_the_connection() {
    let setup = ProxySetup::new("");
    let mut client = setup.connect().unwrap();
    let slow: String = (0..14).map(|key| format!("GET slow:{key}\r\n")).collect();
    client.write_all(format!("PING\r\nGET moved:hangs\r\n{slow}SET late 1\r\n").as_bytes()).unwrap();
    wait_for_commands(&setup, 9);
    drop(client);
    sleep(2 * WORK_TIME);
    let commands = setup.take_commands();
    assert!(!commands.contains("SET late"), "{commands}");
}

/// Guards against the same after an orderly close: the client has read all that it was sent, so that
/// only the reply to its first command shows that it has gone.
#[test]
fn a_command_behind_a_slow_one_is_not_sent_after_its_client_closed_the_connection() {
    let setup = ProxySetup::new("");
    let mut client = setup.connect().unwrap();
    client.write_all("SET slow:k 1\r\n".repeat(12).as_bytes()).unwrap();
    wait_for_commands(&setup, 1);
    drop(client);
    sleep(2 * WORK_TIME);
    assert_eq!(setup.take_commands(), "a: SET slow:k 1\n");
}

/// Guards against the same with so much unread that the proxy has not read up to the end of the
/// stream.
#[test]
fn unread_commands_are_not_sent_after_their_client_closed_the_connection() {
    let setup = ProxySetup::new("");
    let mut client = setup.connect().unwrap();
    client.write_all("SET slow:k 1\r\n".repeat(20_000).as_bytes()).unwrap();
    wait_for_commands(&setup, 1);
    drop(client);
    sleep(2 * WORK_TIME);
    assert_eq!(setup.take_commands(), "a: SET slow:k 1\n");
}

/// A client that closes only its sending side still gets all of its replies, however late.
#[test]
fn a_client_that_closes_only_its_sending_side_gets_all_replies() {
    let setup = ProxySetup::new("");
    let commands = "SET slow:k 1\r\nGET slow:k\r\n".repeat(3);
    assert_eq!(setup.request(&commands), "+slow\r\n".repeat(6));
}

fn wait_for_commands(setup: &ProxySetup, count: usize) {
    let end = Instant::now() + Duration::from_secs(5);
    while setup.commands.lock().unwrap().len() < count {
        assert!(Instant::now() < end, "the servers received too few commands");
        sleep(Duration::from_millis(1));
    }
}
