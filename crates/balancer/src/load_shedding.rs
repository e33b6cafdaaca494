//! Decides which requests are rejected before they load the servers or the origin, and which keys share one ring of all zones.
//!
//! Inputs: whether answers of the servers, whichever, and of the origin came in time. Over one in three late, and a part of the
//! requests is rejected so that the rest is in time; at the least one in twenty is sent. While the origin is short, fewer
//! copies of a key leave room for more keys, so by and by requests go to the ring of all zones. Guards servers that are late
//! together, as one of many proxies gets too few answers of each to find its limit, and an origin that every zone by itself
//! would load with the same keys.

use crate::hash::mix;
use std::collections::HashSet;

/// All requests, in thousandths.
const FULL_RATIO: u64 = 1000;
/// The least that is sent: one in twenty.
const MIN_RATIO: u64 = 50;
/// Each second, so that all are sent again within 20 s whatever comes.
const INCREASE_PER_SECOND: u64 = 50;
/// An answer in time: an eighth down and a seventeenth up hold all requests while up to one in three is late.
const INCREASE_PER_TIMELY_ANSWER: u64 = 60;
/// Keys are remembered for 4 to 8 s: longer, and too many pass whose copy is gone by then.
const KEY_MEMORY_SECONDS: u64 = 4;

/// What a request loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resource {
    Servers,
    /// The origin, loaded by this proxy or by a server.
    Origin,
}

/// What of the requests is sent.
pub(crate) struct LoadShedding {
    /// Hundredths of the keys that are looked up on the ring of all zones.
    shared_ring_share: u64,
    /// Requests, halved each second.
    accepted_recently: u64,
    /// Thousandths of the requests that are sent, by `Resource`.
    admission_ratios: [u64; 2],
    /// Keys that servers resolved lately, and before that.
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

    /// Whether a request is rejected, by its draw of 0 to 99.
    pub fn sheds(&self, resource: Resource, draw: u64) -> bool {
        draw * 10 >= self.admission_ratios[resource as usize]
    }

    /// An answer came, in time or late.
    pub fn record(&mut self, resource: Resource, late: bool) {
        let ratio = &mut self.admission_ratios[resource as usize];
        let next = if late { *ratio * 7 / 8 } else { (*ratio + INCREASE_PER_TIMELY_ANSWER).min(FULL_RATIO) };
        *ratio = next.max(MIN_RATIO);
    }

    /// A request was rejected as the origin is short. By their share, whatever this proxy's traffic: one in twenty, and all keys
    /// go to the ring of all zones.
    pub fn record_origin_short(&mut self) {
        let step = 150u64.div_ceil(self.accepted_recently.max(2));
        self.shared_ring_share = (self.shared_ring_share + step).min(100);
    }

    /// Whether a key is looked up on the ring of all zones.
    pub fn uses_shared_ring(&self, key: u64) -> bool {
        mix(key) / 1000 % 100 < self.shared_ring_share
    }

    /// Whether a server is not known to hold a key, and would fetch it.
    pub fn needs_fetch(&self, key: u64) -> bool {
        !self.resolved_keys.iter().any(|keys| keys.contains(&key))
    }

    pub fn record_resolved(&mut self, key: u64) {
        self.resolved_keys[0].insert(key);
    }

    /// Guards against copies that went void: after an error the key is not held after all.
    pub fn forget_resolved(&mut self, key: u64) {
        for keys in &mut self.resolved_keys {
            keys.remove(&key);
        }
    }

    /// A second has passed, the `second`th.
    pub fn recover(&mut self, second: u64) {
        self.accepted_recently /= 2;
        self.admission_ratios =
            self.admission_ratios.map(|ratio| (ratio + INCREASE_PER_SECOND).min(FULL_RATIO));
        if second.is_multiple_of(KEY_MEMORY_SECONDS) {
            self.resolved_keys.swap(0, 1);
            self.resolved_keys[0].clear();
        }
        self.shared_ring_share -= self.shared_ring_share.div_ceil(16); // all within half a minute
    }
}
