//! What follows an attempt: a retry, a hedged request or the final answer.

use crate::FOUR;
use crate::helper::harness;
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use chalkwalk_time::Span;
use expect_test::expect;

#[test]
fn each_request_gets_one_answer_and_nothing_after() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    let (a, b) = (h.send(0, "book/1"), h.send(0, "book/2"));
    h.end(a, 0, AttemptOutcome::Completed);
    h.client_leaves(a);
    h.end(a, 0, AttemptOutcome::ServerError);
    h.client_leaves(b);
    h.fire_timer(b.0);
    h.end(b, 0, AttemptOutcome::ServerError);
    assert!(!h.balancer.knows_request(a) && !h.balancer.knows_request(b));
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 3
        request 1 cancels attempt 0
    "#]]
    .assert_eq(&h.take_trace());
}

#[test]
fn single_use_is_retried_only_when_surely_not_run() {
    let mut h = harness(&[]);
    h.ready(&FOUR);
    let (a, b) = (h.send(2, "book/1"), h.send(2, "book/2"));
    h.end(a, 0, AttemptOutcome::Unreachable);
    h.end(a, 1, AttemptOutcome::ConnectionLost);
    h.pass(4000);
    h.fire_timer(b.0);
    h.end(b, 0, AttemptOutcome::TimedOut);
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 3
        log: server ejected amber
        timer in 574 ms
        request 0 -> server 1
        request 0 failed
        request 1 failed
    "#]]
    .assert_eq(&h.take_trace());
}

#[test]
fn tagged_repeats_only_inside_window_and_group() {
    let mut h = harness(&[("namespace 1 group", "zone")]);
    h.list(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 0, EndpointStatus::Ready, 0),
        ("cedar", 1, EndpointStatus::Ready, 0),
    ]);
    let a = h.send(1, "book/1");
    h.end(a, 0, AttemptOutcome::ServerError);
    h.end(a, 1, AttemptOutcome::ServerError);
    let b = h.send(1, "book/1");
    h.pass(5000);
    h.end(b, 0, AttemptOutcome::ServerError);
    expect![[r#"
        request 0 -> server 0
        request 0 -> server 1 by 5000
        request 0 failed
        request 1 -> server 0
        request 1 failed
    "#]]
    .assert_eq(&h.take_trace());
}

#[test]
fn without_hedging_one_attempt_at_a_time() {
    let mut h = harness(&[("second copies", "0")]);
    h.ready(&FOUR);
    let a = h.send(0, "book/1");
    h.pass(8000);
    h.fire_timer(a.0);
    h.end(a, 0, AttemptOutcome::Cancelled);
    h.end(a, 1, AttemptOutcome::Completed);
    expect![[r#"
        request 0 -> server 0
        request 0 cancels attempt 0
        request 0 -> server 1
    "#]]
    .assert_eq(&h.take_trace());
}

/// Once an attempt's answer has begun the request's others are withdrawn, and whatever becomes of them nothing more is sent for
/// it; its server owes nothing for it, however long it goes on.
#[test]
fn a_response_that_has_begun_is_the_only_one() {
    let mut h = harness(&[("origin kind", "9")]);
    h.list(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 0, EndpointStatus::Ready, 0),
        ("origin", 0, EndpointStatus::Ready, 0),
    ]);
    let request_id = h.send(0, "book");
    h.pass(8_000);
    h.fire_timer(request_id.0); // silent for so long: a hedged request
    h.trace.mark("the first begins");
    h.balancer.response_started(request_id, 0, &mut h.trace);
    h.balancer.attempt_ended(
        request_id,
        1,
        AttemptOutcome::CacheMiss,
        Span::from_ticks(100),
        true,
        &mut h.trace,
    );
    h.pass(20_000);
    h.fire_timer(request_id.0);
    h.trace.mark("another of its key, past any silence");
    let other = h.send(0, "book");
    h.end(other, 0, AttemptOutcome::Completed);
    h.balancer.attempt_ended(
        request_id,
        0,
        AttemptOutcome::ConnectionLost,
        Span::from_ticks(100),
        true,
        &mut h.trace,
    );
    expect![[r#"
        request 0 -> server 1
        request 0 -> server 0
        --- the first begins
        request 0 cancels attempt 1
        --- another of its key, past any silence
        request 1 -> server 1
    "#]]
    .assert_eq(&h.take_trace());
    assert!(!h.balancer.knows_request(request_id));
}
