//! A fleet whose processes all lose discovery at the same time, and reach it again at the same
//! time.

use crate::proxies::{Proxy, QueuedCall, STEP_TICKS};
use chalkwalk_balancer::discovery::{MAX_NOTIFICATION_DELAY, MAX_QUEUE_WAIT};
use std::collections::VecDeque;

/// The work of one call, in calls per second times ticks: a second has 10,000 ticks.
const WORK_PER_CALL: u64 = 10_000;

/// How a discovery service treats the calls that it can't answer in time. Its queue holds as many
/// calls as it can answer in 5 s; further calls are refused at once.
#[derive(Clone, Copy, Debug)]
struct Service {
    /// The number of calls that the service can answer in a second.
    calls_per_second: u64,
    /// Whether the service still works on a call that has waited too long.
    works_on_expired: bool,
    /// Whether calls are refused at once while the service is down, rather than after a wait.
    refuses_at_once: bool,
}

/// A fleet whose discovery service is down until the end of an outage.
struct Outage {
    service: Service,
    end: u64,
    proxies: Vec<Proxy>,
    queue: VecDeque<QueuedCall>,
    /// For each process, how long after the end of the outage its first answer came, in ms.
    answered_after_ms: Vec<Option<u64>>,
    available_work: u64,
}

impl Outage {
    fn new(processes: u64, service: Service, end: u64) -> Outage {
        Outage {
            service,
            end,
            proxies: (0..processes).map(Proxy::with_lost_discovery).collect(),
            queue: VecDeque::new(),
            answered_after_ms: vec![None; processes as usize],
            available_work: 0,
        }
    }

    fn accept_calls(&mut self, now: u64) {
        let down = now < self.end;
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            if self.answered_after_ms[index].is_some() || !proxy.calls_discovery_at(now) {
                continue;
            }
            let full = !down && self.queue.len() as u64 >= 5 * self.service.calls_per_second;
            if full || (down && self.service.refuses_at_once) {
                proxy.fail_call(0);
            } else {
                self.queue.push_back(QueuedCall { proxy: index, queued_at: now, expired: false });
            }
        }
    }

    fn expire_calls(&mut self, now: u64) {
        for call in &mut self.queue {
            if !call.expired && now >= call.queued_at + MAX_QUEUE_WAIT.ticks() {
                call.expired = true;
                self.proxies[call.proxy].fail_call(now - call.queued_at);
            }
        }
        if now < self.end || !self.service.works_on_expired {
            self.queue.retain(|call| !call.expired);
        }
    }

    fn serve_calls(&mut self, now: u64) {
        if now >= self.end {
            self.available_work += self.service.calls_per_second * STEP_TICKS;
        }
        while self.available_work >= WORK_PER_CALL
            && let Some(call) = self.queue.pop_front()
        {
            self.available_work -= WORK_PER_CALL;
            if !call.expired {
                self.answered_after_ms[call.proxy] = Some((now - self.end) / 10);
            }
        }
        self.available_work = self.available_work.min(WORK_PER_CALL);
    }

    /// How long after the end of the outage the first answer to each process came, in ms, in
    /// ascending order. Processes without an answer within `observed_ticks` are left out.
    fn answer_delays_ms(mut self, observed_ticks: u64) -> Vec<u64> {
        for now in (0..self.end + observed_ticks).step_by(STEP_TICKS as usize) {
            self.accept_calls(now);
            self.expire_calls(now);
            self.serve_calls(now);
        }
        let mut delays_ms: Vec<u64> = self.answered_after_ms.into_iter().flatten().collect();
        delays_ms.sort_unstable();
        delays_ms
    }
}

/// Every process is notified within `MAX_NOTIFICATION_DELAY` where the service can answer the whole
/// fleet once in 3 s, or once in 4 s if it does no work for calls that it has refused.
#[test]
fn after_an_outage_every_process_is_notified_in_time() {
    for processes in [24, 86, 300, 900] {
        for (seconds_per_fleet, works_on_expired) in
            [(2, false), (2, true), (3, false), (3, true), (4, false)]
        {
            for refuses_at_once in [false, true] {
                let service = Service {
                    calls_per_second: processes / seconds_per_fleet,
                    works_on_expired,
                    refuses_at_once,
                };
                let delays_ms = Outage::new(processes, service, 200_000).answer_delays_ms(300_000);
                let last = delays_ms.last().copied().unwrap_or(0);
                let in_time =
                    delays_ms.iter().filter(|ms| **ms <= (MAX_NOTIFICATION_DELAY / 10).ticks()).count();
                assert_eq!(
                    in_time, processes as usize,
                    "answered in time, of {processes}; the service can answer the fleet in \
                     {seconds_per_fleet} s, works on expired calls: {works_on_expired}, refuses at once: \
                     {refuses_at_once}; last answer after {last} ms"
                );
            }
        }
    }
}

/// If a fleet makes more calls than the service can handle, and the service works on refused calls
/// as well, no process is answered. After a minute of that the fleet calls less often, and every
/// process is answered.
#[test]
fn a_fleet_that_congests_discovery_calls_less_often_and_is_answered() {
    for processes in [24, 86, 300] {
        let service =
            Service { calls_per_second: processes / 5, works_on_expired: true, refuses_at_once: false };
        let delays_ms = Outage::new(processes, service, 200_000).answer_delays_ms(1_500_000);
        assert_eq!(
            delays_ms.len() as u64,
            processes,
            "processes answered; last answer after {:?} ms",
            delays_ms.last()
        );
    }
}
