//! Decides which of its keys a server keeps: fewer where it is small, answers late, or is listed as loaded. A hot key so splits
//! over several servers, as each proxy passes a loaded server for other keys.
//!
//! Inputs: the listed sizes, and how long answers took.

use crate::hash::mix;
use crate::snapshot::stored;
use chalkwalk_time::Span;

/// All keys, in thousandths.
const FULL_SHARE: u64 = 1000;
/// The least share: what still shows how the server does, and an eighth of an eighth by the list's load.
const MIN_SHARE: u64 = 30;
/// Given back by an answer in time: eight give all back.
const GAIN_PER_TIMELY_ANSWER: u64 = 125;
/// Given back each second: half a hundredth.
const GAIN_PER_SECOND: u64 = 5;
/// Given back by a list that states no load too high.
const GAIN_PER_LIST: u64 = 16;
/// Hundredths of a request a core: over three are a load.
const LOAD_THRESHOLD: u64 = 300;
/// Sizes outside make no sense.
const VALID_SIZES: std::ops::Range<u64> = 1..10_000_000;
/// A size that another process has learned counts to this.
const MAX_LEARNED_SIZE: u64 = 1_000_000;

/// A server's part in the keys that the ring gives it.
#[derive(Default)]
pub(crate) struct KeyShare {
    /// As listed; the largest listed, where it is lowered by load.
    size: u64,
    /// Hundredths of a request a core that it holds, by the list before.
    previous_load: u64,
    /// The same by the last list.
    load: u64,
    /// Thousandths of its keys that it keeps.
    share: u64,
}

stored! { KeyShare { size, previous_load, load, share } }

impl KeyShare {
    pub fn full() -> KeyShare {
        KeyShare { share: FULL_SHARE, ..KeyShare::default() }
    }

    pub fn size(&self) -> u64 {
        self.size
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

    /// A new process under the id: what the old one was late with is void.
    pub fn reset(&mut self) {
        self.share = FULL_SHARE;
    }

    /// The list states a size. What makes no sense is as if nothing were stated; a size that is lowered by load fades in minutes.
    pub fn update_listed_size(&mut self, size: u64, fixed: bool) {
        let valid_size = if VALID_SIZES.contains(&size) { size } else { self.size.max(1) };
        self.size = if fixed { size.max(1) } else { valid_size.max(self.size - self.size / 128) };
        self.previous_load = self.load;
        self.load = if fixed { 0 } else { self.size * 100 / valid_size - 100 };
    }

    /// A server that holds over three requests a core, and more than the mean, keeps an eighth less of its keys, or else a
    /// sixtieth more: the same keys at every proxy, as all have the same list.
    pub fn rebalance(&mut self, mean_load: u64) {
        let loaded = self.load > mean_load.max(LOAD_THRESHOLD);
        let recovering = self.load * 8 <= self.previous_load * 7;
        self.share = match loaded {
            true if recovering => self.share,
            true => (self.share * 7 / 8).max(MIN_SHARE),
            false => (self.share + GAIN_PER_LIST).min(FULL_SHARE),
        };
    }

    /// An answer took so long. Half of the share goes for one past its target, as one of many proxies has few to learn from.
    pub fn record_latency(&mut self, took: Span, target: Span) {
        let raised = if took > target / 2 {
            self.share
        } else {
            (self.share + GAIN_PER_TIMELY_ANSWER).min(FULL_SHARE)
        };
        self.share = if took < target { raised } else { (self.share / 2).max(MIN_SHARE) };
    }

    /// A second has passed.
    pub fn recover(&mut self) {
        self.share = (self.share + GAIN_PER_SECOND).min(FULL_SHARE);
        self.load -= self.load / 8;
    }

    /// Whether a key is among those that it keeps, beside servers of which the largest has that size. A smaller one gives up half
    /// of the keys that it is short of the largest by, the same at every proxy: half, as keys are work and memory, which is
    /// nowhere stated. Of the rest it keeps its share, by `salt` other keys at each proxy.
    pub fn keeps(&self, key: u64, salt: u64, max_size: u64) -> bool {
        mix(key) / 100_000_000 % 1000 < (self.size + max_size) * 500 / max_size
            && mix(key ^ salt) % 1000 < self.share
    }

    /// Whether its listed load leaves it open to keys that it does not own: never above nine requests a core, always up to three.
    pub fn takes_other_keys(&self, draw: u64) -> bool {
        self.load <= LOAD_THRESHOLD + draw * 6
    }

    /// Takes over what another process has learned, within what could have been learned.
    pub fn restore(&mut self, share: u64, size: u64, fixed_sizes: bool) {
        self.share = share.clamp(MIN_SHARE, FULL_SHARE);
        if !fixed_sizes {
            self.size = self.size.max(size.min(MAX_LEARNED_SIZE));
        }
    }
}
