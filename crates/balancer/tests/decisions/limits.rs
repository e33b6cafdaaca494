//! Limits that a class has of its own.

use crate::helper::Harness;
use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_time::Timestamp;
use expect_test::expect;

/// A class of its own for replayable requests, with what is set for it.
fn class(values: &[(&str, &str)]) -> Harness {
    let mut harness = Harness::new(values);
    harness.ready(&["amber", "birch"]);
    harness
}

#[test]
fn a_class_has_its_own_attempts_and_an_attempt_its_own_timeout() {
    let mut harness = class(&[("namespace 0 most shots", "2"), ("namespace 0 shot wait", "3000")]);
    let a = harness.send(0, "book/1");
    harness.end(a, 0, AttemptOutcome::ServerError);
    harness.end(a, 1, AttemptOutcome::ServerError);
    let until = harness.trace.1;
    expect![[r#"
        request 0 -> server 0
        request 0 -> server 1
        request 0 rejected
    "#]]
    .assert_eq(&harness.take_trace());
    assert_eq!(until, Timestamp::from_ticks(3000));
}

#[test]
fn more_of_a_class_than_may_be_open_are_rejected_and_others_are_not() {
    let mut harness = class(&[("namespace 0 most open", "2")]);
    let first = harness.send(0, "a");
    (0..2).for_each(|_| _ = harness.send(0, "a"));
    harness.send(1, "a");
    harness.end(first, 0, AttemptOutcome::Completed);
    harness.send(0, "a");
    expect![[r#"
        request 0 -> server 0
        request 1 -> server 0
        request 2 rejected
        request 3 -> server 1
        request 4 -> server 0
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn a_classs_budget_holds_while_all_fails_and_is_none_of_the_others() {
    let mut harness = class(&[("namespace 0 further shots", "100")]);
    for i in 0..100 {
        let a = harness.send(0, &format!("book/{i}"));
        (0..4).for_each(|attempt| harness.end(a, attempt, AttemptOutcome::ServerError));
    }
    let own = harness.take_trace().matches("->").count();
    (0..20).for_each(|i| {
        let a = harness.send(1, &format!("book/{i}"));
        (0..4).for_each(|attempt| harness.end(a, attempt, AttemptOutcome::ServerError));
    });
    let others = harness.take_trace().matches("->").count();
    expect!["109 attempts for 100, 27 for 20 of another class"]
        .assert_eq(&format!("{own} attempts for 100, {others} for 20 of another class"));
}

#[test]
fn a_hedged_request_goes_out_after_what_most_answers_take_and_one_only() {
    let mut harness = class(&[("namespace 0 copies after", "900")]);
    for i in 0..30 {
        let a = harness.send(0, &format!("book/{i}"));
        harness.end(a, 0, AttemptOutcome::Completed);
    }
    harness.take_trace();
    let (slow, other) = (harness.send(0, "book/1"), harness.send(1, "book/2"));
    for _ in 0..3 {
        harness.pass(130);
        [slow, other].iter().for_each(|request_id| harness.fire_timer(request_id.0));
    }
    expect![[r#"
        request 30 -> server 0
        request 31 -> server 0
        request 30 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

#[test]
fn a_shorter_time_limit_holds_for_what_is_open_where_it_can_still_be_kept() {
    let mut harness = class(&[]);
    let (long, late) = (harness.send(0, "book/1"), harness.send(0, "book/2"));
    harness.pass(8000);
    let new = harness.values.clone();
    harness.balancer.apply_settings(&new);
    // Nine tenths of a second from the start for one; seven tenths for the other, which are over.
    harness.balancer.renew_limits(long, 0, Timestamp::from_ticks(9000), &mut harness.trace);
    harness.balancer.renew_limits(late, 0, Timestamp::from_ticks(7000), &mut harness.trace);
    harness.take_trace();
    harness.pass(1000);
    harness.fire_timer(long.0);
    harness.end(long, 0, AttemptOutcome::Cancelled);
    harness.fire_timer(late.0);
    harness.pass(5000);
    harness.end(late, 0, AttemptOutcome::Completed);
    expect![[r#"
        request 0 cancels attempt 0
        request 0 rejected
        request 1 -> server 1
        request 1 cancels attempt 1
    "#]]
    .assert_eq(&harness.take_trace());
}
