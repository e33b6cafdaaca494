//! Decides how many attempts a server takes at once, by additive increase and multiplicative decrease.
//!
//! Inputs: how each attempt ended, how long it took and how many were in flight with it. Late is what took over half its
//! target time, or 3/4 of the shortest: queues stay short enough for the most urgent, which the patient would crowd out; at the
//! origin, over 3/4 of its own. A sixth of an attempt up and an eighth of the limit down hold eight attempts where one in seven
//! is late, and one where half are.

use crate::snapshot::stored;
use crate::types::AttemptOutcome;
use chalkwalk_time::Span;

/// Hundredths of an attempt: limits are kept in these.
const ONE_ATTEMPT: u64 = 100;
/// Before anything is known of a server.
const INITIAL_LIMIT: u64 = 8 * ONE_ATTEMPT;
const MIN_LIMIT: u64 = ONE_ATTEMPT / 10;
const MAX_LIMIT: u64 = 100 * ONE_ATTEMPT;
/// Added by an answer in time, where half of the limit was in use.
const INCREASE_STEP: u64 = 16;
/// So many rejections in a row lower the limit of a server below one attempt. Where half of all attempts are rejected, whatever
/// the load, one run in sixteen is of four, and a server that is truly full answers nothing in between.
const REJECTION_THRESHOLD: u64 = 4;

/// How many attempts a server, or the origin, takes at once.
#[derive(Default)]
pub(crate) struct ConcurrencyLimit {
    /// Rejected as overloaded, since an answer.
    consecutive_rejections: u64,
    /// It had answered nothing for a fifth of a second before its last outcome.
    rarely_answers: bool,
    /// Hundredths of an attempt.
    limit: u64,
}

stored! { ConcurrencyLimit { consecutive_rejections, rarely_answers, limit } }

/// What an attempt shows of the limit of its server.
pub(crate) struct Sample {
    pub outcome: AttemptOutcome,
    pub took: Span,
    /// In flight at the server when it was sent, with it.
    pub in_flight: u64,
    pub target: Span,
    pub shortest_target: Span,
    /// It was at a server, and not at the origin.
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

    /// Takes over what another process has learned, within what could have been learned.
    pub fn restore(&mut self, limit: u64) {
        self.limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Whether one more attempt is within the limit. `draw`, 0 to 99, gives a part of an attempt to a part of the requests.
    pub fn admits(&self, in_flight: u64, draw: u64) -> bool {
        in_flight * ONE_ATTEMPT + draw < self.limit
    }

    /// The same for 3/2 of the limit.
    pub fn admits_relaxed(&self, in_flight: u64, draw: u64) -> bool {
        in_flight * ONE_ATTEMPT + draw < self.limit * 3 / 2
    }

    /// Whether the server has answered seldom of late.
    pub fn set_rarely_answers(&mut self, rarely_answers: bool) {
        self.rarely_answers = rarely_answers;
    }

    /// An attempt ended.
    pub fn adjust(&mut self, sample: &Sample) {
        let late = sample.is_late();
        match sample.outcome {
            AttemptOutcome::Completed if !late && sample.in_flight * 2 * ONE_ATTEMPT > self.limit => {
                self.limit += INCREASE_STEP;
            }
            AttemptOutcome::Completed | AttemptOutcome::TimedOut if late => {
                // What was in flight is too much at a server that seldom answers: one of many proxies has few answers of it.
                let bound = if self.rarely_answers { sample.in_flight * ONE_ATTEMPT } else { self.limit };
                self.limit = (self.limit * 7 / 8).min(bound);
            }
            // One at a time is no load: guards servers that reject a part of whatever comes.
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
