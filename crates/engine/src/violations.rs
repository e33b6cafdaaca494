//! Counters of attempts that were refused right before their first byte, and of violations: what
//! must not happen at all, checked at run time.

use chalkwalk_balancer::admission::{SendRefusal, Violation};
use slog::{Logger, warn};
use std::cell::Cell;

/// Of each kind of violation the first is logged, and then each hundredth: one that repeats must
/// not flood the log.
const LOGGED_EACH: u64 = 100;

/// Attempts that were refused since the start.
#[derive(Default)]
pub struct RefusedAttempts {
    request_over: Cell<u64>,
}

impl RefusedAttempts {
    /// Counts an attempt that was refused.
    pub fn count(&self, refusal: SendRefusal) {
        if matches!(refusal, SendRefusal::Answered | SendRefusal::ClientLeft) {
            self.request_over.set(self.request_over.get() + 1);
        }
    }

    /// Those refused because their request had its response, or its client had gone.
    pub fn request_over(&self) -> u64 {
        self.request_over.get()
    }
}

/// How often each violation has happened since the start.
#[derive(Default)]
pub struct Violations([Cell<u64>; Violation::ALL.len()]);

impl Violations {
    /// Counts a violation, if there is one, and logs the first of its kind and each hundredth.
    pub fn check(&self, log: &Logger, violation: Option<Violation>) {
        let Some(violation) = violation else { return };
        let Some(index) = Violation::ALL.iter().position(|kind| *kind == violation) else { return };
        let count = self.0[index].get() + 1;
        self.0[index].set(count);
        if count == 1 || count.is_multiple_of(LOGGED_EACH) {
            warn!(log, "violation"; "of" => violation.name(), "count" => count);
        }
    }

    /// All of them together.
    pub fn total(&self) -> u64 {
        self.0.iter().map(Cell::get).sum()
    }
}
