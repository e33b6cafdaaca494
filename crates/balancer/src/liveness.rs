//! Decides whether a server with attempts in flight is silent: it has answered nothing for so long
//! that something is wrong. Protects against servers that hang, vanish or pause, and against
//! attempts that are accepted and never answered.
//!
//! Inputs: the start, the answer and the end of each attempt.

use crate::histogram::LatencyHistogram;
use crate::snapshot::stored;
use chalkwalk_time::{Span, Timestamp};

const SECOND: Span = Span::from_secs(1);

/// The time after which an answer is overdue: three times the latency that nine in ten answers stay
/// under, because a few heavy requests together delay others. Before any latency is known, nine in
/// ten answers are assumed to take at most a quarter of the shortest target time.
pub(crate) fn overdue_after(latencies: &LatencyHistogram, shortest_target: Option<Span>) -> Span {
    let shortest = shortest_target.unwrap_or(SECOND / 4);
    (3 * latencies.ninth_decile(shortest / 4)).max(SECOND / 20)
}

/// How long a server with attempts in flight may send nothing before it counts as silent: as long
/// as `overdue_after`, and 1.5 s at most.
pub(crate) fn silence_timeout(latencies: &LatencyHistogram, shortest_target: Option<Span>) -> Span {
    overdue_after(latencies, shortest_target).min(SECOND * 3 / 2)
}

/// The attempts in flight at a server, and when it last answered.
#[derive(Default)]
pub(crate) struct Liveness {
    in_flight: u64,
    /// The number of attempts in flight whose answers have begun.
    streaming: u64,
    /// The time of the last answer, or of the first attempt sent after nothing was in flight,
    /// whichever is later.
    waiting_since: Timestamp,
    /// The time of the last answer. Zero: the server has not answered yet.
    last_answer: Timestamp,
    /// The latest sending time among the attempts that were answered.
    latest_answered_sent_at: Timestamp,
    /// The current silence was already counted as a failure.
    silence_counted: bool,
}

stored! {
    Liveness {
        in_flight, streaming, waiting_since, last_answer, latest_answered_sent_at, silence_counted,
    }
}

impl Liveness {
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Records that an attempt is sent. Returns how many attempts are in flight, this one included.
    pub fn start_attempt(&mut self, now: Timestamp) -> u64 {
        if self.in_flight == 0 {
            self.waiting_since = now;
            self.silence_counted = false;
        }
        self.in_flight += 1;
        self.in_flight
    }

    /// Records that the answer to an attempt has begun. From then on, waiting for the rest of it
    /// does not count as the server's silence.
    pub fn start_response(&mut self, sent_at: Timestamp, now: Timestamp) {
        self.streaming += 1;
        self.record_answer(sent_at, now);
    }

    /// Records the end of an attempt. `streaming`: its answer had begun.
    pub fn end_attempt(&mut self, streaming: bool) {
        self.in_flight -= 1;
        self.streaming -= u64::from(streaming);
    }

    /// Records that the server answered an attempt sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Timestamp, now: Timestamp) {
        self.waiting_since = now;
        self.last_answer = now;
        self.silence_counted = false;
        self.latest_answered_sent_at = self.latest_answered_sent_at.max(sent_at);
    }

    /// Whether an answer is due and the server has sent nothing for longer than the timeout. The
    /// timeout is computed only if an answer is due.
    pub fn is_silent(&self, now: Timestamp, timeout: impl FnOnce() -> Span) -> bool {
        self.in_flight > self.streaming && now - self.waiting_since > timeout()
    }

    /// Whether the server has sent nothing since the attempt was sent at `sent_at`.
    pub fn is_silent_since(&self, sent_at: Timestamp) -> bool {
        self.waiting_since <= sent_at
    }

    /// Whether an attempt sent after `sent_at` has been answered.
    pub fn answered_one_sent_after(&self, sent_at: Timestamp) -> bool {
        self.latest_answered_sent_at > sent_at
    }

    /// Whether the server answered an attempt within the last `span`.
    pub fn answered_within(&self, now: Timestamp, span: Span) -> bool {
        !self.last_answer.is_zero() && now < self.last_answer + span
    }

    /// Whether the server has answered nothing for a fifth of a second.
    pub fn rarely_answers(&self, now: Timestamp) -> bool {
        now > self.last_answer + SECOND / 5
    }

    /// Counts the current silence as a failure. Returns whether it is counted for the first time:
    /// one silence is one failure, no matter how many attempts it delays, so that a server that
    /// only pauses is not treated like one that hangs.
    pub fn count_silence(&mut self) -> bool {
        !std::mem::replace(&mut self.silence_counted, true)
    }
}
