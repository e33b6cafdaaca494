//! Many routers that share nothing but one service: what is harmless in one, and harmful when all do it.

use chalkwalk_policy::{Cache, Carrier, Lkp, Router, Tenths};
use expect_test::expect;
use std::collections::{BTreeMap, VecDeque};

const WATCH: u64 = 1 << 62;
/// Time passes by 10 ms, well under what a call takes.
const STEP: Tenths = 100;

/// What one of them wants of the list's service.
#[derive(Default)]
struct Wants {
    wakes: Vec<Tenths>,
    watch: bool,
    now: Tenths,
}

impl Carrier for Wants {
    fn shoot(&mut self, _: Lkp, _: Cache, _: Tenths, _: Tenths) {}
    fn withdraw(&mut self, _: Lkp, _: usize) {}
    fn defer(&mut self, _: Lkp, _: Tenths) {}
    fn abandon(&mut self, _: Lkp) {}
    fn probe(&mut self, _: Cache) {}
    fn wake(&mut self, token: u64, after: Tenths) {
        assert_eq!(token, WATCH);
        self.wakes.push(self.now + after);
    }
    fn watch(&mut self) {
        self.watch = true;
    }
    fn log(&mut self, _: &str, _: &str) {}
}

/// So many proxies, all started at once, and a service that works through `a_second` calls in turn, turns away what would
/// wait for over 5 s, and fails what waits for over 2 s, though it does that work all the same. The list changes every
/// `changes`. Tells, for each five seconds, how many proxies act on a list older than 5 s at the end, and what calls came to.
fn played(proxies: u64, a_second: u64, changes: Tenths) -> String {
    let said = BTreeMap::from([("watched".to_string(), "1".to_string())]);
    let mut fleet: Vec<(Router, Wants)> = (0..proxies)
        .map(|seed| {
            let mut wants = Wants::default();
            (Router::new(seed, &said, &mut wants), wants)
        })
        .collect();
    let mut had = vec![None; fleet.len()]; // when each had the list last
    let mut watching: Vec<usize> = Vec::new();
    let mut queue: VecDeque<(usize, Tenths, bool)> = VecDeque::new(); // who, since when, whether it was given up
    let (mut served, mut failed, mut away) = (0, 0, 0);
    let mut told = Vec::new();
    for now in (0..250_000).step_by(STEP as usize) {
        let answer = |fleet: &mut Vec<(Router, Wants)>, who: usize, had: &mut Vec<Option<Tenths>>| {
            had[who] = Some(now);
            let (router, wants) = &mut fleet[who];
            router.list_changes(&[], wants);
            wants.watch = true;
        };
        // Whoever watches is told of each change, and comes back for the next.
        if now % changes == 0 {
            std::mem::take(&mut watching).into_iter().for_each(|who| answer(&mut fleet, who, &mut had));
        }
        for (who, (router, wants)) in fleet.iter_mut().enumerate() {
            wants.now = now;
            router.clock(now);
            let due = wants.wakes.iter().filter(|at| **at <= now).count();
            wants.wakes.retain(|at| *at > now);
            (0..due).for_each(|_| router.woken(WATCH, wants));
            if std::mem::take(&mut wants.watch) {
                if queue.len() as u64 >= 5 * a_second {
                    away += 1;
                    router.watch_failed(wants);
                } else {
                    queue.push_back((who, now, false));
                }
            }
        }
        for (who, since, given_up) in &mut queue {
            if !*given_up && now > *since + 20_000 {
                (*given_up, failed) = (true, failed + 1);
                let (router, wants) = &mut fleet[*who];
                router.watch_failed(wants);
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
        if now % 50_000 == 49_900 {
            let fresh =
                |who: usize| watching.contains(&who) || had[who].is_some_and(|had| had + 50_000 > now);
            let old = (0..fleet.len()).filter(|who| !fresh(*who)).count();
            told.push(format!(
                "{:>2} s: {old} with an old list; {served} served, {failed} too late, {away} turned away",
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
        15 s: 0 with an old list; 41 served, 90 too late, 0 turned away
        20 s: 59 with an old list; 0 served, 84 too late, 0 turned away
        25 s: 36 with an old list; 59 served, 26 too late, 0 turned away
        100 proxies, 20 calls a second, a change each 660 ms
         5 s: 59 with an old list; 67 served, 91 too late, 9 turned away
        10 s: 100 with an old list; 0 served, 101 too late, 53 turned away
        15 s: 100 with an old list; 0 served, 75 too late, 0 turned away
        20 s: 100 with an old list; 0 served, 72 too late, 0 turned away
        25 s: 61 with an old list; 92 served, 1 too late, 0 turned away
        3 proxies, 20 calls a second, a change each 660 ms
         5 s: 0 with an old list; 18 served, 0 too late, 0 turned away
        10 s: 0 with an old list; 23 served, 0 too late, 0 turned away
        15 s: 0 with an old list; 22 served, 0 too late, 0 turned away
        20 s: 0 with an old list; 24 served, 0 too late, 0 turned away
        25 s: 0 with an old list; 21 served, 0 too late, 0 turned away
    "#]]
    .assert_eq(&told);
}
