//! Limits that a class has of its own.

use crate::helper::{Harness, harness};
use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_time::Timestamp;
use expect_test::expect;

/// A class of its own for replayable requests, with what is set for it.
fn class(values: &[(&str, &str)]) -> Harness {
    let mut harness = harness(values);
    harness.ready(&["amber", "birch"]);
    harness
}

#[test]
fn a_class_has_its_own_attempts_and_an_attempt_its_own_timeout() {
    let mut h = class(&[("namespace 0 most shots", "2"), ("namespace 0 shot wait", "3000")]);
    let a = h.send(0, "book/1");
    h.end(a, 0, AttemptOutcome::ServerError);
    h.end(a, 1, AttemptOutcome::ServerError);
    let until = h.trace.1;
    expect![[r#"
        request 0 -> server 0
        request 0 -> server 1
        request 0 rejected
    "#]]
    .assert_eq(&h.take_trace());
    assert_eq!(until, Timestamp::from_ticks(3000));
}

#[test]
fn more_of_a_class_than_may_be_open_are_rejected_and_others_are_not() {
    let mut h = class(&[("namespace 0 most open", "2")]);
    let first = h.send(0, "a");
    (0..2).for_each(|_| _ = h.send(0, "a"));
    h.send(1, "a");
    h.end(first, 0, AttemptOutcome::Completed);
    h.send(0, "a");
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 0
        request 2 rejected
        request 3 -> server 1
        request 4 -> server 0
    "#]]
    .assert_eq(&h.take_trace());
}

#[test]
fn a_classs_budget_holds_while_all_fails_and_is_none_of_the_others() {
    let mut h = class(&[("namespace 0 further shots", "100")]);
    for i in 0..100 {
        let a = h.send(0, &format!("book/{i}"));
        (0..4).for_each(|attempt| h.end(a, attempt, AttemptOutcome::ServerError));
    }
    let own = h.take_trace().matches("->").count();
    (0..20).for_each(|i| {
        let a = h.send(1, &format!("book/{i}"));
        (0..4).for_each(|attempt| h.end(a, attempt, AttemptOutcome::ServerError));
    });
    let others = h.take_trace().matches("->").count();
    expect!["109 attempts for 100, 27 for 20 of another class"]
        .assert_eq(&format!("{own} attempts for 100, {others} for 20 of another class"));
}

#[test]
fn a_hedged_request_goes_out_after_what_most_answers_take_and_one_only() {
    let mut h = class(&[("namespace 0 copies after", "900")]);
    for i in 0..30 {
        let a = h.send(0, &format!("book/{i}"));
        h.end(a, 0, AttemptOutcome::Completed);
    }
    h.take_trace();
    let (slow, other) = (h.send(0, "book/1"), h.send(1, "book/2"));
    for _ in 0..3 {
        h.pass(130);
        [slow, other].iter().for_each(|request_id| h.fire_timer(request_id.0));
    }
    expect![[r#"
        request 30 -> server 0
        request 31 -> server 0
        request 30 -> server 1
    "#]]
    .assert_eq(&h.take_trace());
}

#[test]
fn a_shorter_time_limit_holds_for_what_is_open_where_it_can_still_be_kept() {
    let mut h = class(&[]);
    let (long, late) = (h.send(0, "book/1"), h.send(0, "book/2"));
    h.pass(8000);
    let new = h.values.clone();
    h.balancer.apply_settings(&new);
    // Nine tenths of a second from the start for one; seven tenths for the other, which are over.
    h.balancer.renew_limits(long, 0, Timestamp::from_ticks(9000), &mut h.trace);
    h.balancer.renew_limits(late, 0, Timestamp::from_ticks(7000), &mut h.trace);
    h.take_trace();
    h.pass(1000);
    h.fire_timer(long.0);
    h.end(long, 0, AttemptOutcome::Cancelled);
    h.fire_timer(late.0);
    h.pass(5000);
    h.end(late, 0, AttemptOutcome::Completed);
    expect![[r#"
        request 0 cancels attempt 0
        request 0 rejected
        request 1 -> server 1
        request 1 cancels attempt 1
    "#]]
    .assert_eq(&h.take_trace());
}
