//! Decides which of its keys a server keeps: fewer if its weight is small, if it answers late, or
//! if the endpoint list states a high load for it. A hot key is thereby split over several servers,
//! as each proxy skips a loaded server for different keys.
//!
//! Inputs: the weights in the endpoint list, and how long answers took. If weights vary with load,
//! the load of a server is derived from its weight.

use crate::hash::mix;
use crate::snapshot::stored;
use chalkwalk_time::Span;

/// The share of a server that keeps all its keys, in thousandths.
const FULL_SHARE: u64 = 1000;
/// The smallest share: enough to still show how the server does, and an eighth of an eighth by the
/// load in the list.
const MIN_SHARE: u64 = 30;
/// Added to the share by an answer in time: eight answers restore the whole share.
const GAIN_PER_TIMELY_ANSWER: u64 = 125;
/// Added to the share each second: half a percent.
const GAIN_PER_SECOND: u64 = 5;
/// Added to the share by each list in which the server's load is not too high.
const GAIN_PER_LIST: u64 = 16;
/// In hundredths of a request per core: a server with more than three requests per core is loaded.
const LOAD_THRESHOLD: u64 = 300;
/// The range of valid weights, in hundredths.
const VALID_WEIGHTS: std::ops::Range<u64> = 1..10_000_000;
/// The upper bound for a weight that another process learned, in hundredths.
const MAX_LEARNED_WEIGHT: u64 = 1_000_000;

/// The share of its keys on the ring that a server keeps.
#[derive(Default)]
pub(crate) struct KeyShare {
    /// The listed weight, or the largest one listed if load lowers the listed weight. In
    /// hundredths.
    weight: u64,
    /// The load according to the previous list, in hundredths of a request per core.
    previous_load: u64,
    /// The load according to the last list, in hundredths of a request per core.
    load: u64,
    /// The share of its keys that the server keeps, in thousandths.
    share: u64,
}

stored! { KeyShare { weight, previous_load, load, share } }

impl KeyShare {
    pub fn full() -> KeyShare {
        KeyShare { share: FULL_SHARE, ..KeyShare::default() }
    }

    pub fn weight(&self) -> u64 {
        self.weight
    }

    pub fn share(&self) -> u64 {
        self.share
    }

    pub fn load(&self) -> u64 {
        self.load
    }

    pub fn is_full(&self) -> bool {
        self.share == FULL_SHARE
    }

    /// Restores the whole share for a new process under the same id: late answers of the old
    /// process no longer count.
    pub fn reset(&mut self) {
        self.share = FULL_SHARE;
    }

    /// Records a listed weight. An invalid weight counts as not stated. If load lowers the listed
    /// weight (`fixed_weights` is false), the stored one follows slowly, over minutes.
    pub fn update_listed_weight(&mut self, weight: u64, fixed_weights: bool) {
        let valid_weight = if VALID_WEIGHTS.contains(&weight) { weight } else { self.weight.max(1) };
        self.weight =
            if fixed_weights { weight.max(1) } else { valid_weight.max(self.weight - self.weight / 128) };
        self.previous_load = self.load;
        self.load = if fixed_weights { 0 } else { self.weight * 100 / valid_weight - 100 };
    }

    /// Adjusts the share by the listed load. A server that has over three requests per core, and
    /// more than the mean, keeps an eighth less of its keys; any other server keeps a sixtieth
    /// more. The keys are the same at every proxy, as all proxies have the same list.
    pub fn rebalance(&mut self, mean_load: u64) {
        let loaded = self.load > mean_load.max(LOAD_THRESHOLD);
        let recovering = self.load * 8 <= self.previous_load * 7;
        self.share = match loaded {
            true if recovering => self.share,
            true => (self.share * 7 / 8).max(MIN_SHARE),
            false => (self.share + GAIN_PER_LIST).min(FULL_SHARE),
        };
    }

    /// Adjusts the share by an answer. An answer within half of its target time raises the share. A
    /// late one halves it at once, because each of many proxies has few answers to learn from.
    pub fn record_latency(&mut self, took: Span, target: Span) {
        let raised_share = if took > target / 2 {
            self.share
        } else {
            (self.share + GAIN_PER_TIMELY_ANSWER).min(FULL_SHARE)
        };
        self.share = if took < target { raised_share } else { (self.share / 2).max(MIN_SHARE) };
    }

    /// Restores a part of the share and reduces the load; called once a second.
    pub fn recover(&mut self) {
        self.share = (self.share + GAIN_PER_SECOND).min(FULL_SHARE);
        self.load -= self.load / 8;
    }

    /// Whether the server keeps a key. `max_weight` is the largest weight among the servers that
    /// are searched. A server with a smaller weight gives up some keys, the same ones at every
    /// proxy, and only half as many as the ratio of the weights suggests: a key costs both work and
    /// memory, and nothing states which of the two a weight refers to. Of the remaining keys, the
    /// server keeps its share; `salt` differs between proxies, and so do the keys that they choose.
    pub fn keeps(&self, key: u64, salt: u64, max_weight: u64) -> bool {
        mix(key) / 100_000_000 % 1000 < (self.weight + max_weight) * 500 / max_weight
            && mix(key ^ salt) % 1000 < self.share
    }

    /// Whether the listed load allows the server to take keys that it does not own: never above
    /// nine requests per core, always up to three. `draw` is the request's random draw, 0 to 99.
    pub fn accepts_unowned_keys(&self, draw: u64) -> bool {
        self.load <= LOAD_THRESHOLD + draw * 6
    }

    /// Sets what another process learned, clamped to the valid range.
    pub fn restore(&mut self, share: u64, weight: u64, fixed_weights: bool) {
        self.share = share.clamp(MIN_SHARE, FULL_SHARE);
        if !fixed_weights {
            self.weight = self.weight.max(weight.min(MAX_LEARNED_WEIGHT));
        }
    }
}
