//! Endpoint lists, servers that operators disable, and the learned figures that one process hands
//! to the next.

use crate::helper::{DISCOVERY_TOKEN, FIRST_SERVER_TOKEN, Harness};
use crate::{FOUR_SERVERS, birch_key_count, key_owned_by};
use chalkwalk_balancer::{AttemptOutcome, Endpoint, EndpointStatus, LearnedServer};
use chalkwalk_time::{Span, Timestamp};
use expect_test::expect;

#[test]
fn a_lost_watch_is_renewed_after_a_random_delay() {
    let mut harness = Harness::new(&[("watched", "1")]);
    harness.set_ready_servers(&FOUR_SERVERS);
    for _ in 0..3 {
        harness.balancer.discovery_call_failed(Span::ZERO, &mut harness.trace);
        harness.fire_timer(DISCOVERY_TOKEN);
    }
    harness.set_ready_servers(&FOUR_SERVERS);
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

/// Where the list is pushed, a change that a failed call missed counts as notified at once; where
/// the list is polled, only after a configured time. With no value of these settings are failing
/// calls repeated in a busy loop.
#[test]
fn a_failed_list_call_is_repeated_before_the_changes_that_it_missed_count_as_notified() {
    let settings =
        [("0", "10000", ""), ("0", "0", ""), ("1", "", "20000"), ("1", "", "100000"), ("1", "", "0")];
    let waits = settings.map(|(watched, drain_grace, ask_time)| {
        let mut harness =
            Harness::new(&[("watched", watched), ("drain grace", drain_grace), ("ask time", ask_time)]);
        (0..40).for_each(|_| harness.balancer.discovery_call_failed(Span::ZERO, &mut harness.trace));
        let waits = harness.take_trace();
        let waits =
            waits.lines().filter_map(|l| l.strip_prefix("timer in ")?.strip_suffix(" ms")?.parse().ok());
        let waits: Vec<u64> = waits.collect();
        format!("{watched} {drain_grace} {ask_time}: {:?} to {:?} ms", waits.iter().min(), waits.iter().max())
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
fn an_index_is_free_once_nothing_can_refer_to_its_server() {
    let mut harness = Harness::new(&[]);
    harness.set_ready_servers(&["amber", "birch"]);
    let key = key_owned_by(&mut harness, "birch");
    let (first, second) = (harness.send(2, &key), harness.send(2, &key));
    let mut index_free = Vec::new();
    harness.set_ready_servers(&["amber"]);
    index_free.push(harness.balancer.index_is_free(1));
    harness.end_attempt(first, 0, AttemptOutcome::Unreachable);
    harness.end_attempt(second, 0, AttemptOutcome::Completed);
    // The server was ejected, and the request that could not connect to it is still open.
    harness.fire_timer(FIRST_SERVER_TOKEN + 1);
    index_free.push(harness.balancer.index_is_free(1));
    harness.end_attempt(first, 1, AttemptOutcome::Completed);
    index_free.push(harness.balancer.index_is_free(1));
    expect!["[false, false, true]"].assert_eq(&format!("{index_free:?}"));
}

/// A server that operators disable is treated as if it had left the list, whatever the list says:
/// it gets no requests and no health checks, and is not the last resort either. When they enable it
/// again, it is in slow start like a server that starts at that time, and gets attempts within
/// seconds.
#[test]
fn a_server_disabled_by_operators_gets_nothing_and_is_in_slow_start_once_enabled() {
    let mut harness = Harness::new(&[("proxies", "4")]);
    harness.advance_clock(1_000_000);
    harness.set_ready_servers(&FOUR_SERVERS);
    let before = birch_key_count(&mut harness);
    harness.balancer.set_disabled("birch", true, Timestamp::from_ticks(harness.now));
    harness.balancer.set_disabled("birch", true, Timestamp::from_ticks(harness.now));
    let disabled = birch_key_count(&mut harness);
    harness.set_ready_servers(&["amber", "cedar", "delta"]);
    harness.set_ready_servers(&FOUR_SERVERS);
    let listed_again = birch_key_count(&mut harness);
    harness.balancer.set_disabled("birch", false, Timestamp::from_ticks(harness.now));
    harness.set_ready_servers(&FOUR_SERVERS);
    let enabled = birch_key_count(&mut harness);
    harness.advance_clock(110_000);
    let after_slow_start = birch_key_count(&mut harness);
    expect!["53 before, 0 disabled, 0 listed again, 13 enabled, 53 after slow start"].assert_eq(&format!(
        "{before} before, {disabled} disabled, {listed_again} listed again, {enabled} enabled, \
         {after_slow_start} after slow start"
    ));
    // All servers are disabled: nothing is sent. An id that no server has is unknown.
    FOUR_SERVERS
        .iter()
        .for_each(|id| harness.balancer.set_disabled(id, true, Timestamp::from_ticks(harness.now)));
    harness.trace = Default::default();
    harness.send(0, "book/1");
    expect!["request 1000 rejected true false"].assert_eq(&format!(
        "{} {} {}",
        harness.take_trace().trim(),
        harness.balancer.is_known_server("birch"),
        harness.balancer.is_known_server("ember")
    ));
}

/// A server that leaves the list while it is disabled, and is listed again at another index, can be
/// enabled at that index.
#[test]
fn a_disabled_server_that_is_listed_again_at_another_index_can_be_enabled() {
    let mut harness = Harness::new(&[]);
    harness.advance_clock(1_000_000);
    harness.set_ready_servers(&FOUR_SERVERS);
    harness.balancer.set_disabled("birch", true, Timestamp::from_ticks(harness.now));
    harness.set_ready_servers(&["amber", "cedar", "delta"]);
    let (id, status) = ("birch", EndpointStatus::Ready);
    let relisted = Endpoint {
        server: 4,
        id,
        zone: 0,
        kind: 0,
        cell: 0,
        weight_hundredths: 100,
        status,
        started_at: Timestamp::ZERO,
    };
    harness.balancer.update_endpoints(&[relisted], &mut harness.trace);
    let mut sent = Vec::new();
    for disabled in [true, false] {
        harness.balancer.set_disabled("birch", disabled, Timestamp::from_ticks(harness.now));
        harness.trace = Default::default();
        (0..200).for_each(|i| _ = harness.send(0, &format!("book/{i}")));
        sent.push(harness.take_trace().contains("-> server 4"));
    }
    expect!["[false, true]"].assert_eq(&format!("{sent:?}"));
}

/// What one process has learned about a server applies in the next process from its first request
/// on, unless that server has restarted since. Figures out of the valid range are clamped to it.
/// Nothing else is restored: cedar gets attempts although the old process had ejected it.
#[test]
fn the_first_requests_after_a_handover_use_what_the_old_process_learned() {
    let mut old = Harness::new(&[]);
    old.set_ready_servers(&FOUR_SERVERS);
    for i in 0..60 {
        old.advance_clock(2_000);
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
        old.disconnect_client(request_id);
    }
    let learned = old.balancer.learned_servers();
    let excessive = learned.iter().map(|l| LearnedServer {
        key_share: u64::MAX,
        concurrency_limit: u64::MAX,
        max_weight_hundredths: u64::MAX,
        ..l.clone()
    });
    let cases = [(Vec::new(), 0), (learned.clone(), 0), (learned.clone(), 5), (excessive.collect(), 0)];
    let counts = cases.map(|(learned_earlier, started_at)| {
        let mut new = Harness::new(&[("cold time", "0")]);
        new.balancer.restore_learned_servers(learned_earlier);
        let rows =
            FOUR_SERVERS.map(|id| (id, 0, EndpointStatus::Ready, if id == "birch" { started_at } else { 0 }));
        new.set_endpoints(&rows);
        new.take_trace();
        for i in 0..100 {
            let request_id = new.send(0, &format!("page/{i}"));
            new.disconnect_client(request_id);
            new.end_attempt(request_id, 0, AttemptOutcome::Cancelled);
        }
        let trace = new.take_trace();
        [1, 2].map(|server| trace.matches(&format!("> server {server}")).count())
    });
    let learned_ids: Vec<&str> = learned.iter().map(|l| l.id.as_str()).collect();
    expect![[r#"["birch"]: [[30, 37], [16, 41], [30, 37], [30, 37]] of 100 to birch and cedar"#]]
        .assert_eq(&format!("{learned_ids:?}: {counts:?} of 100 to birch and cedar"));
}
