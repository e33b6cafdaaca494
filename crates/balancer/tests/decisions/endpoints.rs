//! Lists of servers, calls of operators, and what one process leaves to the next.

use crate::helper::{Harness, SERVER, WATCH};
use crate::{FOUR, key_of, of_birch};
use chalkwalk_balancer::{AttemptOutcome, Endpoint, EndpointStatus, LearnedServer};
use chalkwalk_time::{Span, Timestamp};
use expect_test::expect;

#[test]
fn a_lost_watch_is_renewed_and_spread_out() {
    let mut harness = Harness::new(&[("watched", "1")]);
    harness.ready(&FOUR);
    for _ in 0..3 {
        harness.balancer.discovery_call_failed(Span::ZERO, &mut harness.trace);
        harness.fire_timer(WATCH);
    }
    harness.ready(&FOUR);
    expect![[r#"
        timer in 1319 ms
        log: discovery lost
        timer in 285 ms
        watch endpoints
        timer in 2348 ms
        watch endpoints
        timer in 1698 ms
        watch endpoints
        log: discovery recovered
    "#]]
    .assert_eq(&harness.take_trace());
}

/// Where the list is pushed, what is missed counts as notified at once; where it is polled, after a stated time. No figure makes
/// failing calls spin.
#[test]
fn a_failed_call_for_the_list_is_repeated_while_what_it_missed_is_not_yet_notified() {
    let settings =
        [("0", "10000", ""), ("0", "0", ""), ("1", "", "20000"), ("1", "", "100000"), ("1", "", "0")];
    let waits = settings.map(|(watched, grace, time)| {
        let mut harness = Harness::new(&[("watched", watched), ("drain grace", grace), ("ask time", time)]);
        (0..40).for_each(|_| harness.balancer.discovery_call_failed(Span::ZERO, &mut harness.trace));
        let waits = harness.take_trace();
        let waits =
            waits.lines().filter_map(|l| l.strip_prefix("timer in ")?.strip_suffix(" ms")?.parse().ok());
        let waits: Vec<u64> = waits.collect();
        format!("{watched} {grace} {time}: {:?} to {:?} ms", waits.iter().min(), waits.iter().max())
    });
    expect![[r#"
        0 10000 : Some(63) to Some(245) ms
        0 0 : Some(12) to Some(49) ms
        1  20000: Some(255) to Some(1961) ms
        1  100000: Some(260) to Some(3672) ms
        1  0: Some(250) to Some(1319) ms"#]]
    .assert_eq(&waits.join("\n"));
}

#[test]
fn an_index_is_free_once_nothing_can_name_its_server_and_the_next_one_there_starts_anew() {
    let mut harness = Harness::new(&[]);
    harness.ready(&["amber", "birch"]);
    let key = key_of(&mut harness, "birch");
    let (a, b) = (harness.send(2, &key), harness.send(2, &key));
    let mut values = Vec::new();
    harness.ready(&["amber"]);
    values.push(harness.balancer.index_is_free(1));
    harness.end(a, 0, AttemptOutcome::Unreachable);
    harness.end(b, 0, AttemptOutcome::Completed);
    // It was ejected, and the request that met it is still open.
    harness.fire_timer(SERVER + 1);
    values.push(harness.balancer.index_is_free(1));
    harness.end(a, 1, AttemptOutcome::Completed);
    values.push(harness.balancer.index_is_free(1));
    expect!["[false, false, true]"].assert_eq(&format!("{values:?}"));
}

/// One that operators take out is passed like one that is gone, by requests, health checks and as the last resort, whatever the list
/// says; put back it is in slow start like one that starts then, and gets attempts within seconds.
#[test]
fn a_server_that_operators_take_out_gets_nothing_until_they_put_it_back_in_slow_start() {
    let mut harness = Harness::new(&[("proxies", "4")]);
    harness.pass(1_000_000);
    harness.ready(&FOUR);
    let before = of_birch(&mut harness);
    harness.balancer.set_disabled("birch", true, Timestamp::from_ticks(harness.now));
    harness.balancer.set_disabled("birch", true, Timestamp::from_ticks(harness.now));
    let disabled = of_birch(&mut harness);
    harness.ready(&["amber", "cedar", "delta"]);
    harness.ready(&FOUR);
    let listed_again = of_birch(&mut harness);
    harness.balancer.set_disabled("birch", false, Timestamp::from_ticks(harness.now));
    harness.ready(&FOUR);
    let back = of_birch(&mut harness);
    harness.pass(110_000);
    let later = of_birch(&mut harness);
    expect!["53 before, 0 disabled, 0 listed again, 13 back, 53 later"].assert_eq(&format!(
        "{before} before, {disabled} disabled, {listed_again} listed again, {back} back, {later} later"
    ));
    // All of them out: nothing is sent, and nobody meant by an id that none has.
    FOUR.iter().for_each(|id| harness.balancer.set_disabled(id, true, Timestamp::from_ticks(harness.now)));
    harness.trace = Default::default();
    harness.send(0, "book/1");
    expect!["request 1000 rejected true false"].assert_eq(&format!(
        "{} {} {}",
        harness.take_trace().trim(),
        harness.balancer.knows_server("birch"),
        harness.balancer.knows_server("ember")
    ));
}

/// One that leaves the list while it is out, and comes back at another index, is put back there.
#[test]
fn a_server_that_came_back_at_another_index_while_it_was_disabled_is_put_back() {
    let mut harness = Harness::new(&[]);
    harness.pass(1_000_000);
    harness.ready(&FOUR);
    harness.balancer.set_disabled("birch", true, Timestamp::from_ticks(harness.now));
    harness.ready(&["amber", "cedar", "delta"]);
    let (id, status) = ("birch", EndpointStatus::Ready);
    let back =
        Endpoint { server: 4, id, zone: 0, kind: 0, cell: 0, size: 100, status, born: Timestamp::ZERO };
    harness.balancer.update_endpoints(&[back], &mut harness.trace);
    let mut sent = Vec::new();
    for out in [true, false] {
        harness.balancer.set_disabled("birch", out, Timestamp::from_ticks(harness.now));
        harness.trace = Default::default();
        (0..200).for_each(|i| _ = harness.send(0, &format!("book/{i}")));
        sent.push(harness.take_trace().contains("-> server 4"));
    }
    expect!["[false, true]"].assert_eq(&format!("{sent:?}"));
}

/// What a process before learned of a server holds for the next one from its first request on, unless that server has started
/// since; figures beyond all that could be learned are cut to it. Nothing else is restored: cedar gets attempts though it was ejected.
#[test]
fn the_first_requests_after_a_switch_go_by_what_was_learned_before() {
    let mut old = Harness::new(&[]);
    old.ready(&FOUR);
    for i in 0..60 {
        old.pass(2_000);
        let request_id = old.send(0, &format!("page/{i}"));
        let id = old.last_server();
        let (took, outcome) = match id.as_deref() {
            Some("birch") => (10_000, AttemptOutcome::Completed),
            Some("cedar") => (100, AttemptOutcome::ConnectionLost),
            _ => (100, AttemptOutcome::Completed),
        };
        old.balancer.attempt_ended(
            request_id,
            0,
            outcome,
            Span::from_ticks(took),
            outcome == AttemptOutcome::Completed,
            &mut old.trace,
        );
        old.client_leaves(request_id);
    }
    let learned = old.balancer.learned();
    let excessive = learned.iter().map(|l| LearnedServer {
        key_share: u64::MAX,
        concurrency_limit: u64::MAX,
        size: u64::MAX,
        ..l.clone()
    });
    let days = [(Vec::new(), 0), (learned.clone(), 0), (learned.clone(), 5), (excessive.collect(), 0)];
    let first = days.map(|(learned_before, born)| {
        let mut new = Harness::new(&[("cold time", "0")]);
        new.balancer.restore_learned(learned_before);
        let rows = FOUR.map(|id| (id, 0, EndpointStatus::Ready, if id == "birch" { born } else { 0 }));
        new.list(&rows);
        new.take_trace();
        for i in 0..100 {
            let request_id = new.send(0, &format!("page/{i}"));
            new.client_leaves(request_id);
            new.end(request_id, 0, AttemptOutcome::Cancelled);
        }
        let trace = new.take_trace();
        [1, 2].map(|server| trace.matches(&format!("> server {server}")).count())
    });
    let of: Vec<&str> = learned.iter().map(|l| l.id.as_str()).collect();
    expect![[r#"["birch"]: [[30, 37], [16, 41], [30, 37], [30, 37]] of 100 to birch and cedar"#]]
        .assert_eq(&format!("{of:?}: {first:?} of 100 to birch and cedar"));
}
