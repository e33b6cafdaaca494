//! Decides whether something may be sent, closed or started now. Called right before it is done, by whoever does it: between a
//! decision and its first byte lie waits for a connection or a key's turn, and what was right may have gone wrong.
//!
//! Pure: what is known outside the balancer, and the time, are passed in. [`Violation`] names what must not happen all the same;
//! the engine counts each at run time. Whether an attempt may be sent is `Balancer::may_send` (`balancer/repeats.rs`).

use crate::types::{RequestId, ServerIndex};
use chalkwalk_time::{Span, Timestamp};

/// From when a client closed its connection to the first byte of an attempt for it, at the most.
const CLIENT_GONE_TOLERANCE: Span = Span::from_millis(100);
/// A client that had an answer a moment ago may be sending again, across the close: many round trips.
const MIN_IDLE_AFTER_USE: Span = Span::from_millis(50);

/// An attempt in the moment before its first byte.
#[derive(Clone, Copy, Debug)]
pub struct UnsentAttempt {
    /// Its request.
    pub request: RequestId,
    /// Its index among the attempts for that request.
    pub number: usize,
    /// The server that it is for.
    pub server: ServerIndex,
    /// The end of its time, or of the window in which a repeat is dropped, whichever is sooner.
    pub until: Timestamp,
    /// Whether the client has its final answer.
    pub answered: bool,
    /// Whether the client is still there, as far as can be read.
    pub client_connected: bool,
}

/// Why an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The server is draining or gone, as notified, or operators took it out. The grace is for what can't be helped, and how much
    /// of it is over is not known exactly, as the notification may have waited to be read.
    ServerUnavailable,
    /// Its time, or the window in which a repeat is dropped, is over.
    TooLate,
    /// The client has its final answer.
    Answered,
    /// The client has gone.
    ClientLeft,
    /// An earlier attempt may have run, and this one would not be dropped as its repeat.
    MayRunTwice,
}

/// What must not happen; each is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt was written later than the grace after the server was notified to be unavailable.
    SentAfterGrace,
    /// An attempt was written after the end of its time or window.
    SentTooLate,
    /// An attempt was written over 0.1 s after its client had gone.
    SentAfterClientLeft,
    /// A request that was read ended without a final answer.
    NoFinalAnswer,
    /// Discovery was called later than the term for changes allows.
    DiscoveryNotCalled,
}

impl Violation {
    /// All of them.
    pub const ALL: [Violation; 5] = [
        Violation::SentAfterGrace,
        Violation::SentTooLate,
        Violation::SentAfterClientLeft,
        Violation::NoFinalAnswer,
        Violation::DiscoveryNotCalled,
    ];

    /// Its name in logs.
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
    /// When.
    pub at: Timestamp,
    /// When it was last decided that it may be sent.
    pub allowed_at: Timestamp,
    /// The end of its time or window.
    pub until: Timestamp,
    /// Since when the server is unavailable, as notified by now.
    pub unavailable_since: Option<Timestamp>,
    /// For so long after the notification attempts are still tolerated.
    pub grace: Span,
    /// Whether the client is still there.
    pub client_connected: bool,
}

impl WrittenAttempt {
    /// What should not have happened by it.
    pub fn violation(&self) -> Option<Violation> {
        if self.unavailable_since.is_some_and(|since| self.at > since + self.grace) {
            Some(Violation::SentAfterGrace)
        } else if self.at > self.until {
            Some(Violation::SentTooLate)
        } else if !self.client_connected && self.at > self.allowed_at + CLIENT_GONE_TOLERANCE {
            Some(Violation::SentAfterClientLeft)
        } else {
            None
        }
    }
}

/// Whether a client's connection between two requests may be closed to make room for others. One that never carried a request
/// may, as whoever opened it sends again; on one that was just used the next request may be on its way.
pub fn may_close(used: bool, idle_for: Span) -> bool {
    !used || idle_for > MIN_IDLE_AFTER_USE
}

/// Whether a request that was read may be started: its time is not over, and would not end after the process's last answer.
/// Returns the end of its time.
pub fn may_start(now: Timestamp, expires: Timestamp, last_answer: Option<Timestamp>) -> Option<Timestamp> {
    let expires = expires.min(last_answer.unwrap_or(Timestamp::MAX));
    (expires > now).then_some(expires)
}
