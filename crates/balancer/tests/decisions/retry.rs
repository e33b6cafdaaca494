//! What follows an attempt: a retry, a hedged request or the final answer.

use crate::FOUR;
use crate::helper::Harness;
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use chalkwalk_time::Span;
use expect_test::expect;

#[test]
fn each_request_gets_one_answer_and_nothing_after() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    let (a, b) = (harness.send(0, "book/1"), harness.send(0, "book/2"));
    harness.end(a, 0, AttemptOutcome::Completed);
    harness.client_leaves(a);
    harness.end(a, 0, AttemptOutcome::ServerError);
    harness.client_leaves(b);
    harness.fire_timer(b.0);
    harness.end(b, 0, AttemptOutcome::ServerError);
    assert!(!harness.balancer.knows_request(a) && !harness.balancer.knows_request(b));
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 3
        request 1 cancels attempt 0
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn single_use_is_retried_only_when_surely_not_run() {
    let mut harness = Harness::new(&[]);
    harness.ready(&FOUR);
    let (a, b) = (harness.send(2, "book/1"), harness.send(2, "book/2"));
    harness.end(a, 0, AttemptOutcome::Unreachable);
    harness.end(a, 1, AttemptOutcome::ConnectionLost);
    harness.pass(4000);
    harness.fire_timer(b.0);
    harness.end(b, 0, AttemptOutcome::TimedOut);
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 3
        log: server ejected amber
        timer in 574 ms
        request 0 -> server 1
        request 0 failed
        request 1 failed
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn tagged_repeats_only_inside_window_and_group() {
    let mut harness = Harness::new(&[("namespace 1 group", "zone")]);
    harness.list(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 0, EndpointStatus::Ready, 0),
        ("cedar", 1, EndpointStatus::Ready, 0),
    ]);
    let a = harness.send(1, "book/1");
    harness.end(a, 0, AttemptOutcome::ServerError);
    harness.end(a, 1, AttemptOutcome::ServerError);
    let b = harness.send(1, "book/1");
    harness.pass(5000);
    harness.end(b, 0, AttemptOutcome::ServerError);
    expect![[r#"
        request 0 -> server 0
        request 0 -> server 1 by 5000
        request 0 failed
        request 1 -> server 0
        request 1 failed
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn without_hedging_one_attempt_at_a_time() {
    let mut harness = Harness::new(&[("second copies", "0")]);
    harness.ready(&FOUR);
    let a = harness.send(0, "book/1");
    harness.pass(8000);
    harness.fire_timer(a.0);
    harness.end(a, 0, AttemptOutcome::Cancelled);
    harness.end(a, 1, AttemptOutcome::Completed);
    expect![[r#"
        request 0 -> server 0
        request 0 cancels attempt 0
        request 0 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

/// Once an attempt's answer has begun the request's others are withdrawn, and whatever becomes of them nothing more is sent for
/// it; its server owes nothing for it, however long it goes on.
#[test]
fn a_response_that_has_begun_is_the_only_one() {
    let mut harness = Harness::new(&[("origin kind", "9")]);
    harness.list(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 0, EndpointStatus::Ready, 0),
        ("origin", 0, EndpointStatus::Ready, 0),
    ]);
    let request_id = harness.send(0, "book");
    harness.pass(8_000);
    harness.fire_timer(request_id.0); // silent for so long: a hedged request
    harness.trace.mark("the first begins");
    harness.balancer.response_started(request_id, 0, &mut harness.trace);
    harness.balancer.attempt_ended(
        request_id,
        1,
        AttemptOutcome::CacheMiss,
        Span::from_ticks(100),
        true,
        &mut harness.trace,
    );
    harness.pass(20_000);
    harness.fire_timer(request_id.0);
    harness.trace.mark("another of its key, past any silence");
    let other = harness.send(0, "book");
    harness.end(other, 0, AttemptOutcome::Completed);
    harness.balancer.attempt_ended(
        request_id,
        0,
        AttemptOutcome::ConnectionLost,
        Span::from_ticks(100),
        true,
        &mut harness.trace,
    );
    expect![[r#"
        request 0 -> server 1
        request 0 -> server 0
        --- the first begins
        request 0 cancels attempt 1
        --- another of its key, past any silence
        request 1 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
    assert!(!harness.balancer.knows_request(request_id));
}
