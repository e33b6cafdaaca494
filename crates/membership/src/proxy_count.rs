//! How many proxies share the servers, as counted where they can see each other, in place of the
//! configured number.
//!
//! It must be given each observed count with its time. The rule it guards: a rise takes effect at
//! once, a fall only once it has lasted, and neither strays far from the configured number.

use chalkwalk_time::{Span, Timestamp};

/// A fall takes effect once so many periods, the present one included, have no higher count, which
/// is a minute at the least: a restart takes seconds, a wave of them half a minute.
const PERIODS: usize = 7;
const PERIOD: Span = Span::from_secs(10);
/// The effective count is never below the configured one divided by this: a proxy that sees few
/// others may be the one that is cut off, and what it sends to a server in slow start is at most
/// doubled.
const MAX_REDUCTION: u64 = 2;
/// Nor above this many times the configured one, which would leave servers in slow start idle.
const MAX_INCREASE: u64 = 4;

/// The highest counts of the last minute, by periods of ten seconds.
#[derive(Clone, Debug)]
pub struct ProxyCount {
    configured: u64,
    /// By period, the present one first; 0 where nothing was counted.
    highest: [u64; PERIODS],
    /// Number of the present period; 0 before the first observation.
    period: u64,
}

impl ProxyCount {
    /// Starts as if the configured number had just been counted.
    pub fn new(configured: u64) -> ProxyCount {
        let configured = configured.max(1);
        ProxyCount { configured, highest: [configured; PERIODS], period: 0 }
    }

    /// Records that so many proxies are live, this one included.
    pub fn observe(&mut self, now: Timestamp, live: u64) {
        self.advance(now);
        self.highest[0] = self.highest[0].max(live);
    }

    /// Among how many proxies the balancer divides what the servers can do. A higher count holds at
    /// once, a lower one after a minute; without any count for a minute it is the configured
    /// number.
    pub fn effective(&mut self, now: Timestamp) -> u64 {
        self.advance(now);
        let highest = self.highest.iter().copied().max().unwrap_or(0);
        let counted = if highest == 0 { self.configured } else { highest };
        counted.clamp(self.configured.div_ceil(MAX_REDUCTION), self.configured * MAX_INCREASE)
    }

    fn advance(&mut self, now: Timestamp) {
        let period = now.whole_periods(PERIOD);
        let passed = period.saturating_sub(self.period).min(PERIODS as u64) as usize;
        let first = self.period == 0;
        self.period = period;
        if first && passed == PERIODS {
            // The first observation: the configured number holds for a minute more.
            return;
        }
        self.highest.rotate_right(passed);
        self.highest[..passed].fill(0);
    }
}
