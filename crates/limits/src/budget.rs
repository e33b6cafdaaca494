//! The budget of retries that the requests of a class have: their own, or the one that all classes
//! without their own share.

use crate::sliding_window::SlidingWindow;
use crate::token_bucket::TokenBucket;
use chalkwalk_time::Timestamp;
use std::cell::RefCell;

/// A budget of retries as a share of first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget(Budget);

#[derive(Clone, Debug)]
enum Budget {
    Shared(TokenBucket),
    Own(RefCell<SlidingWindow>),
}

impl Default for RetryBudget {
    /// A budget for all classes: its clones count together.
    fn default() -> RetryBudget {
        RetryBudget(Budget::Shared(TokenBucket::new()))
    }
}

impl RetryBudget {
    /// A budget for one class. `share`: retries allowed, in thousandths of first attempts.
    pub fn own(share: u64) -> RetryBudget {
        RetryBudget(Budget::Own(RefCell::new(SlidingWindow::new(share))))
    }

    /// A first attempt was sent.
    pub fn record_first_attempt(&self, now: Timestamp) {
        match &self.0 {
            Budget::Shared(bucket) => bucket.record_first_attempt(),
            Budget::Own(window) => window.borrow_mut().record_first_attempt(now),
        }
    }

    /// Whether one more retry may be sent.
    pub fn allows_retry(&self, now: Timestamp) -> bool {
        match &self.0 {
            Budget::Shared(bucket) => bucket.allows_retry(),
            Budget::Own(window) => window.borrow_mut().allows_retry(now),
        }
    }

    /// A retry was sent.
    pub fn record_retry(&self, now: Timestamp) {
        match &self.0 {
            Budget::Shared(bucket) => bucket.record_retry(),
            Budget::Own(window) => window.borrow_mut().record_retry(now),
        }
    }

    /// What was counted: the shared budget's tokens, or the five counters of a class's own. Stored
    /// in snapshots by position.
    pub fn counters(&self) -> [u64; 5] {
        match &self.0 {
            Budget::Shared(bucket) => [bucket.tokens(), 0, 0, 0, 0],
            Budget::Own(window) => window.borrow().counters(),
        }
    }

    /// Goes on from what was counted.
    pub fn restore(&self, counters: [u64; 5]) {
        match &self.0 {
            Budget::Shared(bucket) => bucket.set_tokens(counters[0]),
            Budget::Own(window) => window.borrow_mut().restore(counters),
        }
    }

    /// Goes on from what another budget has counted, if both are of one kind.
    pub fn continue_from(&self, before: &RetryBudget) {
        let same_kind = match (&self.0, &before.0) {
            (Budget::Shared(_), Budget::Shared(_)) | (Budget::Own(_), Budget::Own(_)) => true,
            (Budget::Shared(_), Budget::Own(_)) | (Budget::Own(_), Budget::Shared(_)) => false,
        };
        if same_kind {
            self.restore(before.counters());
        }
    }
}
