//! Limits that are set for one request class.

use crate::helper::Harness;
use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_time::Timestamp;
use expect_test::expect;

/// A harness with two ready servers and these settings, most of which are for class 0.
fn harness_with(settings: &[(&str, &str)]) -> Harness {
    let mut harness = Harness::new(settings);
    harness.set_ready_servers(&["amber", "birch"]);
    harness
}

#[test]
fn a_class_has_its_own_max_attempts_and_attempt_timeout() {
    let mut harness = harness_with(&[("namespace 0 most shots", "2"), ("namespace 0 shot wait", "3000")]);
    let request_id = harness.send(0, "book/1");
    harness.end_attempt(request_id, 0, AttemptOutcome::ServerError);
    harness.end_attempt(request_id, 1, AttemptOutcome::ServerError);
    let deadline = harness.trace.1;
    expect![[r#"
        request 0 -> server 0
        request 0 -> server 1
        request 0 rejected
    "#]]
    .assert_eq(&harness.take_trace());
    assert_eq!(deadline, Timestamp::from_ticks(3000));
}

#[test]
fn requests_over_the_open_limit_of_a_class_are_rejected_and_other_classes_are_not() {
    let mut harness = harness_with(&[("namespace 0 most open", "2")]);
    let first = harness.send(0, "a");
    (0..2).for_each(|_| _ = harness.send(0, "a"));
    harness.send(1, "a");
    harness.end_attempt(first, 0, AttemptOutcome::Completed);
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
fn the_retry_budget_of_a_class_holds_while_all_attempts_fail_and_does_not_limit_other_classes() {
    let mut harness = harness_with(&[("namespace 0 further shots", "100")]);
    for i in 0..100 {
        let request_id = harness.send(0, &format!("book/{i}"));
        (0..4).for_each(|attempt| harness.end_attempt(request_id, attempt, AttemptOutcome::ServerError));
    }
    let own_attempts = harness.take_trace().matches("->").count();
    (0..20).for_each(|i| {
        let request_id = harness.send(1, &format!("book/{i}"));
        (0..4).for_each(|attempt| harness.end_attempt(request_id, attempt, AttemptOutcome::ServerError));
    });
    let other_attempts = harness.take_trace().matches("->").count();
    expect!["109 attempts for 100, 27 for 20 of another class"]
        .assert_eq(&format!("{own_attempts} attempts for 100, {other_attempts} for 20 of another class"));
}

#[test]
fn a_single_hedged_request_is_sent_after_the_time_that_most_answers_take() {
    let mut harness = harness_with(&[("namespace 0 copies after", "900")]);
    for i in 0..30 {
        let request_id = harness.send(0, &format!("book/{i}"));
        harness.end_attempt(request_id, 0, AttemptOutcome::Completed);
    }
    harness.take_trace();
    let (slow, other) = (harness.send(0, "book/1"), harness.send(1, "book/2"));
    for _ in 0..3 {
        harness.advance_clock(130);
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
fn a_shorter_time_limit_applies_to_open_requests_that_can_still_meet_it() {
    let mut harness = harness_with(&[]);
    let (in_time, expired) = (harness.send(0, "book/1"), harness.send(0, "book/2"));
    harness.advance_clock(8000);
    let settings = harness.settings.clone();
    harness.balancer.apply_settings(&settings);
    // One request now has a time limit of 0.9 s from its start. The other has 0.7 s, which are
    // already over.
    harness.balancer.update_limits(in_time, 0, Timestamp::from_ticks(9000), &mut harness.trace);
    harness.balancer.update_limits(expired, 0, Timestamp::from_ticks(7000), &mut harness.trace);
    harness.take_trace();
    harness.advance_clock(1000);
    harness.fire_timer(in_time.0);
    harness.end_attempt(in_time, 0, AttemptOutcome::Cancelled);
    harness.fire_timer(expired.0);
    harness.advance_clock(5000);
    harness.end_attempt(expired, 0, AttemptOutcome::Completed);
    expect![[r#"
        request 0 cancels attempt 0
        request 0 rejected
        request 1 -> server 1
        request 1 cancels attempt 1
    "#]]
    .assert_eq(&harness.take_trace());
}
