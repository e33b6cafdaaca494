//! Which requests go to the origin, with one fetch per key at a time.

use crate::CACHE_ASIDE;
use crate::helper::Harness;
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

#[test]
fn misses_and_writes_go_to_the_origin_with_one_fetch_per_key() {
    let mut harness = Harness::new(&CACHE_ASIDE);
    harness.set_ready_servers(&["amber", "birch", "origin"]);
    let (first, second) = (harness.send(0, "book/1"), harness.send(0, "book/1"));
    harness.end_attempt(first, 0, AttemptOutcome::CacheMiss);
    harness.end_attempt(second, 0, AttemptOutcome::CacheMiss);
    harness.send_write(1, "book/1");
    harness.end_attempt(first, 1, AttemptOutcome::Completed);
    harness.end_attempt(second, 1, AttemptOutcome::Completed);
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 0
        request 0 -> server 2
        request 2 -> server 2
        request 1 -> server 0
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn a_request_that_waits_for_a_cancelled_fetch_goes_to_the_origin_or_is_rejected() {
    let mut harness = Harness::new(&CACHE_ASIDE);
    harness.set_ready_servers(&["amber", "birch", "origin"]);
    let [first, second, third] = [0; 3].map(|class| harness.send(class, "book/1"));
    [first, second, third]
        .iter()
        .for_each(|request_id| harness.end_attempt(*request_id, 0, AttemptOutcome::CacheMiss));
    harness.disconnect_client(first);
    harness.advance_clock(10_000);
    harness.fire_timer(third.0);
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 0
        request 2 -> server 1
        request 0 -> server 2
        request 0 cancels attempt 1
        request 1 -> server 2
        request 2 rejected
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn a_read_whose_connection_to_the_origin_breaks_is_retried_at_the_server() {
    let mut harness = Harness::new(&[("origin kind", "9")]);
    harness.set_ready_servers(&["amber", "origin"]);
    let read = harness.send(0, "book/1");
    harness.end_attempt(read, 0, AttemptOutcome::CacheMiss);
    harness.end_attempt(read, 1, AttemptOutcome::ConnectionLost);
    harness.end_attempt(read, 2, AttemptOutcome::Completed);
    let single_use = harness.send_write(2, "book/1");
    harness.end_attempt(single_use, 0, AttemptOutcome::ConnectionLost);
    let overloaded = harness.send_write(0, "book/1");
    harness.end_attempt(overloaded, 0, AttemptOutcome::Overloaded);
    expect![[r#"
        request 0 -> server 0
        request 0 -> server 1
        request 0 -> server 0
        request 1 -> server 1
        request 1 failed
        request 2 -> server 1
        request 2 rejected
    "#]]
    .assert_eq(&harness.take_trace());
}
