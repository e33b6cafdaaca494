//! Whether something may be sent, repeated, closed or started now. Asked right before it is done, by whoever does it: between a
//! decision and its first byte lie waits for a place, a connection or a key's turn, and what was right may have gone wrong.
//!
//! Pure: what is known outside the balancer, and the time, are passed in. [`Violation`] names what must not happen all the same;
//! the core counts each at run time.

use crate::balancer::Balancer;
use crate::plain::{Request, RequestId, ServerIndex};
use chalkwalk_time::{Span, Timestamp};

/// From when a client closed its connection to the first byte of an attempt for it, at the most.
const CLIENT_GONE: Span = Span::from_millis(100);
/// A client that had an answer a moment ago may be asking again, across the close: many round trips.
const JUST_USED: Span = Span::from_millis(50);

/// An attempt in the moment before its first byte.
#[derive(Clone, Copy, Debug)]
pub struct UnsentAttempt {
    pub request: RequestId,
    /// Its place among the attempts for that request.
    pub number: usize,
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
    /// of it is over is not known to the moment, as the notice may have waited to be read.
    ServerUnavailable,
    TooLate,
    Answered,
    ClientLeft,
    /// An earlier attempt may have run, and this one would not be dropped as its repeat.
    MayRunTwice,
}

/// What must not happen; each is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt was written later than the grace after the server was notified to be off.
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
    pub at: Timestamp,
    /// When it was last asked whether it may be sent.
    pub allowed_at: Timestamp,
    pub until: Timestamp,
    /// Since when the server is off, as notified by now.
    pub unavailable_since: Option<Timestamp>,
    pub grace: Span,
    /// Whether the client is still there.
    pub client_connected: bool,
}

impl WrittenAttempt {
    /// What must not have happened by it.
    pub fn violation(&self) -> Option<Violation> {
        if self.unavailable_since.is_some_and(|since| self.at > since + self.grace) {
            Some(Violation::SentAfterGrace)
        } else if self.at > self.until {
            Some(Violation::SentTooLate)
        } else if !self.client_connected && self.at > self.allowed_at + CLIENT_GONE {
            Some(Violation::SentAfterClientLeft)
        } else {
            None
        }
    }
}

impl Balancer {
    /// Whether an attempt may be sent now.
    pub fn may_send(&self, attempt: &UnsentAttempt, now: Timestamp) -> Result<(), SendRefusal> {
        if !self.is_available(attempt.server) {
            return Err(SendRefusal::ServerUnavailable);
        }
        if now >= attempt.until {
            return Err(SendRefusal::TooLate);
        }
        let request = self.requests.get(&attempt.request.0).filter(|l| !l.over && !attempt.answered);
        let Some(request) = request else { return Err(SendRefusal::Answered) };
        if !attempt.client_connected {
            return Err(SendRefusal::ClientLeft);
        }
        match self.may_repeat(request, Some(attempt.server), now, Some(attempt.number)) {
            true => Ok(()),
            false => Err(SendRefusal::MayRunTwice),
        }
    }

    /// Whether a server, or the origin, is in service as notified, and not out by an operator's word.
    pub fn is_available(&self, server: ServerIndex) -> bool {
        let ready = self.servers.get(server).is_some_and(|c| c.status == crate::plain::EndpointStatus::Ready);
        ready && !self.is_disabled(server)
    }

    /// Whether a repeat of the request, at that server or (for `None`) anywhere, does no harm until `then`. The attempt itself, where
    /// there is one already, is not its own repeat.
    pub(crate) fn may_repeat(
        &self,
        request: &Request,
        server: Option<ServerIndex>,
        then: Timestamp,
        itself: Option<usize>,
    ) -> bool {
        let rules = &request.rules;
        let earlier =
            request.attempts.iter().enumerate().filter(|(i, s)| s.may_have_run && Some(*i) != itself);
        earlier.map(|(_, attempt)| attempt).all(|attempt| {
            let (ran, next) = (&self.servers[attempt.server], server.map(|server| &self.servers[server]));
            let drops_it = match rules.group.as_str() {
                "all" => true,
                group => next.is_some_and(|n| n.zone == ran.zone && (group == "zone" || n.cell == ran.cell)),
            };
            rules.repeats == "replayable"
                || (rules.repeats == "tagged" && drops_it && then < attempt.sent + rules.window)
        })
    }
}

/// Whether a client's connection between two requests may be closed for others' sake. One that never carried a request may, as
/// whoever opened it sends again; on one that was just used the next request may be on its way.
pub fn may_close(used: bool, idle_for: Span) -> bool {
    !used || idle_for > JUST_USED
}

/// Whether a request that was read may be started: its time is not over, and would not end after the process's last answer.
/// Returns the end of its time.
pub fn may_start(now: Timestamp, expires: Timestamp, last_answer: Option<Timestamp>) -> Option<Timestamp> {
    let expires = expires.min(last_answer.unwrap_or(Timestamp::MAX));
    (expires > now).then_some(expires)
}
