//! Which attempts are lost, and which servers are silent.

use crate::helper::Harness;
use crate::{FOUR, key_of};
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

#[test]
fn an_attempt_is_not_lost_where_answers_take_as_long() {
    let sent = [100, 6000].map(|usual| {
        let mut harness = Harness::new(&[("namespace 0 target time", "30000")]);
        harness.ready(&["amber", "birch"]);
        let key = key_of(&mut harness, "amber");
        for _ in 0..20 {
            let request_id = harness.send(0, &key);
            harness.complete(request_id, usual);
        }
        let slow = harness.send(0, &key);
        // One sent later is answered: a longer one is overtaken, and 1.5 s is no time where most take 0.6 s.
        harness.pass(1000);
        let request_id = harness.send(0, &key);
        harness.end(request_id, 0, AttemptOutcome::Completed);
        harness.take_trace();
        harness.pass(14_500);
        harness.fire_timer(slow.0);
        harness.take_trace()
    });
    expect![[r#"
        request 22 -> server 1
        then "#]]
    .assert_eq(&sent.join("then "));
}

#[test]
fn an_attempt_that_later_ones_have_overtaken_is_sent_elsewhere_and_its_server_not_taken_for_late() {
    let mut harness = Harness::new(&[]);
    harness.ready(&["amber", "birch"]);
    let key = key_of(&mut harness, "amber");
    harness.take_trace();
    let lost = harness.send(0, &key);
    for _ in 0..4 {
        harness.pass(600);
        let request_id = harness.send(0, &key);
        harness.end(request_id, 0, AttemptOutcome::Completed);
    }
    harness.fire_timer(lost.0);
    harness.end(lost, 1, AttemptOutcome::Completed);
    expect![[r#"
        request 2 -> server 0
        request 3 -> server 0
        request 4 -> server 0
        request 5 -> server 0
        request 6 -> server 1
        request 2 -> server 1
        request 2 cancels attempt 0
    "#]]
    .assert_eq(&harness.take_trace());
}

/// A proxy with little traffic keeps its latencies: an answer as slow as ever is no silence. Before the first ones a part of the
/// shortest target time stands in.
#[test]
fn a_proxy_with_little_traffic_knows_how_long_answers_take() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    let mut passed = 0;
    for i in 0..40 {
        harness.pass(5_000);
        let request_id = harness.send(0, &format!("page/{i}"));
        harness.pass(4_000);
        harness.fire_timer(request_id.0);
        passed += harness.take_trace().lines().count() - 1;
        harness.complete(request_id, 4_000);
    }
    expect!["0"].assert_eq(&passed.to_string());
}
