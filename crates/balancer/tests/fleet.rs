//! Many routers that share nothing but one service: what is harmless in one, and harmful when all do it.

use chalkwalk_balancer::discovery::{LONGEST_QUEUE_WAIT, NOTIFIED_WITHIN};
use chalkwalk_balancer::{Balancer, Effects, RequestId, ServerIndex, StateChange};
use chalkwalk_time::{Span, Timestamp};
use expect_test::expect;
use std::collections::{BTreeMap, VecDeque};

const WATCH: u64 = 1 << 62;
/// Time passes by 10 ms, well under what a call takes.
const STEP: u64 = 100;

/// What one of them wants of the list's service.
#[derive(Default)]
struct Wants {
    wakes: Vec<u64>,
    watch: bool,
    now: u64,
}

impl Effects for Wants {
    fn start_attempt(&mut self, _: RequestId, _: ServerIndex, _: Timestamp, _: Timestamp) {}
    fn cancel_attempt(&mut self, _: RequestId, _: usize) {}
    fn reject(&mut self, _: RequestId, _: Span) {}
    fn fail(&mut self, _: RequestId) {}
    fn check_health(&mut self, _: ServerIndex) {}
    fn set_timer(&mut self, token: u64, after: Span) {
        assert_eq!(token, WATCH);
        self.wakes.push(self.now + after.ticks());
    }
    fn watch_endpoints(&mut self) {
        self.watch = true;
    }
    fn report(&mut self, _: StateChange) {}
}

/// So many proxies, all started at once, and a service that works through `a_second` calls in turn, turns away what would
/// wait for over 5 s, and fails what waits for over 2 s, though it does that work all the same. The list changes every
/// `changes`. Tells, for each five seconds, later for each 25, how many proxies act on a list older than 5 s at the end, and what calls came to.
fn played(proxies: u64, a_second: u64, changes: u64) -> String {
    let values = BTreeMap::from([("watched".to_string(), "1".to_string())]);
    let mut fleet: Vec<(Balancer, Wants)> = (0..proxies)
        .map(|seed| {
            let mut wants = Wants::default();
            (Balancer::new(seed, &values, &mut wants), wants)
        })
        .collect();
    let mut had = vec![None; fleet.len()]; // when each had the list last
    let mut watching: Vec<usize> = Vec::new();
    let mut queue: VecDeque<(usize, u64, bool)> = VecDeque::new(); // who, since when, whether it was given up
    let (mut served, mut failed, mut away) = (0, 0, 0);
    let mut told = Vec::new();
    for now in (0..1_500_000).step_by(STEP as usize) {
        let answer = |fleet: &mut Vec<(Balancer, Wants)>, who: usize, had: &mut Vec<Option<u64>>| {
            had[who] = Some(now);
            let (balancer, wants) = &mut fleet[who];
            balancer.update_endpoints(&[], wants);
            wants.watch = true;
        };
        // Whoever watches is told of each change, and comes back for the next.
        if now % changes == 0 {
            std::mem::take(&mut watching).into_iter().for_each(|who| answer(&mut fleet, who, &mut had));
        }
        for (who, (balancer, wants)) in fleet.iter_mut().enumerate() {
            wants.now = now;
            balancer.advance_clock(Timestamp::from_ticks(now));
            let due = wants.wakes.iter().filter(|at| **at <= now).count();
            wants.wakes.retain(|at| *at > now);
            (0..due).for_each(|_| balancer.timer_fired(WATCH, wants));
            if std::mem::take(&mut wants.watch) {
                if queue.len() as u64 >= 5 * a_second {
                    away += 1;
                    balancer.discovery_call_failed(Span::ZERO, wants);
                } else {
                    queue.push_back((who, now, false));
                }
            }
        }
        for (who, since, given_up) in &mut queue {
            if !*given_up && now > *since + 20_000 {
                (*given_up, failed) = (true, failed + 1);
                let (balancer, wants) = &mut fleet[*who];
                balancer.discovery_call_failed(Span::from_ticks(now - *since), wants);
            }
        }
        if now % (10_000 / a_second) == 0
            && let Some((who, _, false)) = queue.pop_front()
        {
            served += 1;
            // A change since it last had the list is told at once; else it watches.
            match had[who].is_some_and(|had| had / changes == now / changes) || now < changes {
                true => watching.push(who),
                false => answer(&mut fleet, who, &mut had),
            }
            had[who] = Some(now);
        }
        if now % 50_000 == 49_900 && (now < 250_000 || now % 250_000 == 249_900) {
            let fresh =
                |who: usize| watching.contains(&who) || had[who].is_some_and(|had| had + 50_000 > now);
            let old = (0..fleet.len()).filter(|who| !fresh(*who)).count();
            told.push(format!(
                "{:>3} s: {old} with an old list; {served} served, {failed} too late, {away} turned away",
                (now + STEP) / 10_000
            ));
            (served, failed, away) = (0, 0, 0);
        }
    }
    told.join("\n") + "\n"
}

