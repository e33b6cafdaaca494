//! The number of proxies that share the servers. Where the proxies can see each other, the observed
//! count replaces the configured number.
//!
//! Every observed count must be passed in with its time. An increase takes effect immediately, a
//! decrease only once it has lasted for a minute, and the result stays within fixed factors of the
//! configured number.

use chalkwalk_time::{Span, Timestamp};

/// A decrease takes effect once this many periods, including the current one, have no higher count.
/// That is at least one minute: a proxy restart takes seconds, a rolling restart half a minute.
const WINDOW_PERIODS: usize = 7;
const PERIOD_LENGTH: Span = Span::from_secs(10);
/// The effective count is never below the configured one divided by this factor. A proxy that sees
/// few others may itself be partitioned from the rest; the limit ensures that it sends at most
/// twice its share to a server in slow start.
const MAX_REDUCTION_FACTOR: u64 = 2;
/// The effective count is never above the configured one times this factor. A higher count would
/// leave servers in slow start idle.
const MAX_INCREASE_FACTOR: u64 = 4;

/// The highest counts of live proxies in the last minute, by periods of ten seconds.
#[derive(Clone, Debug)]
pub struct ProxyCount {
    configured: u64,
    /// The highest count of each period, the current one first; 0 if nothing was counted in it.
    max_live: [u64; WINDOW_PERIODS],
    /// Number of the current period; 0 before the first observation.
    current_period: u64,
}

impl ProxyCount {
    /// Creates a count as if the configured number of proxies had just been observed.
    pub fn new(configured: u64) -> ProxyCount {
        let configured = configured.max(1);
        ProxyCount { configured, max_live: [configured; WINDOW_PERIODS], current_period: 0 }
    }

    /// Records the number of live proxies, including this one.
    pub fn observe(&mut self, now: Timestamp, live: u64) {
        self.advance(now);
        self.max_live[0] = self.max_live[0].max(live);
    }

    /// Returns the number of proxies among which the balancer divides the servers' capacity. A
    /// higher count takes effect immediately, a lower one after a minute. If nothing was counted
    /// for a minute, it is the configured number.
    pub fn effective_count(&mut self, now: Timestamp) -> u64 {
        self.advance(now);
        let max_live = self.max_live.iter().copied().max().unwrap_or(0);
        let counted = if max_live == 0 { self.configured } else { max_live };
        counted.clamp(self.configured.div_ceil(MAX_REDUCTION_FACTOR), self.configured * MAX_INCREASE_FACTOR)
    }

    fn advance(&mut self, now: Timestamp) {
        let current_period = now.whole_periods(PERIOD_LENGTH);
        let elapsed_periods =
            current_period.saturating_sub(self.current_period).min(WINDOW_PERIODS as u64) as usize;
        let is_first_observation = self.current_period == 0;
        self.current_period = current_period;
        if is_first_observation && elapsed_periods == WINDOW_PERIODS {
            // At the first observation the configured number stays in effect for another minute.
            return;
        }
        self.max_live.rotate_right(elapsed_periods);
        self.max_live[..elapsed_periods].fill(0);
    }
}
