//! The retry budget of a single class: a share of the first attempts within a sliding window.
//!
//! Events are counted in two halves of the window. The count of the older half is weighted by the
//! part of that half that is still within the window. This needs no list of events, so the memory
//! does not depend on the load.

use chalkwalk_time::{Span, Timestamp};

/// Half of the window. The whole window of ten seconds is long enough that even a proxy with little
/// traffic gets some hundred requests in it, and short enough that the counts of an outage expire
/// ten seconds after its end.
const HALF_WINDOW: Span = Span::from_secs(5);
/// Retries that are always allowed within the window. Without them, a proxy with little traffic
/// could not retry at all.
const MIN_RETRIES_PER_WINDOW: u64 = 3;

/// Counts of first attempts and retries of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlidingWindow {
    /// Retries allowed, in thousandths of the first attempts.
    share_permille: u64,
    /// The number of the current half of the window, counted from the clock's origin.
    half_index: u64,
    first_attempts: HalfCounts,
    retries: HalfCounts,
}

/// The number of events in the current half of the window and in the previous half.
#[derive(Clone, Copy, Debug, Default)]
struct HalfCounts {
    current: u64,
    previous: u64,
}

impl HalfCounts {
    /// Starts a new half of the window. `passed`: how many halves have begun since the last event.
    fn advance(&mut self, passed: u64) {
        self.previous = if passed == 1 { self.current } else { 0 };
        self.current = 0;
    }

    /// The whole count of the current half, and the previous half's count weighted by the part of
    /// it that is still within the window. The result is the count multiplied by `HALF_WINDOW`.
    fn weighted_count(&self, now: Timestamp) -> Span {
        self.current * HALF_WINDOW + self.previous * (HALF_WINDOW - now.elapsed_in_period(HALF_WINDOW))
    }
}

impl SlidingWindow {
    /// `share_permille`: retries allowed, in thousandths of the first attempts.
    pub fn new(share_permille: u64) -> SlidingWindow {
        SlidingWindow { share_permille, ..SlidingWindow::default() }
    }

    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.advance(now);
        self.first_attempts.current += 1;
    }

    /// Whether one more retry is within the budget.
    pub fn allows_retry(&mut self, now: Timestamp) -> bool {
        self.advance(now);
        let with_next_retry = self.retries.weighted_count(now) + HALF_WINDOW;
        with_next_retry <= MIN_RETRIES_PER_WINDOW * HALF_WINDOW
            || with_next_retry * 1000 <= self.first_attempts.weighted_count(now) * self.share_permille
    }

    pub fn record_retry(&mut self, now: Timestamp) {
        self.advance(now);
        self.retries.current += 1;
    }

    /// The counters in the order in which they are stored.
    pub fn counters(&self) -> [u64; 5] {
        let SlidingWindow { half_index, first_attempts, retries, .. } = self;
        [*half_index, first_attempts.current, first_attempts.previous, retries.current, retries.previous]
    }

    /// Continues from stored counters.
    pub fn restore(&mut self, counters: [u64; 5]) {
        let [half_index, current_first_attempts, previous_first_attempts, current_retries, previous_retries] =
            counters;
        self.half_index = half_index;
        self.first_attempts =
            HalfCounts { current: current_first_attempts, previous: previous_first_attempts };
        self.retries = HalfCounts { current: current_retries, previous: previous_retries };
    }

    /// Moves the window to `now`.
    fn advance(&mut self, now: Timestamp) {
        let half_index = now.whole_periods(HALF_WINDOW);
        let passed = half_index.saturating_sub(self.half_index);
        if passed > 0 {
            self.first_attempts.advance(passed);
            self.retries.advance(passed);
            self.half_index = half_index;
        }
    }
}

#[cfg(test)]
mod tests;
