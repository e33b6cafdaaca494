//! A random run of calls into the balancer, captured, truncated at any byte, and replayed.

use chalkwalk_balancer::{
    AttemptOutcome, Balancer, Effects, Endpoint, EndpointStatus, RequestId, ServerIndex, StateChange,
};
use chalkwalk_capture::{
    CaptureContents, CaptureItem, Decision, Event, Recorder, encode_item, excerpt, read, replay,
};
use chalkwalk_time::{Span, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

const FILE_MARK: &[u8] = b"chalkwalk capture 2\n";

/// What surrounds a balancer in a proxy: attempts in flight, timers that are due, and the recorder.
struct Surroundings {
    recorder: Recorder,
    now: Timestamp,
    attempts: Vec<(RequestId, usize, Timestamp)>,
    attempt_counts: BTreeMap<u64, usize>,
    timers: Vec<(Timestamp, u64)>,
}

impl Effects for Surroundings {
    fn start_attempt(&mut self, request_id: RequestId, server: ServerIndex, until: Timestamp, by: Timestamp) {
        self.recorder.record_decision(Decision::StartAttempt { request_id: request_id.0, server, until, by });
        let nth = self.attempt_counts.entry(request_id.0).or_default();
        self.attempts.push((request_id, *nth, self.now));
        *nth += 1;
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
    values.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()
}

/// Makes random calls for so many steps, and returns the capture's bytes. A failing disk accepts no block.
fn random_run(seed: u64, steps: usize, disk_fails: impl Fn(usize) -> bool + 'static) -> Vec<u8> {
    let bytes = Rc::new(RefCell::new(FILE_MARK.to_vec()));
    let (into, count) = (bytes.clone(), RefCell::new(0));
    let sink = Box::new(move |block: Vec<u8>| {
        let nth = count.replace_with(|n| *n + 1);
        if disk_fails(nth) {
            return false;
        }
        into.borrow_mut().extend(block);
        true
    });
    let mut random = seed | 1;
    let mut below = move |end: u64| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random % end
    };
    let start = 17_000_000_000_000;
    let mut outside = Surroundings {
        recorder: Recorder::new(sink, seed.is_multiple_of(2)).snapshots_each(Span::from_ticks(2_000)),
        now: Timestamp::from_ticks(start),
        attempts: vec![],
        attempt_counts: BTreeMap::new(),
        timers: vec![],
    };
    outside.recorder.record_event(Timestamp::from_ticks(start), Event::Start { seed, settings: settings() });
    let mut balancer = Balancer::new(seed, &settings(), &mut outside);
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
        outside.now += Span::from_ticks(below(60));
        let now = outside.now;
        balancer.advance_clock(now);
        if outside.recorder.wants_snapshot(now) {
            outside.recorder.snapshot(
                now,
                &settings(),
                balancer.snapshot().expect("no reload, so each request has the settings in force"),
            );
        }
        match below(20) {
            _ if step == 0 || below(200) == 0 => {
                let endpoint = |i: usize| {
                    let kind = usize::from(i == 8);
                    let status =
                        if i == 8 || below(6) > 0 { EndpointStatus::Ready } else { EndpointStatus::Draining };
                    let born =
                        if below(4) == 0 { now - Span::from_ticks(below(60_000)) } else { Timestamp::ZERO };
                    Endpoint {
                        server: i,
                        id: &ids[i],
                        zone: i % 2,
                        kind,
                        cell: 0,
                        size: 100 + 50 * (i as u64 % 2),
                        status,
                        born,
                    }
                };
                let endpoints: Vec<Endpoint> = (0..9).map(endpoint).collect();
                outside.recorder.endpoints_listed(now, true, &endpoints);
                balancer.replace_endpoints(&endpoints, &mut outside);
            }
            0..7 => {
                let (class, key, write) = (below(2) as usize, format!("k{}", below(60)), below(10) == 0);
                let order = (below(9) == 0).then(|| vec![below(8) as usize, below(8) as usize]);
                outside.recorder.request_accepted(
                    now,
                    class,
                    &key,
                    write,
                    now + Span::from_ticks(10_000),
                    order.as_deref(),
                );
                let request_id = balancer.accept_request(class, &key, write, now + Span::from_ticks(10_000));
                if let Some(order) = order {
                    balancer.restrict_to(request_id, order);
                }
                balancer.route_request(request_id, &mut outside);
            }
            7..17 if !outside.attempts.is_empty() => {
                let (request_id, attempt, sent) =
                    outside.attempts.swap_remove(below(outside.attempts.len() as u64) as usize);
                let outcome =
                    if below(4) > 0 { AttemptOutcome::Completed } else { outcomes[below(10) as usize] };
                let finished =
                    matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::CompletedFromCache);
                outside.recorder.attempt_ended(
                    now,
                    request_id.0,
                    attempt,
                    outcome,
                    now - sent,
                    finished,
                    None,
                );
                balancer.attempt_ended(request_id, attempt, outcome, now - sent, finished, &mut outside);
            }
            17 => {
                let request_id = below(1 + step as u64 / 3);
                outside.recorder.record_event(now, Event::ClientLeft(request_id));
                balancer.client_left(RequestId(request_id), &mut outside);
            }
            _ => {
                let Some(i) = (0..outside.timers.len()).find(|i| outside.timers[*i].0 <= now) else {
                    continue;
                };
                let (_, token) = outside.timers.swap_remove(i);
                if token > u64::MAX - 100 {
                    let (server, answered) = ((u64::MAX - token) as usize, below(2) == 0);
                    outside.recorder.record_event(now, Event::HealthCheckFinished { server, answered });
                    balancer.health_check_finished(server, answered, &mut outside);
                } else {
                    outside.recorder.record_event(now, Event::TimerFired(token));
                    balancer.timer_fired(token, &mut outside);
                }
            }
        }
    }
    drop(outside);
    Rc::try_unwrap(bytes).expect("the recorder is gone").into_inner()
}

