//! Limits how many attempts a server gets at once, by additive increase and multiplicative
//! decrease.
//!
//! Inputs: how each attempt ended, how long it took, and how many were in flight with it. An answer
//! of a server is late if it took over half of the request's target time or over 3/4 of the
//! shortest target time of all classes, whichever is less: queues then stay short enough for the
//! most urgent class, which requests of the other classes would otherwise crowd out. An answer of
//! the origin is late if it took over 3/4 of the request's own target time. With an increase by a
//! sixth of an attempt and a decrease by an eighth of the limit, the limit stays at eight attempts
//! if one answer in seven is late, and at one attempt if half are.

use crate::snapshot::stored;
use crate::types::AttemptOutcome;
use chalkwalk_time::Span;

/// One attempt in the unit of limits, which is a hundredth of an attempt.
const ONE_ATTEMPT: u64 = 100;
/// The limit before anything is known about a server.
const INITIAL_LIMIT: u64 = 8 * ONE_ATTEMPT;
const MIN_LIMIT: u64 = ONE_ATTEMPT / 10;
const MAX_LIMIT: u64 = 100 * ONE_ATTEMPT;
/// Added by an answer in time if over half of the limit was in use. In hundredths of an attempt.
const INCREASE_STEP: u64 = 16;
/// After this many rejections in a row, further ones may lower the limit of a server below one
/// attempt. A server that rejects half of its attempts at any load rejects four in a row in one of
/// sixteen cases; a server that is full answers none in between.
const REJECTION_THRESHOLD: u64 = 4;

/// The concurrency limit of a server or of the origin.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    /// The number of attempts rejected as overloaded since the last success or miss.
    consecutive_rejections: u64,
    /// The server had answered nothing for a fifth of a second before its last outcome.
    rarely_answers: bool,
    /// In hundredths of an attempt.
    limit: u64,
}

stored! { ConcurrencyLimit { consecutive_rejections, rarely_answers, limit } }

/// What an attempt shows about the limit of its server.
pub(crate) struct Sample {
    pub outcome: AttemptOutcome,
    pub took: Span,
    /// The attempts in flight at the server when this one was sent, this one included.
    pub in_flight: u64,
    pub target: Span,
    pub shortest_target: Span,
    /// The attempt went to a server, and not to the origin.
    pub from_server: bool,
}

impl Sample {
    fn is_late(&self) -> bool {
        let bound = match self.from_server {
            true => (self.target / 2).min(self.shortest_target * 3 / 4),
            false => self.target * 3 / 4,
        };
        self.took > bound
    }
}

impl ConcurrencyLimit {
    pub fn initial() -> ConcurrencyLimit {
        ConcurrencyLimit { limit: INITIAL_LIMIT, ..ConcurrencyLimit::default() }
    }

    /// In hundredths of an attempt.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    pub fn is_initial(&self) -> bool {
        self.limit == INITIAL_LIMIT
    }

    /// Sets a limit that another process learned, clamped to the valid range.
    pub fn restore(&mut self, limit: u64) {
        self.limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Whether one more attempt is within the limit. `draw` is the request's random draw, 0 to 99:
    /// the fractional part of the limit admits that fraction of the requests.
    pub fn admits(&self, in_flight: u64, draw: u64) -> bool {
        in_flight * ONE_ATTEMPT + draw < self.limit
    }

    /// Whether one more attempt is within 3/2 of the limit.
    pub fn admits_relaxed(&self, in_flight: u64, draw: u64) -> bool {
        in_flight * ONE_ATTEMPT + draw < self.limit * 3 / 2
    }

    /// Sets whether the server has answered rarely in the recent past.
    pub fn set_rarely_answers(&mut self, rarely_answers: bool) {
        self.rarely_answers = rarely_answers;
    }

    /// Adjusts the limit by the outcome of an attempt.
    pub fn adjust(&mut self, sample: &Sample) {
        let late = sample.is_late();
        match sample.outcome {
            AttemptOutcome::Completed if !late && sample.in_flight * 2 * ONE_ATTEMPT > self.limit => {
                self.limit += INCREASE_STEP;
            }
            AttemptOutcome::Completed | AttemptOutcome::TimedOut if late => {
                // One of many proxies sees few answers of a server. If the server rarely answers,
                // the attempts in flight with this one were already too many, so the limit drops to
                // their number at most.
                let bound = if self.rarely_answers { sample.in_flight * ONE_ATTEMPT } else { self.limit };
                self.limit = (self.limit * 7 / 8).min(bound);
            }
            // One attempt at a time is hardly a load, so the first rejections do not lower the
            // limit below it. Protects servers that reject a part of their attempts at any load.
            AttemptOutcome::Overloaded
                if sample.from_server && self.consecutive_rejections < REJECTION_THRESHOLD =>
            {
                self.limit -= (self.limit / 4).min(self.limit.saturating_sub(ONE_ATTEMPT));
            }
            AttemptOutcome::Overloaded => self.limit -= self.limit / 4,
            _ => {}
        }
        self.consecutive_rejections = match sample.outcome {
            AttemptOutcome::Overloaded => self.consecutive_rejections + 1,
            outcome if outcome.is_success_or_miss() => 0,
            _ => self.consecutive_rejections,
        };
        self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }
}
