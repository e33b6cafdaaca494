//! Records random calls into a balancer and replays the capture: whole, truncated, damaged, from a
//! snapshot and with a gap.

use chalkwalk_balancer::{
    AttemptOutcome, Balancer, Effects, Endpoint, EndpointStatus, RequestId, ServerIndex, StateChange,
};
use chalkwalk_capture::{
    CaptureContents, CaptureItem, Decision, Event, Recorder, encode_item, excerpt, read_segment, replay,
};
use chalkwalk_time::{Span, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

const FILE_SIGNATURE: &[u8] = b"chalkwalk capture 2\n";

/// The part of a proxy that surrounds the balancer: attempts in flight, timers, and the recorder.
struct TestProxy {
    recorder: Recorder,
    now: Timestamp,
    /// The attempts in flight: the request, the attempt's index in it, and when it was sent.
    attempts: Vec<(RequestId, usize, Timestamp)>,
    /// The number of attempts of each request so far.
    attempt_counts: BTreeMap<u64, usize>,
    /// When each timer or health check is due, and its token. The token of a health check is
    /// `u64::MAX` minus the server's index.
    timers: Vec<(Timestamp, u64)>,
}

impl Effects for TestProxy {
    fn start_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerIndex,
        deadline: Timestamp,
        send_by: Timestamp,
    ) {
        self.recorder.record_decision(Decision::StartAttempt {
            request_id: request_id.0,
            server,
            until: deadline,
            by: send_by,
        });
        let attempt_count = self.attempt_counts.entry(request_id.0).or_default();
        self.attempts.push((request_id, *attempt_count, self.now));
        *attempt_count += 1;
    }
    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize) {
        self.recorder.record_decision(Decision::CancelAttempt { request_id: request_id.0, attempt });
    }
    fn reject(&mut self, request_id: RequestId, back_in: Span) {
        self.recorder.record_decision(Decision::Reject { request_id: request_id.0, back_in });
    }
    fn fail(&mut self, request_id: RequestId) {
        self.recorder.record_decision(Decision::Fail(request_id.0));
    }
    fn check_health(&mut self, server: ServerIndex) {
        self.recorder.record_decision(Decision::CheckHealth(server));
        self.timers.push((self.now + Span::from_ticks(100), u64::MAX - server as u64));
    }
    fn set_timer(&mut self, token: u64, after: Span) {
        self.recorder.record_decision(Decision::SetTimer { token, after });
        self.timers.push((self.now + after, token));
    }
    fn watch_endpoints(&mut self) {
        self.recorder.record_decision(Decision::WatchEndpoints);
    }
    fn report(&mut self, change: StateChange) {
        self.recorder.record_decision(Decision::Log {
            event: change.stored_name().into(),
            server: change.server().unwrap_or_default().into(),
        });
    }
}

