//! Decides whether an attempt may be sent, a client connection closed or a request started now. The
//! caller asks right before it acts: between the balancer's decision and the first byte, an attempt
//! may wait for a connection or for its key's turn, and the decision may be out of date by then.
//!
//! The checks are pure: the time, and what only the caller knows, are passed in. [`Violation`]
//! lists what must never happen; the engine counts each occurrence at run time.
//! `Balancer::may_send` (`balancer/repeats.rs`) decides whether an attempt may be sent.

use crate::types::{RequestId, ServerIndex};
use chalkwalk_time::{Span, Timestamp};

/// The longest allowed time from a client closing its connection to an attempt for it being
/// written.
const CLIENT_GONE_TOLERANCE: Span = Span::from_millis(100);
/// A client that was answered more recently than this may already be sending its next request,
/// which would cross the close on the wire. The value covers many round trips.
const MIN_IDLE_AFTER_USE: Span = Span::from_millis(50);

/// An attempt, right before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub struct UnsentAttempt {
    /// The request that the attempt is for.
    pub request_id: RequestId,
    /// The attempt's index among the attempts for that request.
    pub index: usize,
    /// The server that the attempt is for.
    pub server: ServerIndex,
    /// The time by which the attempt must be sent: when it times out, or when the deduplication
    /// window ends in which servers drop a repeat, whichever is earlier.
    pub deadline: Timestamp,
    /// Whether the client has its final answer.
    pub answered: bool,
    /// Whether the client is still connected, as far as its connection shows.
    pub client_connected: bool,
}

/// Why an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The server is draining or gone according to the endpoint list, or operators disabled it. The
    /// drain grace period does not apply here: it only covers attempts that can't be stopped any
    /// more, and how much of it has passed is not known exactly, because the notification may have
    /// arrived some time before it was read.
    ServerUnavailable,
    /// The attempt's deadline has passed (see [`UnsentAttempt::deadline`]).
    TooLate,
    /// The client has its final answer.
    Answered,
    /// The client has disconnected.
    ClientLeft,
    /// An earlier attempt may have run, and the server would not drop this one as a repeat.
    MayRunTwice,
}

/// An event that must never happen; each occurrence is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt was written to an unavailable server after its drain grace period, which starts
    /// with the notification.
    SentAfterGrace,
    /// An attempt was written after its deadline (see [`WrittenAttempt::deadline`]).
    SentTooLate,
    /// An attempt was written over 0.1 s after it was last allowed to be sent, and its client had
    /// disconnected by then.
    SentAfterClientLeft,
    /// A request that had been read ended without a final answer.
    NoFinalAnswer,
    /// Discovery was called later than the time limit for noticing changes allows.
    DiscoveryNotCalled,
}

impl Violation {
    /// All violations.
    pub const ALL: [Violation; 5] = [
        Violation::SentAfterGrace,
        Violation::SentTooLate,
        Violation::SentAfterClientLeft,
        Violation::NoFinalAnswer,
        Violation::DiscoveryNotCalled,
    ];

    /// The violation's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SentAfterGrace => "sent after the grace",
            Violation::SentTooLate => "sent too late",
            Violation::SentAfterClientLeft => "sent after the client left",
            Violation::NoFinalAnswer => "no final answer",
            Violation::DiscoveryNotCalled => "discovery not called",
        }
    }
}

/// An attempt whose last byte was just written.
#[derive(Clone, Copy, Debug)]
pub struct WrittenAttempt {
    /// When the last byte was written.
    pub written_at: Timestamp,
    /// When the attempt was last allowed to be sent.
    pub allowed_at: Timestamp,
    /// The same as [`UnsentAttempt::deadline`].
    pub deadline: Timestamp,
    /// When the server became unavailable, if a notification of that has arrived by now.
    pub unavailable_since: Option<Timestamp>,
    /// The drain grace period: attempts written within it after the notification are tolerated.
    pub drain_grace_period: Span,
    /// Whether the client is still connected.
    pub client_connected: bool,
}

impl WrittenAttempt {
    /// Which rule was violated by writing this attempt, if any.
    pub fn violation(&self) -> Option<Violation> {
        if self.unavailable_since.is_some_and(|since| self.written_at > since + self.drain_grace_period) {
            Some(Violation::SentAfterGrace)
        } else if self.written_at > self.deadline {
            Some(Violation::SentTooLate)
        } else if !self.client_connected && self.written_at > self.allowed_at + CLIENT_GONE_TOLERANCE {
            Some(Violation::SentAfterClientLeft)
        } else {
            None
        }
    }
}

/// Whether an idle client connection may be closed to make room for others. A connection that never
/// carried a request may be closed, as its client will connect again. On a connection that was used
/// a moment ago, the next request may be on its way.
pub fn may_close_idle_client(used: bool, idle_for: Span) -> bool {
    !used || idle_for > MIN_IDLE_AFTER_USE
}

/// Whether a request that was read may be started: the time by which it must be answered has not
/// passed. That time is `expires`, or `response_deadline` if that is earlier: the time by which a
/// process that shuts down must have sent all responses. Returns that time if the request may be
/// started.
pub fn may_start_request(
    now: Timestamp,
    expires: Timestamp,
    response_deadline: Option<Timestamp>,
) -> Option<Timestamp> {
    let expires = expires.min(response_deadline.unwrap_or(Timestamp::MAX));
    (expires > now).then_some(expires)
}
