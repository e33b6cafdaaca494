//! Decides which requests are rejected before they load the servers or the origin, and which keys
//! are looked up on one ring of all zones.
//!
//! Inputs: whether answers came in time, counted for all servers together and for the origin. If
//! over one in three is late, a part of the requests is rejected so that the rest is answered in
//! time; at least one in twenty is sent. While the origin is short of capacity, fewer copies of
//! each key leave room in the servers for more keys, so step by step more keys move to the ring of
//! all zones. Protects servers that are late together, which the concurrency limits of single
//! servers can't do, as one of many proxies gets too few answers of each server to find the
//! server's limit. Also protects an origin that each zone would otherwise load with the same keys.

use crate::hash::mix;
use std::collections::HashSet;

/// The admission ratio at which all requests are sent, in thousandths.
const FULL_RATIO: u64 = 1000;
/// The smallest admission ratio: one request in twenty.
const MIN_RATIO: u64 = 50;
/// Added to the admission ratios each second, so that all requests are sent again within 20 s in
/// any case.
const INCREASE_PER_SECOND: u64 = 50;
/// Added by an answer in time. A decrease by an eighth and an increase by a seventeenth keep all
/// requests admitted as long as at most one answer in three is late.
const INCREASE_PER_TIMELY_ANSWER: u64 = 60;
/// Resolved keys are remembered for 4 to 8 s. If that time were longer, too many requests would be
/// admitted for keys whose copies are gone by then.
const KEY_MEMORY_SECONDS: u64 = 4;

/// The resource that a request loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resource {
    Servers,
    /// The origin, whether this proxy or a server sends it the request.
    Origin,
}

/// The state that decides which requests are sent.
pub(crate) struct LoadShedding {
    /// The share of keys that are looked up on the ring of all zones, in hundredths.
    shared_ring_share: u64,
    /// The number of accepted requests, halved each second.
    accepted_recently: u64,
    /// The share of requests that are sent, in thousandths, by `Resource`.
    admission_ratios: [u64; 2],
    /// The keys that servers resolved in the current period and in the one before.
    resolved_keys: [HashSet<u64>; 2],
}

impl Default for LoadShedding {
    fn default() -> LoadShedding {
        LoadShedding::restored(0, 0, [FULL_RATIO; 2], <[HashSet<u64>; 2]>::default())
    }
}

impl LoadShedding {
    pub fn restored(
        shared_ring_share: u64,
        accepted_recently: u64,
        admission_ratios: [u64; 2],
        resolved_keys: [HashSet<u64>; 2],
    ) -> LoadShedding {
        LoadShedding { shared_ring_share, accepted_recently, admission_ratios, resolved_keys }
    }

    pub fn shared_ring_share(&self) -> u64 {
        self.shared_ring_share
    }

    pub fn accepted_recently(&self) -> u64 {
        self.accepted_recently
    }

    pub fn admission_ratios(&self) -> [u64; 2] {
        self.admission_ratios
    }

    pub fn resolved_keys(&self) -> &[HashSet<u64>; 2] {
        &self.resolved_keys
    }

    pub fn count_request(&mut self) {
        self.accepted_recently += 1;
    }

    /// Whether a request is rejected, given its random draw of 0 to 99.
    pub fn sheds(&self, resource: Resource, draw: u64) -> bool {
        draw * 10 >= self.admission_ratios[resource as usize]
    }

    /// Records whether an answer was late.
    pub fn record(&mut self, resource: Resource, late: bool) {
        let ratio = &mut self.admission_ratios[resource as usize];
        let new_ratio =
            if late { *ratio * 7 / 8 } else { (*ratio + INCREASE_PER_TIMELY_ANSWER).min(FULL_RATIO) };
        *ratio = new_ratio.max(MIN_RATIO);
    }

    /// Records a request that was rejected because the origin is short of capacity. The step is
    /// relative to the number of recent requests, so that the effect does not depend on how much
    /// traffic this proxy has: if one request in twenty is rejected, all keys move to the ring of
    /// all zones.
    pub fn record_origin_rejection(&mut self) {
        let step = 150u64.div_ceil(self.accepted_recently.max(2));
        self.shared_ring_share = (self.shared_ring_share + step).min(100);
    }

    /// Whether a key is looked up on the ring of all zones.
    pub fn uses_shared_ring(&self, key: u64) -> bool {
        mix(key) / 1000 % 100 < self.shared_ring_share
    }

    /// Whether no server is known to hold a key, so that a server that gets a request for it would
    /// fetch it.
    pub fn needs_fetch(&self, key: u64) -> bool {
        !self.resolved_keys.iter().any(|keys| keys.contains(&key))
    }

    pub fn record_resolved(&mut self, key: u64) {
        self.resolved_keys[0].insert(key);
    }

    /// Forgets a key after an error, because its copies may have been invalidated: the key counts
    /// as not held.
    pub fn forget_resolved(&mut self, key: u64) {
        for keys in &mut self.resolved_keys {
            keys.remove(&key);
        }
    }

    /// Restores the admission ratios and forgets old keys; called once a second with the number of
    /// the second.
    pub fn recover(&mut self, second: u64) {
        self.accepted_recently /= 2;
        self.admission_ratios =
            self.admission_ratios.map(|ratio| (ratio + INCREASE_PER_SECOND).min(FULL_RATIO));
        if second.is_multiple_of(KEY_MEMORY_SECONDS) {
            self.resolved_keys.swap(0, 1);
            self.resolved_keys[0].clear();
        }
        self.shared_ring_share -= self.shared_ring_share.div_ceil(16); // back to zero within half a minute
    }
}