fn settings() -> BTreeMap<String, String> {
    let values = [
        ("zone", "0"),
        ("most shots", "4"),
        ("second copies", "1"),
        ("probes", "1"),
        ("withdrawals", "1"),
        ("longest stay away", "20000"),
        ("proxies", "3"),
        ("origin kind", "1"),
        ("cold time", "50000"),
        ("cold share", "0.2"),
        ("namespaces", "2"),
        ("namespace 0 target time", "3000"),
        ("namespace 0 repeats", "replayable"),
        ("namespace 1 target time", "9000"),
        ("namespace 1 repeats", "tagged"),
        ("namespace 1 group", "all"),
        ("namespace 1 window", "15000"),
    ];
    values.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// Makes random calls for `steps` steps and returns the capture's bytes. The sink refuses the nth
/// item if `disk_fails(nth)`.
fn record_random_calls(seed: u64, steps: usize, disk_fails: impl Fn(usize) -> bool + 'static) -> Vec<u8> {
    let bytes = Rc::new(RefCell::new(FILE_SIGNATURE.to_vec()));
    let (written, count) = (bytes.clone(), RefCell::new(0));
    let sink = Box::new(move |block: Vec<u8>| {
        let nth = count.replace_with(|n| *n + 1);
        if disk_fails(nth) {
            return false;
        }
        written.borrow_mut().extend(block);
        true
    });
    let mut random = seed | 1;
    let mut random_below = move |end: u64| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random % end
    };
    let start = 17_000_000_000_000;
    let mut proxy = TestProxy {
        recorder: Recorder::new(sink, seed.is_multiple_of(2)).with_snapshot_interval(Span::from_ticks(2_000)),
        now: Timestamp::from_ticks(start),
        attempts: vec![],
        attempt_counts: BTreeMap::new(),
        timers: vec![],
    };
    proxy.recorder.record_event(Timestamp::from_ticks(start), Event::Start { seed, settings: settings() });
    let mut balancer = Balancer::new(seed, &settings(), &mut proxy);
    let ids: Vec<String> = (0..9).map(|i| format!("c{i}")).collect();
    let outcomes = [
        AttemptOutcome::Completed,
        AttemptOutcome::CompletedFromCache,
        AttemptOutcome::CacheMiss,
        AttemptOutcome::ServerError,
        AttemptOutcome::Overloaded,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Unreachable,
        AttemptOutcome::InvalidRequest,
        AttemptOutcome::NotSent,
    ];
    for step in 0..steps {
        proxy.now += Span::from_ticks(random_below(60));
        let now = proxy.now;
        balancer.advance_clock(now);
        if proxy.recorder.is_snapshot_due(now) {
            proxy.recorder.record_snapshot(
                now,
                &settings(),
                balancer.snapshot().expect("settings are never reloaded, so a snapshot is always possible"),
            );
        }
        match random_below(20) {
            _ if step == 0 || random_below(200) == 0 => {
                let endpoint = |i: usize| {
                    let kind = usize::from(i == 8);
                    let status = if i == 8 || random_below(6) > 0 {
                        EndpointStatus::Ready
                    } else {
                        EndpointStatus::Draining
                    };
                    let started_at = if random_below(4) == 0 {
                        now - Span::from_ticks(random_below(60_000))
                    } else {
                        Timestamp::ZERO
                    };
                    Endpoint {
                        server: i,
                        id: &ids[i],
                        zone: i % 2,
                        kind,
                        cell: 0,
                        weight_hundredths: 100 + 50 * (i as u64 % 2),
                        status,
                        started_at,
                    }
                };
                let endpoints: Vec<Endpoint> = (0..9).map(endpoint).collect();
                proxy.recorder.record_endpoints_listed(now, true, &endpoints);
                balancer.replace_endpoints(&endpoints, &mut proxy);
            }
            0..7 => {
                let (class, key, write) =
                    (random_below(2) as usize, format!("k{}", random_below(60)), random_below(10) == 0);
                let order =
                    (random_below(9) == 0).then(|| vec![random_below(8) as usize, random_below(8) as usize]);
                proxy.recorder.record_request_accepted(
                    now,
                    class,
                    &key,
                    write,
                    now + Span::from_ticks(10_000),
                    order.as_deref(),
                );
                let request_id = balancer.accept_request(class, &key, write, now + Span::from_ticks(10_000));
                if let Some(order) = order {
                    balancer.restrict_servers(request_id, order);
                }
                balancer.route_request(request_id, &mut proxy);
            }
            7..17 if !proxy.attempts.is_empty() => {
                let (request_id, attempt, sent_at) =
                    proxy.attempts.swap_remove(random_below(proxy.attempts.len() as u64) as usize);
                let outcome = if random_below(4) > 0 {
                    AttemptOutcome::Completed
                } else {
                    outcomes[random_below(10) as usize]
                };
                let finished =
                    matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::CompletedFromCache);
                proxy.recorder.record_attempt_ended(
                    now,
                    request_id.0,
                    attempt,
                    outcome,
                    now - sent_at,
                    finished,
                    None,
                );
                balancer.attempt_ended(request_id, attempt, outcome, now - sent_at, finished, &mut proxy);
            }
            17 => {
                let request_id = random_below(1 + step as u64 / 3);
                proxy.recorder.record_event(now, Event::ClientLeft(request_id));
                balancer.client_disconnected(RequestId(request_id), &mut proxy);
            }
            _ => {
                let Some(i) = (0..proxy.timers.len()).find(|i| proxy.timers[*i].0 <= now) else {
                    continue;
                };
                let (_, token) = proxy.timers.swap_remove(i);
                if token > u64::MAX - 100 {
                    let (server, answered) = ((u64::MAX - token) as usize, random_below(2) == 0);
                    proxy.recorder.record_event(now, Event::HealthCheckFinished { server, answered });
                    balancer.health_check_finished(server, answered, &mut proxy);
                } else {
                    proxy.recorder.record_event(now, Event::TimerFired(token));
                    balancer.timer_fired(token, &mut proxy);
                }
            }
        }
    }
    drop(proxy);
    Rc::try_unwrap(bytes).expect("the recorder has been dropped").into_inner()
}