/// The first change at 10 s brings back at once all who watch: what is still open, and shown here.
#[test]
fn proxies_that_share_a_lists_service_start_without_jamming_it_and_get_over_jams() {
    let told: String = [(100, 20, 100_000), (100, 20, 6_600), (3, 20, 6_600)]
        .map(|(proxies, a_second, changes)| {
            let of =
                format!("{proxies} proxies, {a_second} calls a second, a change each {} ms", changes / 10);
            of + "\n" + &played(proxies, a_second, changes)
        })
        .concat();
    expect![[r#"
        100 proxies, 20 calls a second, a change each 10000 ms
          5 s: 1 with an old list; 99 served, 0 too late, 0 turned away
         10 s: 0 with an old list; 1 served, 0 too late, 0 turned away
         15 s: 0 with an old list; 41 served, 59 too late, 0 turned away
         20 s: 19 with an old list; 40 served, 66 too late, 0 turned away
         25 s: 19 with an old list; 35 served, 65 too late, 0 turned away
         50 s: 100 with an old list; 29 served, 524 too late, 170 turned away
         75 s: 100 with an old list; 0 served, 499 too late, 335 turned away
        100 s: 100 with an old list; 0 served, 460 too late, 108 turned away
        125 s: 2 with an old list; 306 served, 157 too late, 0 turned away
        150 s: 48 with an old list; 208 served, 321 too late, 0 turned away
        100 proxies, 20 calls a second, a change each 660 ms
          5 s: 59 with an old list; 67 served, 91 too late, 0 turned away
         10 s: 100 with an old list; 0 served, 90 too late, 65 turned away
         15 s: 100 with an old list; 0 served, 111 too late, 55 turned away
         20 s: 100 with an old list; 0 served, 100 too late, 67 turned away
         25 s: 100 with an old list; 0 served, 100 too late, 69 turned away
         50 s: 100 with an old list; 0 served, 500 too late, 333 turned away
         75 s: 100 with an old list; 0 served, 442 too late, 160 turned away
        100 s: 65 with an old list; 167 served, 340 too late, 0 turned away
        125 s: 83 with an old list; 113 served, 378 too late, 0 turned away
        150 s: 92 with an old list; 95 served, 405 too late, 0 turned away
        3 proxies, 20 calls a second, a change each 660 ms
          5 s: 0 with an old list; 18 served, 0 too late, 0 turned away
         10 s: 0 with an old list; 23 served, 0 too late, 0 turned away
         15 s: 0 with an old list; 22 served, 0 too late, 0 turned away
         20 s: 0 with an old list; 24 served, 0 too late, 0 turned away
         25 s: 0 with an old list; 21 served, 0 too late, 0 turned away
         50 s: 0 with an old list; 114 served, 0 too late, 0 turned away
         75 s: 0 with an old list; 114 served, 0 too late, 0 turned away
        100 s: 0 with an old list; 114 served, 0 too late, 0 turned away
        125 s: 0 with an old list; 114 served, 0 too late, 0 turned away
        150 s: 0 with an old list; 114 served, 0 too late, 0 turned away
    "#]]
    .assert_eq(&told);
}

/// How a discovery service treats the calls that it can't answer. Its queue holds what it can do in 5 s; more are refused at once.
#[derive(Clone, Copy, Debug)]
struct Service {
    /// Calls that it answers in a second.
    capacity: u64,
    /// A call that has waited too long is worked on all the same.
    works_on_expired: bool,
    /// While it is down, calls are refused at once, or kept waiting first.
    refuses_at_once: bool,
}

/// The fleet loses discovery for so long and meets it again. Returns how long after the return each process was answered first,
/// in ms, in order; processes that were not in the time watched are left out.
fn notified_after_outage(processes: u64, service: Service, outage: u64, watched_for: u64) -> Vec<u64> {
    let values = BTreeMap::from([("watched".to_string(), "1".to_string())]);
    let mut fleet: Vec<(Balancer, Wants)> = (0..processes)
        .map(|seed| {
            let mut wants = Wants::default();
            let mut balancer = Balancer::new(seed, &values, &mut wants);
            wants.wakes.clear();
            balancer.discovery_call_failed(Span::ZERO, &mut wants);
            (balancer, wants)
        })
        .collect();
    let mut queue: VecDeque<(usize, u64, bool)> = VecDeque::new(); // who, since when, whether it was refused
    let mut answered = vec![None; fleet.len()];
    let mut work = 0;
    for now in (0..outage + watched_for).step_by(STEP as usize) {
        let down = now < outage;
        for (who, (balancer, wants)) in
            fleet.iter_mut().enumerate().filter(|(who, _)| answered[*who].is_none())
        {
            wants.now = now;
            balancer.advance_clock(Timestamp::from_ticks(now));
            let due = wants.wakes.iter().filter(|at| **at <= now).count();
            wants.wakes.retain(|at| *at > now);
            (0..due).for_each(|_| balancer.timer_fired(WATCH, wants));
            if std::mem::take(&mut wants.watch) {
                let full = !down && queue.len() as u64 >= 5 * service.capacity;
                match full || (down && service.refuses_at_once) {
                    true => balancer.discovery_call_failed(Span::ZERO, wants),
                    false => queue.push_back((who, now, false)),
                }
            }
        }
        for (who, since, refused) in queue
            .iter_mut()
            .filter(|(_, since, refused)| !refused && now >= *since + LONGEST_QUEUE_WAIT.ticks())
        {
            *refused = true;
            let (balancer, wants) = &mut fleet[*who];
            balancer.discovery_call_failed(Span::from_ticks(now - *since), wants);
        }
        if down || !service.works_on_expired {
            queue.retain(|(.., refused)| !refused);
        }
        work += if down { 0 } else { service.capacity * STEP };
        while work >= 10_000
            && let Some((who, _, refused)) = queue.pop_front()
        {
            work -= 10_000;
            if !refused {
                answered[who] = Some((now - outage) / 10);
            }
        }
        work = work.min(10_000);
    }
    let mut after: Vec<u64> = answered.into_iter().flatten().collect();
    after.sort_unstable();
    after
}

/// Tells how a fleet of each size fares with a service that takes so many seconds to answer all of it once.
fn notified(
    processes: u64,
    seconds: u64,
    works_on_expired: bool,
    refuses_at_once: bool,
) -> (usize, Vec<u64>) {
    let service = Service { capacity: processes / seconds, works_on_expired, refuses_at_once };
    let after = notified_after_outage(processes, service, 200_000, 300_000);
    let in_time = after.iter().filter(|ms| **ms <= (NOTIFIED_WITHIN / 10).ticks()).count();
    (processes as usize - in_time, after)
}

/// The term holds for every process where the service can answer the fleet once in 3 s; where it does no work for calls that it
/// has refused, once in 4 s.
#[test]
fn after_an_outage_every_process_is_notified_within_the_term() {
    for processes in [24, 86, 300, 900] {
        for (seconds, works_on_expired) in [(2, false), (2, true), (3, false), (3, true), (4, false)] {
            for refuses_at_once in [false, true] {
                let (late, after) = notified(processes, seconds, works_on_expired, refuses_at_once);
                let last = after.last().copied().unwrap_or(0);
                assert_eq!(
                    late, 0,
                    "of {processes}, fleet answered in {seconds} s, works on expired calls {works_on_expired}, refuses at \
                     once {refuses_at_once}; the last after {last} ms"
                );
            }
        }
    }
}

/// A fleet that calls more often than the service can work on, which works on refused calls as well, keeps it from answering
/// anybody. After a minute of that it calls less often, and every process is answered.
#[test]
fn a_fleet_that_congests_discovery_calls_less_often_and_gets_over_it() {
    for processes in [24, 86, 300] {
        let service = Service { capacity: processes / 5, works_on_expired: true, refuses_at_once: false };
        let after = notified_after_outage(processes, service, 200_000, 1_500_000);
        assert_eq!(after.len() as u64, processes, "the last of those answered after {:?} ms", after.last());
    }
}
