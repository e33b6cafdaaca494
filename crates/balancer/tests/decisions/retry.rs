//! What follows an attempt: a retry, a hedged request or the final answer.

use crate::FOUR_SERVERS;
use crate::helper::Harness;
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use chalkwalk_time::Span;
use expect_test::expect;

#[test]
fn each_request_gets_one_answer_and_nothing_afterwards() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let (first, second) = (harness.send(0, "book/1"), harness.send(0, "book/2"));
    harness.end_attempt(first, 0, AttemptOutcome::Completed);
    harness.disconnect_client(first);
    harness.end_attempt(first, 0, AttemptOutcome::ServerError);
    harness.disconnect_client(second);
    harness.fire_timer(second.0);
    harness.end_attempt(second, 0, AttemptOutcome::ServerError);
    assert!(!harness.balancer.is_known_request(first) && !harness.balancer.is_known_request(second));
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 3
        request 1 cancels attempt 0
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn a_single_use_request_is_retried_only_if_it_cannot_have_run() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let (first, second) = (harness.send(2, "book/1"), harness.send(2, "book/2"));
    harness.end_attempt(first, 0, AttemptOutcome::Unreachable);
    harness.end_attempt(first, 1, AttemptOutcome::ConnectionLost);
    harness.advance_clock(4000);
    harness.fire_timer(second.0);
    harness.end_attempt(second, 0, AttemptOutcome::TimedOut);
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
fn a_tagged_request_is_repeated_only_within_its_window_and_group() {
    let mut harness = Harness::new(&[("namespace 1 group", "zone")]);
    harness.set_endpoints(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 0, EndpointStatus::Ready, 0),
        ("cedar", 1, EndpointStatus::Ready, 0),
    ]);
    let first = harness.send(1, "book/1");
    harness.end_attempt(first, 0, AttemptOutcome::ServerError);
    harness.end_attempt(first, 1, AttemptOutcome::ServerError);
    let second = harness.send(1, "book/1");
    harness.advance_clock(5000);
    harness.end_attempt(second, 0, AttemptOutcome::ServerError);
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
fn without_hedging_a_request_has_one_attempt_at_a_time() {
    let mut harness = Harness::new(&[("second copies", "0")]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let request_id = harness.send(0, "book/1");
    harness.advance_clock(8000);
    harness.fire_timer(request_id.0);
    harness.end_attempt(request_id, 0, AttemptOutcome::Cancelled);
    harness.end_attempt(request_id, 1, AttemptOutcome::Completed);
    expect![[r#"
        request 0 -> server 0
        request 0 cancels attempt 0
        request 0 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

/// Once the response to an attempt has started, the request's other attempts are cancelled, and no
/// further attempt is sent, no matter how those attempts end. The server does not count as silent
/// for as long as the response takes.
#[test]
fn a_response_that_has_started_is_the_only_one() {
    let mut harness = Harness::new(&[("origin kind", "9")]);
    harness.set_endpoints(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 0, EndpointStatus::Ready, 0),
        ("origin", 0, EndpointStatus::Ready, 0),
    ]);
    let request_id = harness.send(0, "book");
    harness.advance_clock(8_000);
    harness.fire_timer(request_id.0); // the server is silent, so a hedged request is sent
    harness.trace.mark("the response to the first attempt starts");
    harness.balancer.response_started(request_id, 0, &mut harness.trace);
    harness.balancer.attempt_ended(
        request_id,
        1,
        AttemptOutcome::CacheMiss,
        Span::from_ticks(100),
        true,
        &mut harness.trace,
    );
    harness.advance_clock(20_000);
    harness.fire_timer(request_id.0);
    harness.trace.mark("another request with the key, after any silence timeout");
    let other = harness.send(0, "book");
    harness.end_attempt(other, 0, AttemptOutcome::Completed);
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
        --- the response to the first attempt starts
        request 0 cancels attempt 1
        --- another request with the key, after any silence timeout
        request 1 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
    assert!(!harness.balancer.is_known_request(request_id));
}