#[test]
fn a_replay_is_repeatable_and_reads_a_capture_truncated_at_any_of_1000_offsets() {
    let bytes = record_random_calls(7, 2_500, |_| false);
    let CaptureContents { items, damage } = read_segment(&bytes).unwrap();
    let whole = replay(items.iter());
    assert_eq!(
        (damage, &whole.first_difference, whole.differing_calls, whole.skipped_calls),
        (None, &None, 0, 0)
    );
    assert!(whole.calls > 1_500 && whole.decisions > 1_500 && whole.start_count == 1, "{whole:?}");
    assert!(whole.compared_snapshots > 20 && whole.resumed_snapshots == 0, "{whole:?}");
    let again = replay(items.iter());
    assert_eq!((again.calls, again.decisions, again.differing_calls), (whole.calls, whole.decisions, 0));
    // A crash can truncate the capture at any byte. What remains has to replay without a
    // difference.
    for nth in 0..1000 {
        let offset = bytes.len() * nth / 1000;
        let truncated = read_segment(&bytes[..offset]).unwrap();
        let replayed = replay(truncated.items.iter());
        assert!(replayed.differing_calls == 0 && replayed.calls <= whole.calls);
        assert_eq!(replayed.calls == 0, truncated.items.is_empty());
    }
}

/// Returns the items from the nth snapshot on. Snapshots are numbered from 0.
fn items_from_snapshot(items: &[CaptureItem], nth: usize) -> Vec<CaptureItem> {
    let mut snapshots_left = nth;
    for (item_index, item) in items.iter().enumerate() {
        let CaptureItem::Calls(block) = item else { continue };
        let mut call_time = block.from;
        for (call_index, call) in block.calls.iter().enumerate() {
            call_time += call.after;
            if !matches!(call.event, Event::Snapshot { .. }) {
                continue;
            }
            if snapshots_left == 0 {
                let mut calls = block.calls[call_index..].to_vec();
                calls[0].after = Span::ZERO;
                let first = CaptureItem::Calls(chalkwalk_capture::CallBlock { from: call_time, calls });
                return std::iter::once(first).chain(items[item_index + 1..].iter().cloned()).collect();
            }
            snapshots_left -= 1;
        }
    }
    Vec::new()
}

#[test]
fn a_replay_from_any_snapshot_makes_the_recorded_decisions() {
    let bytes = record_random_calls(11, 2_500, |_| false);
    let items = read_segment(&bytes).unwrap().items;
    for nth in 0..20 {
        let part = items_from_snapshot(&items, nth);
        let replayed = replay(part.iter());
        assert_eq!(
            (
                replayed.resumed_snapshots,
                replayed.differing_calls,
                replayed.skipped_calls,
                &replayed.first_difference
            ),
            (1, 0, 0, &None),
            "{nth}"
        );
        assert!(replayed.calls > 100 && replayed.compared_snapshots > 0, "{nth} {replayed:?}");
    }
    // A snapshot with a changed number is a different state or an invalid one, and the comparison
    // with the next snapshot shows it.
    let mut changed = items_from_snapshot(&items, 3);
    let CaptureItem::Calls(block) = &mut changed[0] else { unreachable!() };
    let Event::Snapshot { words, .. } = &mut block.calls[0].event else { unreachable!() };
    words[4] += 1;
    assert!(replay(changed.iter()).differing_calls > 0);
}

