//! The concurrency limit of a server: how many attempts it gets at once.

use crate::helper::Harness;
use crate::{FOUR_SERVERS, key_owned_by};
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

#[test]
fn late_answers_lower_a_limit_until_it_is_less_than_one_attempt() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&["amber"]);
    for _ in 0..30 {
        let request_id = harness.send(0, "slow");
        harness.complete_first_attempt(request_id, 9000);
    }
    harness.take_trace();
    for _ in 0..20 {
        let request_id = harness.send(0, "slow");
        harness.end_attempt(request_id, 0, AttemptOutcome::CacheMiss);
        harness.disconnect_client(request_id);
    }
    let trace = harness.take_trace();
    let summary =
        format!("{} sent, {} rejected", trace.matches("->").count(), trace.matches("rejected").count());
    expect!["2 sent, 19 rejected"].assert_eq(&summary);
}

/// Twelve requests are sent at once, of which a server gets as many as its limit allows. Before
/// that, the server gives the stated number of answers in time and then of late ones, a second
/// apart. In the last case the answers are only a hundredth of a second apart: one late answer is
/// then weak evidence, and lowers the limit by little.
#[test]
fn a_late_answer_lowers_the_limit_to_what_was_in_flight_at_a_server_that_rarely_answers() {
    let one_second_apart = [(0, 0), (0, 1), (6, 1), (7, 1), (20, 1), (20, 2), (0, 5)]
        .map(|(in_time, late)| (in_time, late, 10_000));
    let limits = one_second_apart.into_iter().chain([(0, 5, 100)]).map(|(in_time, late, interval)| {
        let mut harness = Harness::new(&[]);
        harness.set_ready_servers(&["amber"]);
        for took in std::iter::repeat_n(100, in_time).chain(std::iter::repeat_n(9000, late)) {
            harness.advance_clock(interval);
            let request_id = harness.send(0, "slow");
            harness.complete_first_attempt(request_id, took);
        }
        harness.take_trace();
        (0..12).for_each(|_| _ = harness.send(0, "slow"));
        format!("{in_time} in time, {late} late: {}", harness.take_trace().matches("->").count())
    });
    let limits: Vec<String> = limits.collect();
    expect![[r#"
        0 in time, 0 late: 12
        0 in time, 1 late: 2
        6 in time, 1 late: 2
        7 in time, 1 late: 2
        20 in time, 1 late: 2
        20 in time, 2 late: 2
        0 in time, 5 late: 1
        0 in time, 5 late: 7"#]]
    .assert_eq(&limits.join("\n"));
}

/// How many attempts each of four servers gets after the first three had 30 requests and rejected
/// some of them.
fn attempts_after_rejections(is_rejected: fn(usize) -> bool) -> String {
    let mut harness = Harness::new(&[("most shots", "1")]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let keys = FOUR_SERVERS.map(|id| key_owned_by(&mut harness, id));
    for (i, key) in keys[..3].iter().cycle().take(30).enumerate() {
        let request_id = harness.send(0, key);
        harness.end_attempt(
            request_id,
            0,
            if is_rejected(i) { AttemptOutcome::Overloaded } else { AttemptOutcome::Completed },
        );
    }
    harness.take_trace();
    keys[..3].iter().for_each(|key| _ = harness.send(0, key));
    (0..8).for_each(|_| _ = harness.send(0, &keys[3]));
    let trace = harness.take_trace();
    let sent = [0, 1, 2, 3].map(|server| trace.matches(&format!("-> server {server}")).count());
    format!("{sent:?} sent, {} rejected", trace.matches("rejected").count())
}

#[test]
fn servers_that_reject_half_get_attempts_and_the_others_are_not_limited_to_the_mean_of_all() {
    // At least half of those servers still get one attempt at a time; the fourth server gets what
    // its limit allows.
    expect!["[2, 2, 2, 5] sent, 0 rejected"]
        .assert_eq(&attempts_after_rejections(|i| b"yynyynyyyn"[i / 3] == b'y'));
}

#[test]
fn a_server_that_rejects_repeatedly_is_full_and_gets_less_than_one_attempt() {
    expect!["[1, 1, 1, 8] sent, 0 rejected"].assert_eq(&attempts_after_rejections(|_| true));
}
