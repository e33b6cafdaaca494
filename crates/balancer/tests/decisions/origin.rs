//! What goes to the origin, one fetch a key.

use crate::ASIDE;
use crate::helper::harness;
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

#[test]
fn misses_and_writes_go_to_the_origin_one_fetch_a_key() {
    let mut h = harness(&ASIDE);
    h.ready(&["amber", "birch", "origin"]);
    let (a, b) = (h.send(0, "book/1"), h.send(0, "book/1"));
    h.end(a, 0, AttemptOutcome::CacheMiss);
    h.end(b, 0, AttemptOutcome::CacheMiss);
    h.write(1, "book/1");
    h.end(a, 1, AttemptOutcome::Completed);
    h.end(b, 1, AttemptOutcome::Completed);
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 0
        request 0 -> server 2
        request 2 -> server 2
        request 1 -> server 0
    "#]]
    .assert_eq(&h.take_trace());
}

#[test]
fn who_waits_for_a_failed_fetch_goes_to_the_origin_or_is_rejected() {
    let mut h = harness(&ASIDE);
    h.ready(&["amber", "birch", "origin"]);
    let [a, b, c] = [0; 3].map(|class| h.send(class, "book/1"));
    [a, b, c].iter().for_each(|l| h.end(*l, 0, AttemptOutcome::CacheMiss));
    h.client_leaves(a);
    h.pass(10_000);
    h.fire_timer(c.0);
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 0
        request 2 -> server 1
        request 0 -> server 2
        request 0 cancels attempt 1
        request 1 -> server 2
        request 2 rejected
    "#]]
    .assert_eq(&h.take_trace());
}

#[test]
fn an_attempt_broken_at_the_origin_is_retried_by_way_of_the_server() {
    let mut h = harness(&[("origin kind", "9")]);
    h.ready(&["amber", "origin"]);
    let read = h.send(0, "book/1");
    h.end(read, 0, AttemptOutcome::CacheMiss);
    h.end(read, 1, AttemptOutcome::ConnectionLost);
    h.end(read, 2, AttemptOutcome::Completed);
    let single = h.write(2, "book/1");
    h.end(single, 0, AttemptOutcome::ConnectionLost);
    let full = h.write(0, "book/1");
    h.end(full, 0, AttemptOutcome::Overloaded);
    expect![[r#"
        request 0 -> server 0
        request 0 -> server 1
        request 0 -> server 0
        request 1 -> server 1
        request 1 failed
        request 2 -> server 1
        request 2 rejected
    "#]]
    .assert_eq(&h.take_trace());
}