#[test]
fn a_replay_decides_the_same_twice_and_truncated_at_a_thousand_bytes() {
    let bytes = random_run(7, 2_500, |_| false);
    let CaptureContents { items, damage } = read(&bytes).unwrap();
    let whole = replay(items.iter());
    assert_eq!((damage, &whole.first_difference, whole.differences, whole.skipped), (None, &None, 0, 0));
    assert!(whole.calls > 1_500 && whole.decisions > 1_500 && whole.starts == 1, "{whole:?}");
    assert!(whole.compared > 20 && whole.resumed == 0, "{whole:?}");
    let again = replay(items.iter());
    assert_eq!((again.calls, again.decisions, again.differences), (whole.calls, whole.decisions, 0));
    // Truncated by a crash at any byte: what is there replays, and nothing fails.
    for nth in 0..1000 {
        let cut = bytes.len() * nth / 1000;
        let found = read(&bytes[..cut]).unwrap();
        let part = replay(found.items.iter());
        assert!(part.differences == 0 && part.calls <= whole.calls);
        assert_eq!(part.calls == 0, found.items.is_empty());
    }
}

/// The items from the nth snapshot on.
fn items_from_snapshot(items: &[CaptureItem], nth: usize) -> Vec<CaptureItem> {
    let mut left = nth;
    for (i, item) in items.iter().enumerate() {
        let CaptureItem::Calls(block) = item else { continue };
        let mut at = block.from;
        for (c, call) in block.calls.iter().enumerate() {
            at += call.after;
            if !matches!(call.event, Event::Snapshot { .. }) {
                continue;
            }
            if left == 0 {
                let mut calls = block.calls[c..].to_vec();
                calls[0].after = Span::ZERO;
                let first = CaptureItem::Calls(chalkwalk_capture::CallBlock { from: at, calls });
                return std::iter::once(first).chain(items[i + 1..].iter().cloned()).collect();
            }
            left -= 1;
        }
    }
    Vec::new()
}

