//! Decides which server is ejected for its failures, for how long, and when it is readmitted.
//!
//! Inputs: how each attempt ended, and the results of health checks. A server is ejected if over
//! one in four attempts fails: after three failures in a row, or after one if nothing listens on
//! its port. A server that fails fast has few attempts in flight, so it would otherwise keep its
//! keys.

use crate::snapshot::stored;
use crate::types::AttemptOutcome;
use chalkwalk_time::Span;

const SECOND: Span = Span::from_secs(1);
/// Added to the score for a failure; an answer subtracts one.
const FAILURE_PENALTY: u64 = 3;
/// Added to the score for a broken connection if the server answered other attempts a moment ago:
/// the fault is then in the connection and not in the server.
const BROKEN_CONNECTION_PENALTY: u64 = 2;
/// A server with this score or more is ejected.
const EJECTION_THRESHOLD: u64 = 9;
/// A server with this score or more gets one attempt at a time; an ejected server below it is
/// readmitted.
const SUSPECT_THRESHOLD: u64 = 6;
/// The score of a server that was readmitted by a health check: it gets one attempt at a time until
/// it has answered two.
const READMISSION_SCORE: u64 = 7;
/// The highest score: seven answers are enough to recover from it.
const MAX_SCORE: u64 = 12;

/// A score of how often a server has failed recently.
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

    /// Whether the server may get one more attempt in addition to those in flight.
    pub fn allows_attempt(&self, in_flight: u64) -> bool {
        !self.ejected && (self.score < SUSPECT_THRESHOLD || in_flight == 0)
    }

    /// Counts an outcome. Returns whether the server is to be ejected for it. `answered_recently`:
    /// the server answered other attempts a moment ago.
    pub fn record(&mut self, outcome: AttemptOutcome, answered_recently: bool) -> bool {
        self.score = match outcome {
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost if answered_recently => {
                self.score + BROKEN_CONNECTION_PENALTY
            }
            AttemptOutcome::Completed
            | AttemptOutcome::CompletedFromCache
            | AttemptOutcome::CompletedByFetch
            | AttemptOutcome::CacheMiss => self.score.saturating_sub(1),
            // An invalid request does not count: every server would reject it, and it would have
            // each of them ejected.
            AttemptOutcome::Overloaded
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NotSent
            | AttemptOutcome::InvalidRequest => self.score,
            AttemptOutcome::Unreachable => self.score + EJECTION_THRESHOLD,
            AttemptOutcome::ServerError | AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost => {
                self.score + FAILURE_PENALTY
            }
        };
        // If all servers are ejected, they still get attempts: a server that answers enough of them
        // is readmitted.
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

    /// Clears the score for a new process of the server: failures of the old one no longer count.
    pub fn reset(&mut self) {
        *self = FailureScore::default();
    }
}

/// How long a server is ejected, and the timers and health checks that will end the ejection.
#[derive(Default)]
pub(crate) struct Ejection {
    /// The timers and health checks of the server that have not returned yet.
    pending_checks: u32,
    /// The length of the last ejection; the next one is twice as long.
    backoff: Span,
}

stored! { Ejection { pending_checks, backoff } }

impl Ejection {
    /// Begins an ejection and returns its length: half a second at first, doubled each time up to
    /// eight seconds, so that both short and long failures cost little.
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

    /// Shortens the next ejection unless the server is ejected; called once a second.
    pub fn decay(&mut self, ejected: bool) {
        self.backoff -= if ejected { Span::ZERO } else { self.backoff / 8 };
    }

    pub fn reset(&mut self) {
        self.backoff = Span::ZERO;
    }
}
