//! A fleet that starts at once, and a list that changes often.

use crate::proxies::{Proxy, QueuedCall, STEP};
use expect_test::expect;
use std::collections::VecDeque;

/// Calls wait for 2 s at the most.
const LONGEST_WAIT: u64 = 20_000;
/// A list is old after 5 s.
const OLD_AFTER: u64 = 50_000;
const END: u64 = 1_500_000;

/// What became of calls since the last report.
#[derive(Default)]
struct Counts {
    served: u64,
    too_late: u64,
    rejected: u64,
}

/// Proxies that all started at once, and a service that works through `calls_a_second` in turn, rejects what would wait for over
/// 5 s, and fails what waits for over 2 s, though it does that work all the same. The list changes every `changes`.
struct Day {
    calls_a_second: u64,
    changes: u64,
    proxies: Vec<Proxy>,
    /// When each had the list last.
    had_list: Vec<Option<u64>>,
    watching: Vec<usize>,
    queue: VecDeque<QueuedCall>,
    counts: Counts,
}

impl Day {
    fn new(proxies: u64, calls_a_second: u64, changes: u64) -> Day {
        Day {
            calls_a_second,
            changes,
            proxies: (0..proxies).map(Proxy::started).collect(),
            had_list: vec![None; proxies as usize],
            watching: Vec::new(),
            queue: VecDeque::new(),
            counts: Counts::default(),
        }
    }

    fn answer(&mut self, proxy: usize, now: u64) {
        self.had_list[proxy] = Some(now);
        self.proxies[proxy].answer_call();
    }

    /// Whoever watches is notified of each change, and comes back for the next.
    fn notify_watching(&mut self, now: u64) {
        if now.is_multiple_of(self.changes) {
            for proxy in std::mem::take(&mut self.watching) {
                self.answer(proxy, now);
            }
        }
    }

    fn accept_calls(&mut self, now: u64) {
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            if !proxy.calls_at(now) {
                continue;
            }
            if self.queue.len() as u64 >= 5 * self.calls_a_second {
                self.counts.rejected += 1;
                proxy.fail_call(0);
            } else {
                self.queue.push_back(QueuedCall { proxy: index, since: now, expired: false });
            }
        }
    }

    fn expire_calls(&mut self, now: u64) {
        for call in &mut self.queue {
            if !call.expired && now > call.since + LONGEST_WAIT {
                call.expired = true;
                self.counts.too_late += 1;
                self.proxies[call.proxy].fail_call(now - call.since);
            }
        }
    }

    fn serve_call(&mut self, now: u64) {
        if !now.is_multiple_of(10_000 / self.calls_a_second) {
            return;
        }
        let Some(QueuedCall { proxy, expired: false, .. }) = self.queue.pop_front() else { return };
        self.counts.served += 1;
        // A change since it last had the list is notified at once; else it watches.
        let is_current = self.had_list[proxy].is_some_and(|had| had / self.changes == now / self.changes);
        if is_current || now < self.changes {
            self.watching.push(proxy);
        } else {
            self.answer(proxy, now);
        }
        self.had_list[proxy] = Some(now);
    }

    /// How many proxies act on a list older than 5 s, and what calls came to.
    fn report(&mut self, now: u64) -> String {
        let is_fresh = |proxy: &usize| {
            self.watching.contains(proxy) || self.had_list[*proxy].is_some_and(|had| had + OLD_AFTER > now)
        };
        let old = (0..self.proxies.len()).filter(|proxy| !is_fresh(proxy)).count();
        let Counts { served, too_late, rejected } = std::mem::take(&mut self.counts);
        let second = (now + STEP) / 10_000;
        format!(
            "{second:>3} s: {old} with an old list; {served} served, {too_late} too late, {rejected} rejected"
        )
    }

    /// A report for each five seconds, later for each 25.
    fn play(mut self) -> String {
        let mut reports = Vec::new();
        for now in (0..END).step_by(STEP as usize) {
            self.notify_watching(now);
            self.accept_calls(now);
            self.expire_calls(now);
            self.serve_call(now);
            if now % 50_000 == 49_900 && (now < 250_000 || now % 250_000 == 249_900) {
                reports.push(self.report(now));
            }
        }
        reports.join("\n") + "\n"
    }
}

/// The first change at 10 s brings back at once all who watch: what is still open, and shown here.
#[test]
fn proxies_that_share_a_discovery_service_start_without_congesting_it_and_get_over_congestion() {
    let reports =
        [(100, 20, 100_000), (100, 20, 6_600), (3, 20, 6_600)].map(|(proxies, a_second, changes)| {
            let title =
                format!("{proxies} proxies, {a_second} calls a second, a change each {} ms", changes / 10);
            title + "\n" + &Day::new(proxies, a_second, changes).play()
        });
    expect![[r#"
        100 proxies, 20 calls a second, a change each 10000 ms
          5 s: 1 with an old list; 99 served, 0 too late, 0 rejected
         10 s: 0 with an old list; 1 served, 0 too late, 0 rejected
         15 s: 0 with an old list; 41 served, 59 too late, 0 rejected
         20 s: 19 with an old list; 40 served, 66 too late, 0 rejected
         25 s: 19 with an old list; 35 served, 65 too late, 0 rejected
         50 s: 100 with an old list; 29 served, 524 too late, 170 rejected
         75 s: 100 with an old list; 0 served, 499 too late, 335 rejected
        100 s: 100 with an old list; 0 served, 460 too late, 108 rejected
        125 s: 2 with an old list; 306 served, 157 too late, 0 rejected
        150 s: 48 with an old list; 208 served, 321 too late, 0 rejected
        100 proxies, 20 calls a second, a change each 660 ms
          5 s: 59 with an old list; 67 served, 91 too late, 0 rejected
         10 s: 100 with an old list; 0 served, 90 too late, 65 rejected
         15 s: 100 with an old list; 0 served, 111 too late, 55 rejected
         20 s: 100 with an old list; 0 served, 100 too late, 67 rejected
         25 s: 100 with an old list; 0 served, 100 too late, 69 rejected
         50 s: 100 with an old list; 0 served, 500 too late, 333 rejected
         75 s: 100 with an old list; 0 served, 442 too late, 160 rejected
        100 s: 65 with an old list; 167 served, 340 too late, 0 rejected
        125 s: 83 with an old list; 113 served, 378 too late, 0 rejected
        150 s: 92 with an old list; 95 served, 405 too late, 0 rejected
        3 proxies, 20 calls a second, a change each 660 ms
          5 s: 0 with an old list; 18 served, 0 too late, 0 rejected
         10 s: 0 with an old list; 23 served, 0 too late, 0 rejected
         15 s: 0 with an old list; 22 served, 0 too late, 0 rejected
         20 s: 0 with an old list; 24 served, 0 too late, 0 rejected
         25 s: 0 with an old list; 21 served, 0 too late, 0 rejected
         50 s: 0 with an old list; 114 served, 0 too late, 0 rejected
         75 s: 0 with an old list; 114 served, 0 too late, 0 rejected
        100 s: 0 with an old list; 114 served, 0 too late, 0 rejected
        125 s: 0 with an old list; 114 served, 0 too late, 0 rejected
        150 s: 0 with an old list; 114 served, 0 too late, 0 rejected
    "#]]
    .assert_eq(&reports.concat());
}
