//! Which requests are rejected before they load the servers or the origin.

use crate::helper::Harness;
use crate::{CACHE_ASIDE, FOUR_SERVERS, birch_key_count};
use chalkwalk_balancer::{AttemptOutcome, EndpointStatus};
use chalkwalk_time::Span;
use expect_test::expect;

#[test]
fn an_overloaded_origin_gets_fewer_requests_and_the_zones_share_one_ring() {
    let mut harness = Harness::new(&CACHE_ASIDE);
    harness.set_endpoints(&[
        ("amber", 0, EndpointStatus::Ready, 0),
        ("birch", 1, EndpointStatus::Ready, 0),
        ("origin", 1, EndpointStatus::Ready, 0),
    ]);
    let before = birch_key_count(&mut harness);
    for i in 0..120 {
        let request_id = harness.send(0, &format!("page/{i}"));
        harness.end_attempt(request_id, 0, AttemptOutcome::CacheMiss);
        harness.end_attempt(request_id, 1, AttemptOutcome::Overloaded);
    }
    let rejected = harness.take_trace().matches("rejected").count();
    let after = birch_key_count(&mut harness);
    expect!["120 rejected, 0 then 110 to the other zone"]
        .assert_eq(&format!("{rejected} rejected, {before} then {after} to the other zone"));
    (0..60).for_each(|_| harness.advance_clock(10_000));
    expect!["0"].assert_eq(&birch_key_count(&mut harness).to_string());
}

#[test]
fn a_proxy_with_little_traffic_relieves_an_overloaded_origin_as_soon_as_a_busy_one() {
    let percent_to_other_zone = [5, 80].map(|per_second| {
        let mut harness = Harness::new(&CACHE_ASIDE);
        harness.set_endpoints(
            &["amber", "birch", "origin"]
                .map(|id| (id, usize::from(id != "amber"), EndpointStatus::Ready, 0)),
        );
        for i in 0..10 * per_second {
            let request_id = harness.send(0, &format!("page/{i}"));
            harness.end_attempt(request_id, 0, AttemptOutcome::CacheMiss);
            harness.end_attempt(request_id, 1, AttemptOutcome::Overloaded);
            harness.advance_clock(10_000 / per_second);
        }
        harness.take_trace().matches("> server 1").count() * 100 / (10 * per_second as usize)
    });
    expect!["[42, 47] in 100 to the other zone"]
        .assert_eq(&format!("{percent_to_other_zone:?} in 100 to the other zone"));
}

#[test]
fn when_over_one_answer_in_three_is_late_some_requests_are_rejected_at_once() {
    let rejected = [(10, false), (4, false), (2, false), (2, true)].map(|(late_one_in, at_origin)| {
        let mut harness = Harness::new(if at_origin { &CACHE_ASIDE } else { &[] });
        harness.set_ready_servers(&["amber", "birch", "cedar", "origin"]);
        for i in 0..200 {
            let request_id = harness.send(0, &format!("page/{i}"));
            if at_origin {
                harness.end_attempt(request_id, 0, AttemptOutcome::CacheMiss);
            }
            let (attempt, took) = (usize::from(at_origin), if i % late_one_in == 0 { 10_000 } else { 1000 });
            harness.balancer.attempt_ended(
                request_id,
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
fn when_fetches_by_servers_fail_only_requests_for_uncached_keys_are_rejected() {
    let mut harness = Harness::new(&[("through", "1")]);
    harness.set_ready_servers(&FOUR_SERVERS);
    harness.owner("kept");
    for i in 0..60 {
        let request_id = harness.send(0, &format!("book/{i}"));
        harness.end_attempt(request_id, 0, AttemptOutcome::ServerError);
        harness.disconnect_client(request_id);
    }
    harness.take_trace();
    let request_id = harness.send(0, "new");
    harness.send(0, "newer");
    harness.send(0, "kept");
    harness.end_attempt(request_id, 0, AttemptOutcome::Completed);
    expect![[r#"
        request 61 rejected
        request 62 rejected
        request 63 -> server 1
    "#]]
    .assert_eq(&harness.take_trace());
}

/// Where fetches have failed for long, a proxy has less than one fetch in flight on average: with
/// many proxies, one fetch from each would overload the origin.
#[test]
fn one_of_many_proxies_sends_few_requests_to_a_failing_origin() {
    let mut harness = Harness::new(&[("through", "1")]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let mut sent = [0, 0];
    for i in 0..1000 {
        harness.advance_clock(20);
        let request_id = harness.send(0, &format!("new/{i}"));
        if harness.take_trace().contains("->") {
            sent[usize::from(i >= 500)] += 1;
            // The outcomes alternate so that no server is ejected for its errors.
            let outcome = if i % 4 == 0 { AttemptOutcome::ServerError } else { AttemptOutcome::Overloaded };
            harness.end_attempt(request_id, 0, outcome);
            (1..4).for_each(|attempt| harness.end_attempt(request_id, attempt, AttemptOutcome::ServerError));
        }
    }
    expect!["[61, 42] of 500 each"].assert_eq(&format!("{sent:?} of 500 each"));
}

/// After fetches have failed for long, requests for all keys are sent again within 20 s in any
/// case.
#[test]
fn requests_for_all_keys_are_sent_again_within_twenty_seconds_after_failing_fetches() {
    let mut harness = Harness::new(&[("through", "1"), ("most shots", "1")]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let sent = [0, 5, 20].map(|seconds| {
        for i in 0..60 {
            let request_id = harness.send(0, &format!("book/{i}"));
            harness.end_attempt(request_id, 0, AttemptOutcome::ServerError);
            harness.disconnect_client(request_id);
        }
        (0..seconds).for_each(|_| harness.advance_clock(10_000));
        harness.take_trace();
        for i in 0..100 {
            let request_id = harness.send(0, &format!("new/{seconds}/{i}"));
            harness.disconnect_client(request_id);
            harness.end_attempt(request_id, 0, AttemptOutcome::Cancelled);
        }
        harness.take_trace().matches("->").count()
    });
    expect!["[7, 28, 100] of 100"].assert_eq(&format!("{sent:?} of 100"));
}
