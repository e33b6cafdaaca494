//! An open request and its attempts. This module makes no decisions.

use crate::request_class::ClassHandle;
use crate::snapshot::stored;
use crate::types::ServerIndex;
use chalkwalk_time::Timestamp;

/// One attempt at one server.
#[derive(Default)]
pub(crate) struct Attempt {
    pub server: ServerIndex,
    pub sent_at: Timestamp,
    /// How many attempts of this proxy were in flight at the server, this one included.
    pub in_flight: u64,
    /// The attempt has no outcome yet.
    pub pending: bool,
    pub may_have_run: bool,
    /// The server is not tried again for the request.
    pub failed: bool,
    /// The answer is being passed on to the client.
    pub streaming: bool,
    /// No connection to the server was open, so the attempt opens one.
    pub opens_connection: bool,
    /// The server will likely fetch from the origin for this attempt.
    pub likely_fetch: bool,
}

stored! {
    Attempt {
        server, sent_at, in_flight, pending, may_have_run, failed, streaming, opens_connection,
        likely_fetch,
    }
}

/// A request from its acceptance until its final answer and the end of its attempts.
#[derive(Default)]
pub(crate) struct Request {
    pub class: ClassHandle,
    /// The point of the request's key on the ring.
    pub key: u64,
    pub write: bool,
    /// The servers that may serve the request, in order, if the ring does not decide.
    pub allowed_servers: Option<Vec<ServerIndex>>,
    /// The time by which the request must be answered.
    pub expires: Timestamp,
    /// The time until which an answer is useful.
    pub useful_until: Timestamp,
    /// A random number from 0 to 99, drawn once: it selects the requests that use a fractional part
    /// of a limit, and those that are shed first.
    pub draw: u64,
    pub attempts: Vec<Attempt>,
    /// The time limit was shortened while the request was open.
    pub time_limit_shortened: bool,
    /// The request has its final answer.
    pub answered: bool,
    /// An answer has begun.
    pub streaming: bool,
    /// The request waits for its key's turn or for a fetch.
    pub waiting: bool,
    /// The request's attempt at the origin is the fetch that other requests wait for.
    pub leads_fetch: bool,
}

impl Request {
    /// The indices of the attempts that have no outcome yet.
    pub fn pending_attempts(&self) -> impl Iterator<Item = usize> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.pending).map(|(i, _)| i)
    }

    pub fn is_pending(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.pending)
    }
}
