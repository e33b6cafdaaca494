//! Decides which server is ejected for its failures, for how long, and when it is readmitted.
//!
//! Inputs: how each attempt ended, and the results of health checks. A server is ejected where over one in four attempts fails:
//! after three failures in a row, or one if nothing listens, as a server that fails fast holds little and would keep its keys.

use crate::snapshot::stored;
use crate::types::AttemptOutcome;
use chalkwalk_time::Span;

const SECOND: Span = Span::from_secs(1);
/// Up for a failure; down by one for an answer.
const FAILURE_PENALTY: u64 = 3;
/// Up for a broken connection of a server that answered others just now: it was the connection, and not the server.
const BROKEN_CONNECTION_PENALTY: u64 = 2;
/// A server is ejected from here on.
const EJECTION_THRESHOLD: u64 = 9;
/// One attempt at a time from here on; an ejected server is readmitted below.
const SUSPECT_THRESHOLD: u64 = 6;
/// The score of a server that was readmitted by a health check: one attempt at a time until two were answered.
const READMISSION_SCORE: u64 = 7;
/// Seven answers make up for the worst score.
const MAX_SCORE: u64 = 12;

/// How often a server has failed of late.
#[derive(Default)]
pub(crate) struct FailureScore {
    score: u64,
    ejected: bool,
}

stored! { FailureScore { score, ejected } }

impl FailureScore {
    pub fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// Whether it may get an attempt beside those in flight.
    pub fn allows_attempt(&self, in_flight: u64) -> bool {
        !self.ejected && (self.score < SUSPECT_THRESHOLD || in_flight == 0)
    }

    /// Counts an outcome; whether the server is to be ejected for it. `answered_lately`: it has answered others just now.
    pub fn record(&mut self, outcome: AttemptOutcome, answered_recently: bool) -> bool {
        self.score = match outcome {
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost if answered_recently => {
                self.score + BROKEN_CONNECTION_PENALTY
            }
            AttemptOutcome::Completed
            | AttemptOutcome::CompletedFromCache
            | AttemptOutcome::CompletedByFetch
            | AttemptOutcome::CacheMiss => self.score.saturating_sub(1),
            // Guards against a request that no server can use and that would have each of them ejected.
            AttemptOutcome::Overloaded
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::InvalidRequest => self.score,
            AttemptOutcome::Unreachable => self.score + EJECTION_THRESHOLD,
            AttemptOutcome::ServerError | AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost => {
                self.score + FAILURE_PENALTY
            }
        };
        // Ejected and in use all the same, as none was trusted, it is readmitted for its answers.
        self.score = self.score.min(MAX_SCORE);
        self.ejected &= self.score >= SUSPECT_THRESHOLD;
        self.score >= EJECTION_THRESHOLD && !self.ejected
    }

    pub fn eject(&mut self) {
        self.ejected = true;
    }

    pub fn readmit(&mut self) {
        self.ejected = false;
        self.score = READMISSION_SCORE;
    }

    /// A new process: what was held against the old one is void.
    pub fn reset(&mut self) {
        *self = FailureScore::default();
    }
}

/// How long a server is ejected, and what will end it.
#[derive(Default)]
pub(crate) struct Ejection {
    /// Timers and health checks of it that are still to come back.
    pending_checks: u32,
    /// How long the last ejection was, and the next is twice.
    backoff: Span,
}

stored! { Ejection { pending_checks, backoff } }

impl Ejection {
    /// One more ejection begins. Returns its length: from half a second, doubled each time up to eight, so that short failures
    /// cost little, and long ones too.
    pub fn begin(&mut self) -> Span {
        self.backoff = (self.backoff * 2).clamp(SECOND / 2, 8 * SECOND);
        self.pending_checks += 1;
        self.backoff
    }

    pub fn end_check(&mut self) {
        self.pending_checks = self.pending_checks.saturating_sub(1);
    }

    pub fn has_pending_checks(&self) -> bool {
        self.pending_checks > 0
    }

    /// A second has passed.
    pub fn decay(&mut self, ejected: bool) {
        self.backoff -= if ejected { Span::ZERO } else { self.backoff / 8 };
    }

    pub fn reset(&mut self) {
        self.backoff = Span::ZERO;
    }
}
