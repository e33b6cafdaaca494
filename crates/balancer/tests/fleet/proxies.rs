//! Proxies that do nothing but call discovery.

use chalkwalk_balancer::{Balancer, Effects, RequestId, ServerIndex, StateChange};
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

const DISCOVERY_TIMER: u64 = 1 << 62;
/// Time passes by 10 ms, well under what a call takes.
pub const STEP: u64 = 100;

/// What one of them wants of discovery.
#[derive(Default)]
struct Wants {
    timers: Vec<u64>,
    call: bool,
    now: u64,
}

impl Effects for Wants {
    fn start_attempt(&mut self, _: RequestId, _: ServerIndex, _: Timestamp, _: Timestamp) {}
    fn cancel_attempt(&mut self, _: RequestId, _: usize) {}
    fn reject(&mut self, _: RequestId, _: Span) {}
    fn fail(&mut self, _: RequestId) {}
    fn check_health(&mut self, _: ServerIndex) {}
    fn set_timer(&mut self, token: u64, after: Span) {
        assert_eq!(token, DISCOVERY_TIMER);
        self.timers.push(self.now + after.ticks());
    }
    fn watch_endpoints(&mut self) {
        self.call = true;
    }
    fn report(&mut self, _: StateChange) {}
}

/// One process of the fleet.
pub struct Proxy {
    balancer: Balancer,
    wants: Wants,
}

impl Proxy {
    /// One that has just started.
    pub fn started(seed: u64) -> Proxy {
        let values = BTreeMap::from([("watched".to_string(), "1".to_string())]);
        let mut wants = Wants::default();
        Proxy { balancer: Balancer::new(seed, &values, &mut wants), wants }
    }

    /// One that has a list, and whose watch has just failed.
    pub fn that_lost_discovery(seed: u64) -> Proxy {
        let mut proxy = Proxy::started(seed);
        proxy.wants.timers.clear();
        proxy.fail_call(0);
        proxy
    }

    /// Advances its clock; whether it calls discovery now.
    pub fn calls_at(&mut self, now: u64) -> bool {
        self.wants.now = now;
        self.balancer.advance_clock(Timestamp::from_ticks(now));
        let due = self.wants.timers.iter().filter(|at| **at <= now).count();
        self.wants.timers.retain(|at| *at > now);
        for _ in 0..due {
            self.balancer.timer_fired(DISCOVERY_TIMER, &mut self.wants);
        }
        std::mem::take(&mut self.wants.call)
    }

    /// Its call failed after so long.
    pub fn fail_call(&mut self, took: u64) {
        self.balancer.discovery_call_failed(Span::from_ticks(took), &mut self.wants);
    }

    /// Its call was answered; it watches at once.
    pub fn answer_call(&mut self) {
        self.balancer.update_endpoints(&[], &mut self.wants);
        self.wants.call = true;
    }
}

/// A call that waits in the queue of the service.
pub struct QueuedCall {
    pub proxy: usize,
    pub since: u64,
    /// Its proxy has been refused, or has given it up.
    pub expired: bool,
}
