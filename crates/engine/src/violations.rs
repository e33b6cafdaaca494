//! Counts attempts that were refused right before their first byte, and violations: events that
//! must not happen, checked at run time.

use chalkwalk_balancer::admission::{SendRefusal, Violation};
use slog::{Logger, warn};
use std::cell::Cell;

/// The first violation of each kind is logged, and then every hundredth, so that a repeated one
/// does not flood the log.
const LOG_INTERVAL: u64 = 100;

/// Counts refused attempts since the start.
#[derive(Default)]
pub struct RefusedAttempts {
    for_finished_requests: Cell<u64>,
}

impl RefusedAttempts {
    /// Counts an attempt that was refused.
    pub fn count(&self, refusal: SendRefusal) {
        if matches!(refusal, SendRefusal::Answered | SendRefusal::ClientLeft) {
            self.for_finished_requests.set(self.for_finished_requests.get() + 1);
        }
    }

    /// The attempts refused because their request already had its response or its client had left.
    pub fn for_finished_requests(&self) -> u64 {
        self.for_finished_requests.get()
    }
}

/// The number of violations of each kind since the start.
#[derive(Default)]
pub struct Violations([Cell<u64>; Violation::ALL.len()]);

impl Violations {
    /// Counts a violation, if there is one. Logs the first of its kind and every hundredth.
    pub fn check(&self, log: &Logger, violation: Option<Violation>) {
        let Some(violation) = violation else { return };
        let Some(index) = Violation::ALL.iter().position(|kind| *kind == violation) else { return };
        let count = self.0[index].get() + 1;
        self.0[index].set(count);
        if count == 1 || count.is_multiple_of(LOG_INTERVAL) {
            warn!(log, "violation"; "of" => violation.name(), "count" => count);
        }
    }

    /// The number of violations of all kinds.
    pub fn total(&self) -> u64 {
        self.0.iter().map(Cell::get).sum()
    }
}
