//! To how many servers connections are held.

use crate::helper::Harness;
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

/// One refused connection is a server that died. Two are servers short of places: those with a connection get attempts, in ring
/// order, one more is tried after four seconds, and once that is let in two more may follow.
#[test]
fn where_connections_are_refused_the_servers_that_have_one_get_attempts() {
    let mut harness = Harness::new(&[]);
    harness.ready(&["amber", "birch", "cedar", "aspen", "alder", "elder"]);
    harness.take_trace();
    let phase = |harness: &mut Harness, full: bool| {
        for i in 0..40 {
            let request_id = harness.send(0, &format!("page/{i}"));
            for attempt in 0..4 {
                let place = harness.last_server().is_some_and(|id| !full || id == "amber" || id == "birch");
                harness.end(
                    request_id,
                    attempt,
                    if place { AttemptOutcome::Completed } else { AttemptOutcome::Unreachable },
                );
                if place {
                    break;
                }
            }
        }
        let trace = harness.take_trace();
        let sent: Vec<usize> = (0..6).map(|i| trace.matches(&format!("> server {i}\n")).count()).collect();
        format!("{sent:?}")
    };
    let mut sent = vec![phase(&mut harness, true), phase(&mut harness, true)];
    (0..5).for_each(|_| harness.pass(10_000));
    sent.push(phase(&mut harness, true));
    (0..5).for_each(|_| harness.pass(10_000));
    sent.push(phase(&mut harness, false));
    expect![[r#"
        [17, 23, 1, 1, 1, 0]
        [17, 23, 0, 0, 0, 0]
        [17, 23, 0, 1, 0, 1]
        [11, 22, 0, 0, 0, 7]"#]]
    .assert_eq(&sent.join("\n"));
}
