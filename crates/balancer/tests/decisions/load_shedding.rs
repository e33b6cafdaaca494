//! Which requests are rejected before they load the servers or the origin.

use crate::helper::Harness;
use crate::{ASIDE, FOUR, of_birch};
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use chalkwalk_time::Span;
use expect_test::expect;

#[test]
fn a_short_origin_is_relieved_and_the_zones_share_one_ring() {
    let mut harness = Harness::new(&ASIDE);
    harness.list(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 1, EndpointStatus::Ready, 0),
        ("origin", 1, EndpointStatus::Ready, 0),
    ]);
    let before = of_birch(&mut harness);
    for i in 0..120 {
        let a = harness.send(0, &format!("page/{i}"));
        harness.end(a, 0, AttemptOutcome::CacheMiss);
        harness.end(a, 1, AttemptOutcome::Overloaded);
    }
    let rejected = harness.take_trace().matches("rejected").count();
    let after = of_birch(&mut harness);
    expect!["120 rejected, 0 then 110 away"]
        .assert_eq(&format!("{rejected} rejected, {before} then {after} away"));
    (0..60).for_each(|_| harness.pass(10_000));
    expect!["0"].assert_eq(&of_birch(&mut harness).to_string());
}

#[test]
fn a_proxy_with_little_traffic_relieves_a_short_origin_as_soon_as_a_busy_one() {
    let away = [5, 80].map(|a_second| {
        let mut harness = Harness::new(&ASIDE);
        harness.list(
            &["amber", "birch", "origin"]
                .map(|id| (id, usize::from(id != "amber"), EndpointStatus::Ready, 0)),
        );
        for i in 0..10 * a_second {
            let a = harness.send(0, &format!("page/{i}"));
            harness.end(a, 0, AttemptOutcome::CacheMiss);
            harness.end(a, 1, AttemptOutcome::Overloaded);
            harness.pass(10_000 / a_second);
        }
        harness.take_trace().matches("> server 1").count() * 100 / (10 * a_second as usize)
    });
    expect!["[42, 47] in 100 away"].assert_eq(&format!("{away:?} in 100 away"));
}

#[test]
fn where_over_one_in_three_is_late_some_are_rejected_at_once() {
    let rejected = [(10, false), (4, false), (2, false), (2, true)].map(|(one_in, at_origin)| {
        let mut harness = Harness::new(if at_origin { &ASIDE } else { &[] });
        harness.ready(&["amber", "birch", "cedar", "origin"]);
        for i in 0..200 {
            let a = harness.send(0, &format!("page/{i}"));
            if at_origin {
                harness.end(a, 0, AttemptOutcome::CacheMiss);
            }
            let (attempt, took) = (usize::from(at_origin), if i % one_in == 0 { 10_000 } else { 1000 });
            harness.balancer.attempt_ended(
                a,
                attempt,
                AttemptOutcome::Completed,
                Span::from_ticks(took),
                true,
                &mut harness.trace,
            );
        }
        harness.take_trace().matches("rejected").count()
    });
    expect!["[1, 11, 111, 111] of 200 rejected"].assert_eq(&format!("{rejected:?} of 200 rejected"));
}

#[test]
fn failing_fetches_behind_servers_reject_only_keys_that_are_not_held() {
    let mut harness = Harness::new(&[("through", "1")]);
    harness.ready(&FOUR);
    harness.owner("kept");
    for i in 0..60 {
        let a = harness.send(0, &format!("book/{i}"));
        harness.end(a, 0, AttemptOutcome::ServerError);
        harness.client_leaves(a);
    }
    harness.take_trace();
    let a = harness.send(0, "new");
    harness.send(0, "newer");
    harness.send(0, "kept");
    harness.end(a, 0, AttemptOutcome::Completed);
    expect![[r#"
        request 61 rejected
        request 62 rejected
        request 63 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

/// Where fetches fail for long, a proxy has less than one in flight: the origin is flooded by one from each of many.
#[test]
fn one_of_many_proxies_loads_a_failing_origin_now_and_then_only() {
    let mut harness = Harness::new(&[("through", "1")]);
    harness.ready(&FOUR);
    let mut sent = [0, 0];
    for i in 0..1000 {
        harness.pass(20);
        let request_id = harness.send(0, &format!("new/{i}"));
        if harness.take_trace().contains("->") {
            sent[usize::from(i >= 500)] += 1;
            // By turns, so that no server is ejected for it.
            let outcome = if i % 4 == 0 { AttemptOutcome::ServerError } else { AttemptOutcome::Overloaded };
            harness.end(request_id, 0, outcome);
            (1..4).for_each(|attempt| harness.end(request_id, attempt, AttemptOutcome::ServerError));
        }
    }
    expect!["[61, 42] of 500 each"].assert_eq(&format!("{sent:?} of 500 each"));
}

/// Where fetches failed for long all keys are sent again within 20 s, whatever comes.
#[test]
fn after_failing_fetches_all_keys_are_sent_again_within_twenty_seconds() {
    let mut harness = Harness::new(&[("through", "1"), ("most shots", "1")]);
    harness.ready(&FOUR);
    let sent = [0, 5, 20].map(|seconds| {
        for i in 0..60 {
            let a = harness.send(0, &format!("book/{i}"));
            harness.end(a, 0, AttemptOutcome::ServerError);
            harness.client_leaves(a);
        }
        (0..seconds).for_each(|_| harness.pass(10_000));
        harness.take_trace();
        for i in 0..100 {
            let a = harness.send(0, &format!("new/{seconds}/{i}"));
            harness.client_leaves(a);
            harness.end(a, 0, AttemptOutcome::Cancelled);
        }
        harness.take_trace().matches("->").count()
    });
    expect!["[7, 28, 100] of 100"].assert_eq(&format!("{sent:?} of 100"));
}
