//! How many attempts a server takes at once.

use crate::helper::Harness;
use crate::{FOUR, key_of};
use chalkwalk_balancer::AttemptOutcome;
use expect_test::expect;

#[test]
fn late_answers_lower_a_limit_until_it_is_less_than_one_attempt() {
    let mut harness = Harness::new(&[]);
    harness.ready(&["amber"]);
    for _ in 0..30 {
        let a = harness.send(0, "slow");
        harness.complete(a, 9000);
    }
    harness.take_trace();
    for _ in 0..20 {
        let a = harness.send(0, "slow");
        harness.end(a, 0, AttemptOutcome::CacheMiss);
        harness.client_leaves(a);
    }
    let values = harness.take_trace();
    let line =
        format!("{} sent, {} rejected", values.matches("->").count(), values.matches("rejected").count());
    expect!["2 sent, 19 rejected"].assert_eq(&line);
}

/// Of twelve requests at once a server gets as many as its limit, after so many answers in time and then so many late, a
/// second apart. Where it answered a hundredth of a second before, one late answer says little.
#[test]
fn a_late_answer_lowers_the_limit_to_what_was_in_flight_at_a_server_that_seldom_answers() {
    let apart = [(0, 0), (0, 1), (6, 1), (7, 1), (20, 1), (20, 2), (0, 5)].map(|(n, late)| (n, late, 10_000));
    let limits = apart.into_iter().chain([(0, 5, 100)]).map(|(in_time, late, gap)| {
        let mut harness = Harness::new(&[]);
        harness.ready(&["amber"]);
        for took in std::iter::repeat_n(100, in_time).chain(std::iter::repeat_n(9000, late)) {
            harness.pass(gap);
            let a = harness.send(0, "slow");
            harness.complete(a, took);
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

/// What goes to each of four servers after the first three had 30 requests, of which they rejected some.
fn sent_after(rejected: fn(usize) -> bool) -> String {
    let mut harness = Harness::new(&[("most shots", "1")]);
    harness.ready(&FOUR);
    let keys = FOUR.map(|id| key_of(&mut harness, id));
    for (i, key) in keys[..3].iter().cycle().take(30).enumerate() {
        let request_id = harness.send(0, key);
        harness.end(
            request_id,
            0,
            if rejected(i) { AttemptOutcome::Overloaded } else { AttemptOutcome::Completed },
        );
    }
    harness.take_trace();
    keys[..3].iter().for_each(|key| _ = harness.send(0, key));
    (0..8).for_each(|_| _ = harness.send(0, &keys[3]));
    let values = harness.take_trace();
    let sent = [0, 1, 2, 3].map(|server| values.matches(&format!("-> server {server}")).count());
    format!("{sent:?} sent, {} rejected", values.matches("rejected").count())
}

#[test]
fn servers_that_reject_half_get_attempts_and_the_others_are_not_held_to_the_mean_of_all() {
    // One at a time still goes to those, half of them at least; the fourth takes what its limit allows.
    expect!["[2, 2, 2, 5] sent, 0 rejected"].assert_eq(&sent_after(|i| b"yynyynyyyn"[i / 3] == b'y'));
}

#[test]
fn a_server_that_rejects_again_and_again_is_full_and_gets_less_than_one() {
    expect!["[1, 1, 1, 8] sent, 0 rejected"].assert_eq(&sent_after(|_| true));
}