#[test]
fn a_replay_from_any_snapshot_decides_the_same_as_from_the_start() {
    let bytes = random_run(11, 2_500, |_| false);
    let items = read(&bytes).unwrap().items;
    for nth in 0..20 {
        let part = items_from_snapshot(&items, nth);
        let replayed = replay(part.iter());
        assert_eq!(
            (replayed.resumed, replayed.differences, replayed.skipped, &replayed.first_difference),
            (1, 0, 0, &None),
            "{nth}"
        );
        assert!(replayed.calls > 100 && replayed.compared > 0, "{nth} {replayed:?}");
    }
    // A state with a number changed is another state, or none at all, and the next snapshot shows it.
    let mut part = items_from_snapshot(&items, 3);
    let CaptureItem::Calls(block) = &mut part[0] else { unreachable!() };
    let Event::Snapshot { words, .. } = &mut block.calls[0].event else { unreachable!() };
    words[4] += 1;
    assert!(replay(part.iter()).differences > 0);
}

#[test]
fn an_excerpt_holds_all_that_a_replay_of_a_call_needs() {
    let items = read(&random_run(12, 2_500, |_| false)).unwrap().items;
    for until in [0, 5, 400, 1_200] {
        let part = excerpt(&items, until).expect("a start stands before it");
        let (whole, replayed) = (replay(items.iter()), replay(part.iter()));
        assert_eq!((replayed.differences, replayed.skipped), (0, 0), "{until}");
        assert!(replayed.calls <= whole.calls && replayed.calls < 400, "{until}: {replayed:?}");
    }
    assert_eq!(excerpt(&items, 1 << 40), None);
}

#[test]
fn a_decision_that_differs_is_reported_with_the_event_before_it() {
    let bytes = random_run(8, 2_000, |_| false);
    let mut items = read(&bytes).unwrap().items;
    let Some(CaptureItem::Calls(block)) = items.get_mut(5) else { panic!("no block") };
    let at = block
        .calls
        .iter()
        .position(|c| c.decisions.iter().any(|d| matches!(d, Decision::StartAttempt { .. })))
        .expect("an attempt");
    let call = &mut block.calls[at];
    for decision in &mut call.decisions {
        if let Decision::StartAttempt { server, .. } = decision {
            *server += 1;
        }
    }
    let (event, recorded) = (call.event.clone(), call.decisions.clone());
    let replayed = replay(items.iter());
    let first = replayed.first_difference.expect("a difference");
    assert_eq!((replayed.differences, first.event, first.recorded), (1, event, recorded));
    assert_eq!(
        replayed.difference_kinds.into_iter().collect::<Vec<_>>(),
        [("another attempt".to_string(), 1)]
    );
}

#[test]
fn blocks_refused_by_the_disk_are_a_gap_and_a_replay_resumes_at_the_next_snapshot() {
    let bytes = random_run(9, 6_000, |nth| (10..14).contains(&nth));
    let items = read(&bytes).unwrap().items;
    let gaps: Vec<u64> =
        items.iter().filter_map(|i| if let CaptureItem::Gap(n) = i { Some(*n) } else { None }).collect();
    let replayed = replay(items.iter());
    assert!(gaps.len() == 1 && gaps[0] > 200, "{gaps:?}");
    assert!(replayed.differences == 0 && replayed.calls > 3_000 && replayed.resumed == 1, "{replayed:?}");
    assert!(replayed.skipped < gaps[0] + 150, "{replayed:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes are read without a panic, and a good capture with any byte changed is read up to there, and no more.
    #[test]
    fn damaged_bytes_are_reported(noise in proptest::collection::vec(any::<u8>(), 0..300), at in any::<usize>(), with in 1u8..) {
        _ = read(&noise);
        _ = read(&[FILE_MARK, &noise].concat());
        let good = random_run(3, 400, |_| false);
        let mut bytes = good.clone();
        let at = FILE_MARK.len() + at % (bytes.len() - FILE_MARK.len());
        bytes[at] ^= with;
        let (damaged, whole) = (read(&bytes).unwrap(), read(&good).unwrap());
        prop_assert!(damaged.damage.is_some_and(|damage| damage.at <= at));
        prop_assert!(whole.items.starts_with(&damaged.items));
        prop_assert_eq!(encode_item(&whole.items[0]).len() + FILE_MARK.len() <= good.len(), true);
    }
}
