//! Which attempts count as lost, and which servers count as silent.

use crate::helper::Harness;
use crate::{FOUR_SERVERS, key_owned_by};
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

#[test]
fn an_attempt_is_not_lost_while_answers_usually_take_as_long() {
    let traces = [100, 6000].map(|usual_ticks| {
        let mut harness = Harness::new(&[("namespace 0 target time", "30000")]);
        harness.set_ready_servers(&["amber", "birch"]);
        let key = key_owned_by(&mut harness, "amber");
        for _ in 0..20 {
            let request_id = harness.send(0, &key);
            harness.complete_first_attempt(request_id, usual_ticks);
        }
        let slow = harness.send(0, &key);
        // A request that was sent later is answered. The slow attempt then counts as lost if it
        // takes far longer than answers usually do; 1.5 s is not long where answers take 0.6 s.
        harness.advance_clock(1000);
        let request_id = harness.send(0, &key);
        harness.end_attempt(request_id, 0, AttemptOutcome::Completed);
        harness.take_trace();
        harness.advance_clock(14_500);
        harness.fire_timer(slow.0);
        harness.take_trace()
    });
    expect![[r#"
        request 22 -> server 1
        then "#]]
    .assert_eq(&traces.join("then "));
}

#[test]
fn an_attempt_overtaken_by_later_ones_is_retried_elsewhere_and_does_not_count_as_a_late_answer() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&["amber", "birch"]);
    let key = key_owned_by(&mut harness, "amber");
    harness.take_trace();
    let lost = harness.send(0, &key);
    for _ in 0..4 {
        harness.advance_clock(600);
        let request_id = harness.send(0, &key);
        harness.end_attempt(request_id, 0, AttemptOutcome::Completed);
    }
    harness.fire_timer(lost.0);
    harness.end_attempt(lost, 1, AttemptOutcome::Completed);
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

/// A proxy with little traffic keeps the latencies that it has measured: an answer as slow as the
/// earlier ones does not count as silence. Before the first answers, the proxy uses a fraction of
/// the shortest target time instead.
#[test]
fn a_proxy_with_little_traffic_knows_how_long_answers_take() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let mut extra_decisions = 0;
    for i in 0..40 {
        harness.advance_clock(5_000);
        let request_id = harness.send(0, &format!("page/{i}"));
        harness.advance_clock(4_000);
        harness.fire_timer(request_id.0);
        extra_decisions += harness.take_trace().lines().count() - 1;
        harness.complete_first_attempt(request_id, 4_000);
    }
    expect!["0"].assert_eq(&extra_decisions.to_string());
}
