//! A class's own retry budget: a share of first attempts within a sliding window.
//!
//! Two halves of the window are counted, and the older one counts for the part of it that is still
//! within: no list of events, and the same memory whatever the load.

use chalkwalk_time::{Span, Timestamp};

/// Half of the window: ten seconds in all are some hundred requests at a quiet proxy, and an outage
/// that ends is forgotten within them.
const HALF: Span = Span::from_secs(5);
/// Retries that may always be sent within the window, or a proxy with little traffic could not
/// retry at all.
const MIN_RETRIES: u64 = 3;

/// First attempts and retries of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlidingWindow {
    /// Retries allowed, in thousandths of first attempts.
    share: u64,
    /// The number of the present half, counted from zero.
    half: u64,
    first_attempts: HalfCounts,
    retries: HalfCounts,
}

/// A count in the present half of the window and in the one before.
#[derive(Clone, Copy, Debug, Default)]
struct HalfCounts {
    present: u64,
    previous: u64,
}

impl HalfCounts {
    fn advance(&mut self, halves: u64) {
        self.previous = if halves == 1 { self.present } else { 0 };
        self.present = 0;
    }

    /// All of the present half, and of the one before the part that is still within: the count
    /// times half a window.
    fn within(&self, now: Timestamp) -> Span {
        self.present * HALF + self.previous * (HALF - now.into_period(HALF))
    }
}

impl SlidingWindow {
    /// `share`: retries allowed, in thousandths of first attempts.
    pub fn new(share: u64) -> SlidingWindow {
        SlidingWindow { share, ..SlidingWindow::default() }
    }

    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.advance(now);
        self.first_attempts.present += 1;
    }

    /// Whether one more retry is within the budget.
    pub fn allows_retry(&mut self, now: Timestamp) -> bool {
        self.advance(now);
        let with_this_one = self.retries.within(now) + HALF;
        with_this_one <= MIN_RETRIES * HALF
            || with_this_one * 1000 <= self.first_attempts.within(now) * self.share
    }

    pub fn record_retry(&mut self, now: Timestamp) {
        self.advance(now);
        self.retries.present += 1;
    }

    /// What was counted so far, as it is stored.
    pub fn counters(&self) -> [u64; 5] {
        let SlidingWindow { half, first_attempts, retries, .. } = self;
        [*half, first_attempts.present, first_attempts.previous, retries.present, retries.previous]
    }

    /// Goes on from what was counted.
    pub fn restore(&mut self, counters: [u64; 5]) {
        let [half, present_firsts, previous_firsts, present_retries, previous_retries] = counters;
        self.half = half;
        self.first_attempts = HalfCounts { present: present_firsts, previous: previous_firsts };
        self.retries = HalfCounts { present: present_retries, previous: previous_retries };
    }

    fn advance(&mut self, now: Timestamp) {
        let half = now.whole_periods(HALF);
        let passed = half.saturating_sub(self.half);
        if passed > 0 {
            self.first_attempts.advance(passed);
            self.retries.advance(passed);
            self.half = half;
        }
    }
}

#[cfg(test)]
mod tests;
