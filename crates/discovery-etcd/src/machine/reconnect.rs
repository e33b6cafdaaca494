//! Which endpoint is tried next and when: in turn, each time after a random delay, so that proxies
//! that lose etcd together do not come back together.

use super::step::ConnectAttempt;
use chalkwalk_balancer::discovery::Backoff;
use chalkwalk_time::Span;

/// After a watch is lost: five hundred proxies that lose theirs together come back over so long.
const FIRST_SPREAD: Span = Span::from_secs(1);
/// After a list that was rejected. Three in a row are, so that all is known again within a second.
const LIST_REJECTED_SPREAD: Span = Span::from_millis(250);
/// From one endpoint to the next until each was tried: of three endpoints two may hang, two seconds
/// each, within the time in which a change must be known.
const NEXT_ENDPOINT_SPREAD: Span = Span::from_millis(500);
/// No operator states how long a fleet may neither watch nor poll.
const UNLIMITED: Span = Span::MAX;
/// Knuth's multiplicative constant, 2^64 over the golden ratio: seeds that are close start far
/// apart.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The endpoint in use, and the failures since one was last usable.
#[derive(Debug)]
pub(super) struct Reconnect {
    endpoints: usize,
    endpoint: usize,
    failures: u32,
    random: u64,
}

impl Reconnect {
    /// The seed is each proxy's own: by it they spread out.
    pub fn new(endpoints: usize, seed: u64) -> Reconnect {
        let random = seed.wrapping_mul(SEED_MULTIPLIER) | 1;
        let endpoints = endpoints.max(1);
        Reconnect { endpoints, endpoint: (random >> 33) as usize % endpoints, failures: 0, random }
    }

    /// At once, to an endpoint that the seed decides.
    pub fn first(&self) -> ConnectAttempt {
        ConnectAttempt { endpoint: self.endpoint, delay: Span::ZERO }
    }

    /// The next endpoint, after a connection that failed after so long. Once each endpoint has
    /// failed, the delay is that of every source.
    pub fn after_failure(&mut self, took: Span) -> ConnectAttempt {
        let failures_before = self.failures as usize;
        let delay = if failures_before == 0 {
            self.random_below(FIRST_SPREAD)
        } else if !failures_before.is_multiple_of(self.endpoints) {
            self.random_below(NEXT_ENDPOINT_SPREAD)
        } else {
            Backoff::polled(UNLIMITED).delay(took, self.failures, |end| self.random_below(end))
        };
        self.failures = self.failures.saturating_add(1);
        self.next_endpoint(delay)
    }

    /// The next endpoint, and soon: this one's list is older than what is known, and nothing is
    /// known of changes meanwhile.
    pub fn after_rejected_list(&mut self) -> ConnectAttempt {
        let delay = self.random_below(LIST_REJECTED_SPREAD);
        self.next_endpoint(delay)
    }

    /// An endpoint is usable.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    fn next_endpoint(&mut self, delay: Span) -> ConnectAttempt {
        self.endpoint = (self.endpoint + 1) % self.endpoints;
        ConnectAttempt { endpoint: self.endpoint, delay }
    }

    /// xorshift, after Marsaglia.
    fn random_below(&mut self, end: Span) -> Span {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        Span::from_ticks(self.random % end.ticks().max(1))
    }
}
