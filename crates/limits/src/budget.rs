//! The retry budget of a request class: its own, or the one that is shared by all classes without a
//! budget of their own.

use crate::sliding_window::SlidingWindow;
use crate::token_bucket::TokenBucket;
use chalkwalk_time::Timestamp;
use std::cell::RefCell;

/// Limits retries to a share of the first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget(Budget);

#[derive(Clone, Debug)]
enum Budget {
    Shared(TokenBucket),
    PerClass(RefCell<SlidingWindow>),
}

impl Default for RetryBudget {
    /// A budget that is shared between classes: its clones use the same counters.
    fn default() -> RetryBudget {
        RetryBudget(Budget::Shared(TokenBucket::new()))
    }
}

impl RetryBudget {
    /// A budget for one class. `share_permille`: retries allowed, in thousandths of the first
    /// attempts.
    pub fn per_class(share_permille: u64) -> RetryBudget {
        RetryBudget(Budget::PerClass(RefCell::new(SlidingWindow::new(share_permille))))
    }

    /// Records that the first attempt of a request was sent.
    pub fn record_first_attempt(&self, now: Timestamp) {
        match &self.0 {
            Budget::Shared(bucket) => bucket.record_first_attempt(),
            Budget::PerClass(window) => window.borrow_mut().record_first_attempt(now),
        }
    }

    /// Whether one more retry may be sent.
    pub fn allows_retry(&self, now: Timestamp) -> bool {
        match &self.0 {
            Budget::Shared(bucket) => bucket.allows_retry(),
            Budget::PerClass(window) => window.borrow_mut().allows_retry(now),
        }
    }

    /// Records that a retry was sent.
    pub fn record_retry(&self, now: Timestamp) {
        match &self.0 {
            Budget::Shared(bucket) => bucket.record_retry(),
            Budget::PerClass(window) => window.borrow_mut().record_retry(now),
        }
    }

    /// The state of the budget: the tokens of a shared budget, or the five counters of a budget for
    /// one class. Snapshots store these values by position.
    pub fn counters(&self) -> [u64; 5] {
        match &self.0 {
            Budget::Shared(bucket) => [bucket.tokens(), 0, 0, 0, 0],
            Budget::PerClass(window) => window.borrow().counters(),
        }
    }

    /// Continues from stored counters.
    pub fn restore(&self, counters: [u64; 5]) {
        match &self.0 {
            Budget::Shared(bucket) => bucket.set_tokens(counters[0]),
            Budget::PerClass(window) => window.borrow_mut().restore(counters),
        }
    }

    /// Continues from the counters of another budget, if both are shared or both are for one class.
    pub fn copy_counters_from(&self, previous: &RetryBudget) {
        let same_kind = match (&self.0, &previous.0) {
            (Budget::Shared(_), Budget::Shared(_)) | (Budget::PerClass(_), Budget::PerClass(_)) => true,
            (Budget::Shared(_), Budget::PerClass(_)) | (Budget::PerClass(_), Budget::Shared(_)) => false,
        };
        if same_kind {
            self.restore(previous.counters());
        }
    }
}
