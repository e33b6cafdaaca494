//! An open request and its attempts. Nothing here decides.

use crate::request_class::ClassHandle;
use crate::snapshot::stored;
use crate::types::ServerIndex;
use chalkwalk_time::Timestamp;

/// One attempt at one server.
#[derive(Default)]
pub(crate) struct Attempt {
    pub server: ServerIndex,
    pub sent_at: Timestamp,
    /// How many attempts of this proxy were in flight at the server, with this one.
    pub in_flight: u64,
    /// It has no outcome yet.
    pub pending: bool,
    pub may_have_run: bool,
    /// Its server is not tried again for the request.
    pub failed: bool,
    /// Its answer is on its way to the client.
    pub streaming: bool,
    /// No connection to the server was held.
    pub opens_connection: bool,
    /// The server will likely fetch from the origin for it.
    pub likely_fetch: bool,
}

stored! {
    Attempt { server, sent_at, in_flight, pending, may_have_run, failed, streaming, opens_connection, likely_fetch }
}

/// A request from its acceptance until its final answer and the end of its attempts.
#[derive(Default)]
pub(crate) struct Request {
    pub class: ClassHandle,
    /// Its key's point on the ring.
    pub key: u64,
    pub write: bool,
    /// The servers that may serve it, in order, where the ring does not decide.
    pub allowed_servers: Option<Vec<ServerIndex>>,
    /// By when it must be answered.
    pub expires: Timestamp,
    /// Until when an answer is of use.
    pub useful_until: Timestamp,
    /// 0 to 99, drawn once: who gets a part of what is less than one attempt, and who is shed first.
    pub draw: u64,
    pub attempts: Vec<Attempt>,
    /// Its time limit was shortened while it was open.
    pub time_limit_shortened: bool,
    /// It has its final answer.
    pub answered: bool,
    /// An answer has begun.
    pub streaming: bool,
    /// It waits for its turn by key, or for a fetch.
    pub waiting: bool,
    /// Its attempt at the origin is the fetch that others wait for.
    pub leads_fetch: bool,
}

impl Request {
    /// The indices of its attempts that have no outcome yet.
    pub fn pending_attempts(&self) -> impl Iterator<Item = usize> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.pending).map(|(i, _)| i)
    }

    pub fn is_pending(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.pending)
    }
}
