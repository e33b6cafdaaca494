//! Decides which endpoint of etcd to connect to next and when. Endpoints are tried in turn, each
//! after a random delay, so that proxies that lose etcd at the same time do not all reconnect at
//! once.

use super::step::ConnectAttempt;
use chalkwalk_balancer::discovery::Backoff;
use chalkwalk_time::Span;

/// Upper bound of the delay after a watch is lost: five hundred proxies that lose their watches at
/// the same time reconnect spread over this span.
const WATCH_LOST_MAX_DELAY: Span = Span::from_secs(1);
/// Upper bound of the delay after a rejected list. Up to three lists in a row are rejected, so the
/// state is known again within a second.
const LIST_REJECTED_MAX_DELAY: Span = Span::from_millis(250);
/// Upper bound of the delay before an attempt at the next endpoint, until each endpoint was tried
/// once. Two of three endpoints may hang for two seconds each, and the third must still be reached
/// within the time limit for learning of a change.
const NEXT_ENDPOINT_MAX_DELAY: Span = Span::from_millis(500);
/// The longest time for which a proxy may neither watch nor poll. It is unbounded, because no
/// setting limits it for etcd.
const MAX_TIME_WITHOUT_POLL: Span = Span::MAX;
/// Knuth's multiplicative hashing constant, 2^64 divided by the golden ratio: it maps neighboring
/// seeds to initial states that are far apart.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The endpoint in use, and the number of failures since an endpoint was last usable.
#[derive(Debug)]
pub(super) struct Reconnect {
    endpoint_count: usize,
    endpoint_index: usize,
    consecutive_failures: u32,
    random_state: u64,
}

impl Reconnect {
    /// Creates the state. The seed must differ between proxies, because it determines their random
    /// delays.
    pub fn new(endpoint_count: usize, seed: u64) -> Reconnect {
        let random_state = seed.wrapping_mul(SEED_MULTIPLIER) | 1;
        let endpoint_count = endpoint_count.max(1);
        Reconnect {
            endpoint_count,
            endpoint_index: (random_state >> 33) as usize % endpoint_count,
            consecutive_failures: 0,
            random_state,
        }
    }

    /// The first attempt: without delay, to an endpoint that the seed selects.
    pub fn first_attempt(&self) -> ConnectAttempt {
        ConnectAttempt { endpoint_index: self.endpoint_index, delay: Span::ZERO }
    }

    /// The next attempt after a connection that failed `elapsed` after the attempt started. Once
    /// each endpoint has failed, the delay follows the backoff that all discovery sources share.
    pub fn after_failure(&mut self, elapsed: Span) -> ConnectAttempt {
        let previous_failures = self.consecutive_failures as usize;
        let delay = if previous_failures == 0 {
            self.random_below(WATCH_LOST_MAX_DELAY)
        } else if !previous_failures.is_multiple_of(self.endpoint_count) {
            self.random_below(NEXT_ENDPOINT_MAX_DELAY)
        } else {
            Backoff::polled(MAX_TIME_WITHOUT_POLL)
                .delay(elapsed, self.consecutive_failures, |limit| self.random_below(limit))
        };
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.next_endpoint(delay)
    }

    /// The next attempt after an endpoint's list was rejected as older than the known one. The
    /// delay is short, as the proxy learns of no changes in the meantime.
    pub fn after_rejected_list(&mut self) -> ConnectAttempt {
        let delay = self.random_below(LIST_REJECTED_MAX_DELAY);
        self.next_endpoint(delay)
    }

    /// Records that an endpoint is usable, which resets the delays.
    pub fn succeeded(&mut self) {
        self.consecutive_failures = 0;
    }

    fn next_endpoint(&mut self, delay: Span) -> ConnectAttempt {
        self.endpoint_index = (self.endpoint_index + 1) % self.endpoint_count;
        ConnectAttempt { endpoint_index: self.endpoint_index, delay }
    }

    /// A random span below `limit`, by Marsaglia's xorshift generator.
    fn random_below(&mut self, limit: Span) -> Span {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        Span::from_ticks(self.random_state % limit.ticks().max(1))
    }
}