#[test]
fn an_excerpt_holds_everything_that_a_replay_of_the_call_needs() {
    let items = read_segment(&record_random_calls(12, 2_500, |_| false)).unwrap().items;
    for call_number in [0, 5, 400, 1_200] {
        let part = excerpt(&items, call_number).expect("a start precedes the call");
        let (whole, replayed) = (replay(items.iter()), replay(part.iter()));
        assert_eq!((replayed.differing_calls, replayed.skipped_calls), (0, 0), "{call_number}");
        assert!(replayed.calls <= whole.calls && replayed.calls < 400, "{call_number}: {replayed:?}");
    }
    assert_eq!(excerpt(&items, 1 << 40), None);
}

#[test]
fn a_decision_that_differs_is_reported_with_the_event_that_led_to_it() {
    let bytes = record_random_calls(8, 2_000, |_| false);
    let mut items = read_segment(&bytes).unwrap().items;
    let Some(CaptureItem::Calls(block)) = items.get_mut(5) else { panic!("item 5 is not a block of calls") };
    let call_index = block
        .calls
        .iter()
        .position(|call| call.decisions.iter().any(|d| matches!(d, Decision::StartAttempt { .. })))
        .expect("a call that starts an attempt");
    let call = &mut block.calls[call_index];
    for decision in &mut call.decisions {
        if let Decision::StartAttempt { server, .. } = decision {
            *server += 1;
        }
    }
    let (event, recorded) = (call.event.clone(), call.decisions.clone());
    let replayed = replay(items.iter());
    let difference = replayed.first_difference.expect("a difference");
    assert_eq!((replayed.differing_calls, difference.event, difference.recorded), (1, event, recorded));
    assert_eq!(
        replayed.difference_kinds.into_iter().collect::<Vec<_>>(),
        [("different attempt".to_string(), 1)]
    );
}

#[test]
fn blocks_refused_by_the_sink_become_a_gap_and_a_replay_resumes_at_the_next_snapshot() {
    let bytes = record_random_calls(9, 6_000, |nth| (10..14).contains(&nth));
    let items = read_segment(&bytes).unwrap().items;
    let gaps: Vec<u64> = items
        .iter()
        .filter_map(|item| if let CaptureItem::Gap(calls) = item { Some(*calls) } else { None })
        .collect();
    let replayed = replay(items.iter());
    assert!(gaps.len() == 1 && gaps[0] > 200, "{gaps:?}");
    assert!(
        replayed.differing_calls == 0 && replayed.calls > 3_000 && replayed.resumed_snapshots == 1,
        "{replayed:?}"
    );
    assert!(replayed.skipped_calls < gaps[0] + 150, "{replayed:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Arbitrary bytes are read without a panic. An intact capture with any one byte changed is
    /// read at most up to that byte.
    #[test]
    fn damaged_bytes_are_reported(
        noise in proptest::collection::vec(any::<u8>(), 0..300),
        position in any::<usize>(),
        xor_mask in 1u8..
    ) {
        _ = read_segment(&noise);
        _ = read_segment(&[FILE_SIGNATURE, &noise].concat());
        let intact = record_random_calls(3, 400, |_| false);
        let mut bytes = intact.clone();
        let position = FILE_SIGNATURE.len() + position % (bytes.len() - FILE_SIGNATURE.len());
        bytes[position] ^= xor_mask;
        let (damaged, whole) = (read_segment(&bytes).unwrap(), read_segment(&intact).unwrap());
        prop_assert!(damaged.damage.is_some_and(|damage| damage.offset <= position));
        prop_assert!(whole.items.starts_with(&damaged.items));
        prop_assert_eq!(encode_item(&whole.items[0]).len() + FILE_SIGNATURE.len() <= intact.len(), true);
    }
}
