//! Counts, at run time, of attempts that were refused right before their first byte, and of what must not happen at all.

use chalkwalk_balancer::admission::{Refusal, Violation};
use slog::{Logger, warn};
use std::cell::Cell;

/// Attempts that were refused, since the start.
#[derive(Default)]
pub struct Refused {
    over: Cell<u64>,
}

impl Refused {
    pub fn count(&self, refusal: Refusal) {
        if matches!(refusal, Refusal::Answered | Refusal::ClientLeft) {
            self.over.set(self.over.get() + 1);
        }
    }

    /// As the request was over, or its client gone.
    pub fn over(&self) -> u64 {
        self.over.get()
    }
}

/// How often each violation has happened since the start.
#[derive(Default)]
pub struct Violations([Cell<u64>; Violation::ALL.len()]);

impl Violations {
    /// Counts it, if there is one. The first of each kind and each hundredth are lines in the log.
    pub fn check(&self, log: &Logger, violation: Option<Violation>) {
        let Some(violation) = violation else { return };
        let Some(place) = Violation::ALL.iter().position(|one| *one == violation) else { return };
        let count = self.0[place].get() + 1;
        self.0[place].set(count);
        if count == 1 || count.is_multiple_of(100) {
            warn!(log, "violation"; "of" => violation.name(), "count" => count);
        }
    }

    pub fn total(&self) -> u64 {
        self.0.iter().map(Cell::get).sum()
    }
}
