//! The latencies of recent answers as a coarse histogram, which timeouts and hedging delays are
//! read from.

use crate::snapshot::stored;
use chalkwalk_time::Span;

const DOUBLINGS: usize = 14;
/// What one answer adds to its bin: four, so that a single answer still counts after two halvings.
const COUNT_PER_ANSWER: u32 = 4;
/// Fewer than five answers say too little about a ninth decile.
const MIN_COUNT_FOR_DECILE: u32 = 5 * COUNT_PER_ANSWER;
/// Fewer than twenty answers say too little about a quantile.
const MIN_COUNT_FOR_QUANTILE: u64 = 20 * COUNT_PER_ANSWER as u64;
/// Forty answers: a smaller count is not halved, as half of it would be too few.
const MIN_COUNT_TO_DECAY: u32 = 40 * COUNT_PER_ANSWER;

/// A histogram with four bins for each doubling from 0.8 ms up, halved once a second.
#[derive(Clone)]
pub(crate) struct LatencyHistogram {
    counts: [u32; 4 * DOUBLINGS],
}

stored! { LatencyHistogram { counts } }

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram { counts: [0; 4 * DOUBLINGS] }
    }
}

impl LatencyHistogram {
    /// Counts an answer that took `took`.
    pub fn record(&mut self, took: Span) {
        let took = took.ticks();
        let doubling = ((took / 8 + 1).ilog2() as usize).min(DOUBLINGS - 1);
        // The four bins of a doubling begin at 8 * (2^doubling - 1) ticks and together span
        // 8 * 2^doubling ticks.
        let quarter = ((took + 8) >> (doubling + 1)).saturating_sub(4).min(3) as usize;
        self.counts[4 * doubling + quarter] += COUNT_PER_ANSWER;
    }

    /// Halves the counts, unless too few would be left: a proxy with little traffic relies on the
    /// earlier answers of its servers.
    pub fn decay(&mut self) {
        if self.counts.iter().sum::<u32>() >= MIN_COUNT_TO_DECAY {
            self.counts.iter_mut().for_each(|count| *count /= 2);
        }
    }

    /// The time within which nine in ten answers came, rounded up to a doubling, or `default` if
    /// too few answers were recorded.
    pub fn ninth_decile(&self, default: Span) -> Span {
        let count_in_doubling = |i: usize| self.counts[4 * i..4 * i + 4].iter().sum::<u32>();
        let count: u32 = self.counts.iter().sum();
        let mut allowed_above = count / 10;
        for i in (0..DOUBLINGS).rev() {
            if count >= MIN_COUNT_FOR_DECILE && count_in_doubling(i) > allowed_above {
                return Span::from_ticks(16 << i);
            }
            allowed_above -= count_in_doubling(i).min(allowed_above);
        }
        default
    }

    /// The time within which `thousandths` of the answers came, rounded up to a quarter of a
    /// doubling, or `None` if too few answers were recorded.
    pub fn quantile(&self, thousandths: u64) -> Option<Span> {
        let count: u64 = self.counts.iter().map(|count| u64::from(*count)).sum();
        let mut allowed_above = count * (1000 - thousandths) / 1000;
        for (i, count_in_bin) in self.counts.iter().enumerate().rev() {
            let count_in_bin = u64::from(*count_in_bin);
            if count_in_bin > allowed_above && count >= MIN_COUNT_FOR_QUANTILE {
                let doubling = i / 4;
                let quarter = i as u64 % 4;
                return Some(Span::from_ticks(((5 + quarter) << (doubling + 1)) - 8));
            }
            allowed_above -= count_in_bin.min(allowed_above);
        }
        None
    }
}

#[cfg(test)]
mod tests;
