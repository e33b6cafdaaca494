//! Decides whether a server that has attempts in flight is silent: it has answered nothing for so long that something is wrong.
//! Guards against servers that hang, vanish or pause, and against attempts that are accepted and never answered.
//!
//! Inputs: the start, the answer and the end of each attempt.

use crate::histogram::LatencyHistogram;
use crate::snapshot::stored;
use chalkwalk_time::{Span, Timestamp};

const SECOND: Span = Span::from_secs(1);

/// What an answer seldom takes: three times what nine in ten stay under, as a few heavy requests together hold up more. Before
/// there are any, nine in ten are taken to need a quarter of the shortest target time.
pub(crate) fn overdue_after(latencies: &LatencyHistogram, shortest_target: Option<Span>) -> Span {
    let shortest = shortest_target.unwrap_or(SECOND / 4);
    (3 * latencies.ninth_decile(shortest / 4)).max(SECOND / 20)
}

/// How long a server with attempts in flight may send nothing: as long, and 1.5 s at most.
pub(crate) fn silence_timeout(latencies: &LatencyHistogram, shortest_target: Option<Span>) -> Span {
    overdue_after(latencies, shortest_target).min(SECOND * 3 / 2)
}

/// The attempts in flight at a server, and when it last answered.
#[derive(Default)]
pub(crate) struct Liveness {
    in_flight: u64,
    /// Of these, whose answers have begun.
    streaming: u64,
    /// Its last answer, or the first attempt since nothing was in flight.
    waiting_since: Timestamp,
    last_answer: Timestamp,
    /// When the attempt was sent that was answered and had been sent last.
    latest_answered_sent_at: Timestamp,
    /// The present silence was counted as a failure.
    silence_counted: bool,
}

stored! { Liveness { in_flight, streaming, waiting_since, last_answer, latest_answered_sent_at, silence_counted } }

impl Liveness {
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// An attempt is sent. Returns how many are in flight with it.
    pub fn start_attempt(&mut self, now: Timestamp) -> u64 {
        if self.in_flight == 0 {
            self.waiting_since = now;
            self.silence_counted = false;
        }
        self.in_flight += 1;
        self.in_flight
    }

    /// The answer to an attempt has begun: the server owes nothing for it any more.
    pub fn start_response(&mut self, sent_at: Timestamp, now: Timestamp) {
        self.streaming += 1;
        self.record_answer(sent_at, now);
    }

    /// An attempt has ended, whose answer may have begun.
    pub fn end_attempt(&mut self, streaming: bool) {
        self.in_flight -= 1;
        self.streaming -= u64::from(streaming);
    }

    /// The server has answered an attempt.
    pub fn record_answer(&mut self, sent_at: Timestamp, now: Timestamp) {
        self.waiting_since = now;
        self.last_answer = now;
        self.silence_counted = false;
        self.latest_answered_sent_at = self.latest_answered_sent_at.max(sent_at);
    }

    /// Whether it owes an answer, and has sent nothing for longer than the timeout, which is computed only then.
    pub fn is_silent(&self, now: Timestamp, timeout: impl FnOnce() -> Span) -> bool {
        self.in_flight > self.streaming && now - self.waiting_since > timeout()
    }

    /// Whether nothing has come since an attempt was sent.
    pub fn is_silent_since(&self, sent_at: Timestamp) -> bool {
        self.waiting_since <= sent_at
    }

    /// Whether an attempt that was sent later has been answered.
    pub fn answered_one_sent_after(&self, sent_at: Timestamp) -> bool {
        self.latest_answered_sent_at > sent_at
    }

    /// Whether others were answered just now.
    pub fn answered_within(&self, now: Timestamp, span: Span) -> bool {
        !self.last_answer.is_zero() && now < self.last_answer + span
    }

    /// Whether it has answered nothing for a fifth of a second.
    pub fn rarely_answers(&self, now: Timestamp) -> bool {
        now > self.last_answer + SECOND / 5
    }

    /// Counts the present silence as a failure; whether it is the first time. One silence is one failure, however many attempts
    /// it holds up: a pause is no hang.
    pub fn count_silence(&mut self) -> bool {
        !std::mem::replace(&mut self.silence_counted, true)
    }
}
