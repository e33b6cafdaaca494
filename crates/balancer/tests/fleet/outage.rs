//! A fleet that loses discovery together, and meets it again together.

use crate::proxies::{Proxy, QueuedCall, STEP};
use chalkwalk_balancer::discovery::{LONGEST_QUEUE_WAIT, NOTIFIED_WITHIN};
use std::collections::VecDeque;

/// The work of one call, in calls a second times ticks.
const ONE_CALL: u64 = 10_000;

/// How a discovery service treats the calls that it can't answer. Its queue holds what it can do in 5 s; more are refused at once.
#[derive(Clone, Copy, Debug)]
struct Service {
    /// Calls that it answers in a second.
    capacity: u64,
    /// A call that has waited too long is worked on all the same.
    works_on_expired: bool,
    /// While it is down, calls are refused at once, or made to wait first.
    refuses_at_once: bool,
}

/// A fleet whose service is down until the end of an outage.
struct Outage {
    service: Service,
    end: u64,
    proxies: Vec<Proxy>,
    queue: VecDeque<QueuedCall>,
    /// How long after the end of the outage each was answered first, in ms.
    answered_after: Vec<Option<u64>>,
    work_done: u64,
}

impl Outage {
    fn new(processes: u64, service: Service, end: u64) -> Outage {
        Outage {
            service,
            end,
            proxies: (0..processes).map(Proxy::that_lost_discovery).collect(),
            queue: VecDeque::new(),
            answered_after: vec![None; processes as usize],
            work_done: 0,
        }
    }

    fn accept_calls(&mut self, now: u64) {
        let down = now < self.end;
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            if self.answered_after[index].is_some() || !proxy.calls_at(now) {
                continue;
            }
            let full = !down && self.queue.len() as u64 >= 5 * self.service.capacity;
            if full || (down && self.service.refuses_at_once) {
                proxy.fail_call(0);
            } else {
                self.queue.push_back(QueuedCall { proxy: index, since: now, expired: false });
            }
        }
    }

    fn expire_calls(&mut self, now: u64) {
        for call in &mut self.queue {
            if !call.expired && now >= call.since + LONGEST_QUEUE_WAIT.ticks() {
                call.expired = true;
                self.proxies[call.proxy].fail_call(now - call.since);
            }
        }
        if now < self.end || !self.service.works_on_expired {
            self.queue.retain(|call| !call.expired);
        }
    }

    fn serve_calls(&mut self, now: u64) {
        if now >= self.end {
            self.work_done += self.service.capacity * STEP;
        }
        while self.work_done >= ONE_CALL
            && let Some(call) = self.queue.pop_front()
        {
            self.work_done -= ONE_CALL;
            if !call.expired {
                self.answered_after[call.proxy] = Some((now - self.end) / 10);
            }
        }
        self.work_done = self.work_done.min(ONE_CALL);
    }

    /// How long after the end of the outage each process was answered first, in ms, in order; processes that were not within
    /// `watched_for` are left out.
    fn notified_within(mut self, watched_for: u64) -> Vec<u64> {
        for now in (0..self.end + watched_for).step_by(STEP as usize) {
            self.accept_calls(now);
            self.expire_calls(now);
            self.serve_calls(now);
        }
        let mut after: Vec<u64> = self.answered_after.into_iter().flatten().collect();
        after.sort_unstable();
        after
    }
}

/// The term holds for every process where the service can answer the fleet once in 3 s; where it does no work for calls that it
/// has refused, once in 4 s.
#[test]
fn after_an_outage_every_process_is_notified_within_the_term() {
    for processes in [24, 86, 300, 900] {
        for (seconds, works_on_expired) in [(2, false), (2, true), (3, false), (3, true), (4, false)] {
            for refuses_at_once in [false, true] {
                let service = Service { capacity: processes / seconds, works_on_expired, refuses_at_once };
                let after = Outage::new(processes, service, 200_000).notified_within(300_000);
                let last = after.last().copied().unwrap_or(0);
                let in_time = after.iter().filter(|ms| **ms <= (NOTIFIED_WITHIN / 10).ticks()).count();
                assert_eq!(
                    in_time, processes as usize,
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
        let after = Outage::new(processes, service, 200_000).notified_within(1_500_000);
        assert_eq!(after.len() as u64, processes, "the last of those answered after {:?} ms", after.last());
    }
}
