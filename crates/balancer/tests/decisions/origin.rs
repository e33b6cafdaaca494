//! What goes to the origin, one fetch a key.

use crate::ASIDE;
use crate::helper::Harness;
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

#[test]
fn misses_and_writes_go_to_the_origin_one_fetch_a_key() {
    let mut harness = Harness::new(&ASIDE);
    harness.ready(&["amber", "birch", "origin"]);
    let (a, b) = (harness.send(0, "book/1"), harness.send(0, "book/1"));
    harness.end(a, 0, AttemptOutcome::CacheMiss);
    harness.end(b, 0, AttemptOutcome::CacheMiss);
    harness.write(1, "book/1");
    harness.end(a, 1, AttemptOutcome::Completed);
    harness.end(b, 1, AttemptOutcome::Completed);
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
fn who_waits_for_a_failed_fetch_goes_to_the_origin_or_is_rejected() {
    let mut harness = Harness::new(&ASIDE);
    harness.ready(&["amber", "birch", "origin"]);
    let [a, b, c] = [0; 3].map(|class| harness.send(class, "book/1"));
    [a, b, c].iter().for_each(|l| harness.end(*l, 0, AttemptOutcome::CacheMiss));
    harness.client_leaves(a);
    harness.pass(10_000);
    harness.fire_timer(c.0);
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
fn an_attempt_broken_at_the_origin_is_retried_by_way_of_the_server() {
    let mut harness = Harness::new(&[("origin kind", "9")]);
    harness.ready(&["amber", "origin"]);
    let read = harness.send(0, "book/1");
    harness.end(read, 0, AttemptOutcome::CacheMiss);
    harness.end(read, 1, AttemptOutcome::ConnectionLost);
    harness.end(read, 2, AttemptOutcome::Completed);
    let single = harness.write(2, "book/1");
    harness.end(single, 0, AttemptOutcome::ConnectionLost);
    let full = harness.write(0, "book/1");
    harness.end(full, 0, AttemptOutcome::Overloaded);
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
