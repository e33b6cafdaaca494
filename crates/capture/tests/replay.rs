//! A day of random troubles played to the balancer, captured, cut at any point, and replayed.

use chalkwalk_balancer::{
    AttemptOutcome, Balancer, Effects, Endpoint, EndpointStatus, RequestId, ServerIndex,
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

/// A proxy's outside: attempts that are out, wakes that are due, and the tape.
struct Outside {
    recorder: Recorder,
    now: Timestamp,
    attempts: Vec<(RequestId, usize, Timestamp)>,
    of: BTreeMap<u64, usize>,
    wakes: Vec<(Timestamp, u64)>,
}

impl Effects for Outside {
    fn start_attempt(&mut self, request_id: RequestId, server: ServerIndex, until: Timestamp, by: Timestamp) {
        self.recorder.record_decision(Decision::StartAttempt { request_id: request_id.0, server, until, by });
        let nth = self.of.entry(request_id.0).or_default();
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
        self.wakes.push((self.now + Span::from_ticks(100), u64::MAX - server as u64));
    }
    fn set_timer(&mut self, token: u64, after: Span) {
        self.recorder.record_decision(Decision::SetTimer { token, after });
        self.wakes.push((self.now + after, token));
    }
    fn watch_endpoints(&mut self) {
        self.recorder.record_decision(Decision::WatchEndpoints);
    }
    fn log(&mut self, event: &str, server: &str) {
        self.recorder.record_decision(Decision::Log { event: event.into(), server: server.into() });
    }
}

fn settings() -> BTreeMap<String, String> {
    let said = [
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
    said.iter().map(|(k, v)| (k.to_string(), v.to_string())).collect()
}

/// Plays so many steps, and gives the capture's bytes. A bad disk takes no block while it is bad.
fn day(seed: u64, steps: usize, bad: impl Fn(usize) -> bool + 'static) -> Vec<u8> {
    let bytes = Rc::new(RefCell::new(FILE_MARK.to_vec()));
    let (into, count) = (bytes.clone(), RefCell::new(0));
    let sink = Box::new(move |block: Vec<u8>| {
        let nth = count.replace_with(|n| *n + 1);
        if bad(nth) {
            return false;
        }
        into.borrow_mut().extend(block);
        true
    });
    let mut chance = seed | 1;
    let mut below = move |end: u64| {
        chance ^= chance << 13;
        chance ^= chance >> 7;
        chance ^= chance << 17;
        chance % end
    };
    let start = 17_000_000_000_000;
    let mut o = Outside {
        recorder: Recorder::new(sink, seed.is_multiple_of(2)).snapshots_each(Span::from_ticks(2_000)),
        now: Timestamp::from_ticks(start),
        attempts: vec![],
        of: BTreeMap::new(),
        wakes: vec![],
    };
    o.recorder.record_event(Timestamp::from_ticks(start), Event::Start { seed, settings: settings() });
    let mut balancer = Balancer::new(seed, &settings(), &mut o);
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
        o.now += Span::from_ticks(below(60));
        let now = o.now;
        balancer.advance_clock(now);
        if o.recorder.wants_snapshot(now) {
            o.recorder.snapshot(
                now,
                &settings(),
                balancer.snapshot().expect("no reload, so each lookup has the house's rules"),
            );
        }
        match below(20) {
            _ if step == 0 || below(200) == 0 => {
                let entry = |i: usize| {
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
                let endpoints: Vec<Endpoint> = (0..9).map(entry).collect();
                o.recorder.endpoints_listed(now, true, &endpoints);
                balancer.replace_endpoints(&endpoints, &mut o);
            }
            0..7 => {
                let (class, key, write) = (below(2) as usize, format!("k{}", below(60)), below(10) == 0);
                let order = (below(9) == 0).then(|| vec![below(8) as usize, below(8) as usize]);
                o.recorder.request_accepted(
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
                balancer.route_request(request_id, &mut o);
            }
            7..17 if !o.attempts.is_empty() => {
                let (request_id, attempt, sent) =
                    o.attempts.swap_remove(below(o.attempts.len() as u64) as usize);
                let outcome =
                    if below(4) > 0 { AttemptOutcome::Completed } else { outcomes[below(10) as usize] };
                let finished =
                    matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::CompletedFromCache);
                o.recorder.attempt_ended(now, request_id.0, attempt, outcome, now - sent, finished, None);
                balancer.attempt_ended(request_id, attempt, outcome, now - sent, finished, &mut o);
            }
            17 => {
                let request_id = below(1 + step as u64 / 3);
                o.recorder.record_event(now, Event::ClientLeft(request_id));
                balancer.client_left(RequestId(request_id), &mut o);
            }
            _ => {
                let Some(i) = (0..o.wakes.len()).find(|i| o.wakes[*i].0 <= now) else { continue };
                let (_, token) = o.wakes.swap_remove(i);
                if token > u64::MAX - 100 {
                    let (server, answered) = ((u64::MAX - token) as usize, below(2) == 0);
                    o.recorder.record_event(now, Event::HealthCheckFinished { server, answered });
                    balancer.health_check_finished(server, answered, &mut o);
                } else {
                    o.recorder.record_event(now, Event::TimerFired(token));
                    balancer.timer_fired(token, &mut o);
                }
            }
        }
    }
    drop(o);
    Rc::try_unwrap(bytes).expect("the tape is gone").into_inner()
}

#[test]
fn the_same_is_decided_again_and_twice_and_at_a_thousand_cuts() {
    let bytes = day(7, 2_500, |_| false);
    let CaptureContents { items, damage } = read(&bytes).unwrap();
    let whole = replay(items.iter());
    assert_eq!((damage, &whole.first_difference, whole.differences, whole.skipped), (None, &None, 0, 0));
    assert!(whole.calls > 1_500 && whole.decisions > 1_500 && whole.starts == 1, "{whole:?}");
    assert!(whole.compared > 20 && whole.resumed == 0, "{whole:?}");
    let again = replay(items.iter());
    assert_eq!((again.calls, again.decisions, again.differences), (whole.calls, whole.decisions, 0));
    // Cut by a crash at any byte: what is there replays, and nothing fails.
    for nth in 0..1000 {
        let cut = bytes.len() * nth / 1000;
        let found = read(&bytes[..cut]).unwrap();
        let part = replay(found.items.iter());
        assert!(part.differences == 0 && part.calls <= whole.calls);
        assert_eq!(part.calls == 0, found.items.is_empty());
    }
}

/// The items from the nth snapshot on.
fn from_snapshot(items: &[CaptureItem], nth: usize) -> Vec<CaptureItem> {
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
fn from_any_snapshot_on_the_same_is_decided_as_from_the_beginning() {
    let bytes = day(11, 2_500, |_| false);
    let items = read(&bytes).unwrap().items;
    for nth in 0..20 {
        let part = from_snapshot(&items, nth);
        let replayed = replay(part.iter());
        assert_eq!(
            (replayed.resumed, replayed.differences, replayed.skipped, &replayed.first_difference),
            (1, 0, 0, &None),
            "{nth}"
        );
        assert!(replayed.calls > 100 && replayed.compared > 0, "{nth} {replayed:?}");
    }
    // A state with a word changed is another's, or none at all, and the next snapshot shows it.
    let mut part = from_snapshot(&items, 3);
    let CaptureItem::Calls(block) = &mut part[0] else { unreachable!() };
    let Event::Snapshot { words, .. } = &mut block.calls[0].event else { unreachable!() };
    words[4] += 1;
    assert!(replay(part.iter()).differences > 0);
}

#[test]
fn a_cut_holds_what_it_takes_to_see_a_call_again() {
    let items = read(&day(12, 2_500, |_| false)).unwrap().items;
    for until in [0, 5, 400, 1_200] {
        let part = excerpt(&items, until).expect("a start stands before it");
        let (whole, replayed) = (replay(items.iter()), replay(part.iter()));
        assert_eq!((replayed.differences, replayed.skipped), (0, 0), "{until}");
        assert!(replayed.calls <= whole.calls && replayed.calls < 400, "{until}: {replayed:?}");
    }
    assert_eq!(excerpt(&items, 1 << 40), None);
}

#[test]
fn a_decision_that_is_another_is_named_with_what_was_told_before_it() {
    let bytes = day(8, 2_000, |_| false);
    let mut items = read(&bytes).unwrap().items;
    let Some(CaptureItem::Calls(block)) = items.get_mut(5) else { panic!("no block") };
    let at = block
        .calls
        .iter()
        .position(|c| c.decisions.iter().any(|d| matches!(d, Decision::StartAttempt { .. })))
        .expect("a shot");
    let call = &mut block.calls[at];
    for done in &mut call.decisions {
        if let Decision::StartAttempt { server, .. } = done {
            *server += 1;
        }
    }
    let (told, was) = (call.event.clone(), call.decisions.clone());
    let replayed = replay(items.iter());
    let first = replayed.first_difference.expect("a difference");
    assert_eq!((replayed.differences, first.event, first.recorded), (1, told, was));
    assert_eq!(replayed.difference_kinds.into_iter().collect::<Vec<_>>(), [("another shot".to_string(), 1)]);
}

#[test]
fn what_a_bad_disk_did_not_take_is_a_gap_and_a_replay_goes_on_at_the_next_snapshot() {
    let bytes = day(9, 6_000, |nth| (10..14).contains(&nth));
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

    /// Any bytes, and any byte of a good capture changed, are read up to there, and no more.
    #[test]
    fn spoilt_bytes_are_told(noise in proptest::collection::vec(any::<u8>(), 0..300), at in any::<usize>(), with in 1u8..) {
        _ = read(&noise);
        _ = read(&[FILE_MARK, &noise].concat());
        let good = day(3, 400, |_| false);
        let mut bytes = good.clone();
        let at = FILE_MARK.len() + at % (bytes.len() - FILE_MARK.len());
        bytes[at] ^= with;
        let (found, all) = (read(&bytes).unwrap(), read(&good).unwrap());
        prop_assert!(found.damage.is_some_and(|(from, _)| from <= at));
        prop_assert!(all.items.starts_with(&found.items));
        prop_assert_eq!(encode_item(&all.items[0]).len() + FILE_MARK.len() <= good.len(), true);
    }
}
