//! The limit on the number of servers to which a proxy holds connections.

use crate::helper::Harness;
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

/// One refused connection means that a server has died. Two mean that servers are short of capacity
/// for connections: then the servers that the proxy is connected to get the attempts, in ring
/// order. The proxy tries one more server after four seconds, and may try two more once that server
/// accepts the connection.
#[test]
fn where_connections_are_refused_the_connected_servers_get_the_attempts() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&["amber", "birch", "cedar", "aspen", "alder", "elder"]);
    harness.take_trace();
    let send_requests = |harness: &mut Harness, at_capacity: bool| {
        for i in 0..40 {
            let request_id = harness.send(0, &format!("page/{i}"));
            for attempt in 0..4 {
                let connects =
                    harness.last_server().is_some_and(|id| !at_capacity || id == "amber" || id == "birch");
                harness.end_attempt(
                    request_id,
                    attempt,
                    if connects { AttemptOutcome::Completed } else { AttemptOutcome::Unreachable },
                );
                if connects {
                    break;
                }
            }
        }
        let trace = harness.take_trace();
        let sent: Vec<usize> = (0..6).map(|i| trace.matches(&format!("> server {i}\n")).count()).collect();
        format!("{sent:?}")
    };
    let mut sent = vec![send_requests(&mut harness, true), send_requests(&mut harness, true)];
    (0..5).for_each(|_| harness.advance_clock(10_000));
    sent.push(send_requests(&mut harness, true));
    (0..5).for_each(|_| harness.advance_clock(10_000));
    sent.push(send_requests(&mut harness, false));
    expect![[r#"
        [17, 23, 1, 1, 1, 0]
        [17, 23, 0, 0, 0, 0]
        [17, 23, 0, 1, 0, 1]
        [11, 22, 0, 0, 0, 7]"#]]
    .assert_eq(&sent.join("\n"));
}
