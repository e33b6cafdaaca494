//! Proxies that do nothing but call discovery.

use chalkwalk_balancer::{Balancer, Effects, RequestId, ServerIndex, StateChange};
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

/// The token of the timer after which the balancer calls discovery.
const DISCOVERY_TOKEN: u64 = 1 << 62;
/// Time advances in steps of 10 ms, well under the duration of a call.
pub const STEP_TICKS: u64 = 100;

/// The timers and the discovery call that a balancer has asked for.
#[derive(Default)]
struct PendingWork {
    timers: Vec<u64>,
    call_due: bool,
    now: u64,
}

impl Effects for PendingWork {
    fn start_attempt(&mut self, _: RequestId, _: ServerIndex, _: Timestamp, _: Timestamp) {}
    fn cancel_attempt(&mut self, _: RequestId, _: usize) {}
    fn reject(&mut self, _: RequestId, _: Span) {}
    fn fail(&mut self, _: RequestId) {}
    fn check_health(&mut self, _: ServerIndex) {}
    fn set_timer(&mut self, token: u64, after: Span) {
        assert_eq!(token, DISCOVERY_TOKEN);
        self.timers.push(self.now + after.ticks());
    }
    fn watch_endpoints(&mut self) {
        self.call_due = true;
    }
    fn report(&mut self, _: StateChange) {}
}

/// One process of the fleet.
pub struct Proxy {
    balancer: Balancer,
    pending: PendingWork,
}

impl Proxy {
    /// A proxy that has just started.
    pub fn started(seed: u64) -> Proxy {
        let settings = BTreeMap::from([("watched".to_string(), "1".to_string())]);
        let mut pending = PendingWork::default();
        Proxy { balancer: Balancer::new(seed, &settings, &mut pending), pending }
    }

    /// A proxy that has an endpoint list, and whose watch has just failed.
    pub fn with_lost_discovery(seed: u64) -> Proxy {
        let mut proxy = Proxy::started(seed);
        proxy.pending.timers.clear();
        proxy.fail_call(0);
        proxy
    }

    /// Advances the proxy's clock and fires its due timers. Returns whether the proxy calls
    /// discovery now.
    pub fn calls_discovery_at(&mut self, now: u64) -> bool {
        self.pending.now = now;
        self.balancer.advance_clock(Timestamp::from_ticks(now));
        let due = self.pending.timers.iter().filter(|due_at| **due_at <= now).count();
        self.pending.timers.retain(|due_at| *due_at > now);
        for _ in 0..due {
            self.balancer.timer_fired(DISCOVERY_TOKEN, &mut self.pending);
        }
        std::mem::take(&mut self.pending.call_due)
    }

    /// Fails the proxy's call after this many ticks.
    pub fn fail_call(&mut self, took: u64) {
        self.balancer.discovery_call_failed(Span::from_ticks(took), &mut self.pending);
    }

    /// Answers the proxy's call; the proxy starts its next watch at once.
    pub fn answer_call(&mut self) {
        self.balancer.update_endpoints(&[], &mut self.pending);
        self.pending.call_due = true;
    }
}

/// A call that waits in the queue of the service.
pub struct QueuedCall {
    pub proxy: usize,
    pub queued_at: u64,
    /// Whether the service has refused the call, or the proxy has given it up.
    pub expired: bool,
}
