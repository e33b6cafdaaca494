//! The types that a balancer is called with. Nothing here decides.

use chalkwalk_time::Timestamp;

/// A server or the origin: a small index, given out by the caller.
pub type ServerIndex = usize;

/// A request that this balancer has accepted. Never reused within its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered with success.
    Completed,
    /// Completed, and the server says that it held the value.
    CompletedFromCache,
    /// Completed, and the server says that it fetched the value from the origin.
    CompletedByFetch,
    /// Answered that the server does not hold the value.
    CacheMiss,
    /// Rejected as wrong in itself, whichever server it is sent to.
    InvalidRequest,
    /// Answered with an error of the server.
    ServerError,
    /// Rejected for lack of capacity; it has not run.
    Overloaded,
    /// No answer by the end of its time.
    TimedOut,
    /// No connection: its last byte was never written.
    Unreachable,
    /// The connection broke after its last byte was written.
    ConnectionLost,
    /// Withdrawn by the balancer.
    Cancelled,
    /// Withheld before its first byte.
    NotSent,
}

impl AttemptOutcome {
    /// Without what a server says of where the value came from.
    pub(crate) fn without_source(self) -> AttemptOutcome {
        match self {
            AttemptOutcome::CompletedFromCache | AttemptOutcome::CompletedByFetch => {
                AttemptOutcome::Completed
            }
            other => other,
        }
    }

    /// Whether a server with capacity has answered it by the rules: with a value, or that it holds none.
    pub(crate) fn is_success_or_miss(self) -> bool {
        matches!(self, AttemptOutcome::Completed | AttemptOutcome::CacheMiss)
    }

    /// Whether its latency shows how the server does: an answer, or none in time.
    pub(crate) fn shows_latency(self) -> bool {
        matches!(self, AttemptOutcome::Completed | AttemptOutcome::CacheMiss | AttemptOutcome::TimedOut)
    }

    /// Whether the server has answered at all.
    pub(crate) fn is_answer(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Completed
                | AttemptOutcome::CacheMiss
                | AttemptOutcome::ServerError
                | AttemptOutcome::Overloaded
                | AttemptOutcome::InvalidRequest
        )
    }

    /// Whether the attempt may have taken effect at the server.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::Overloaded
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
                | AttemptOutcome::CacheMiss
        )
    }

    /// Whether the server may still be working on it.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(self, AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled)
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// In service.
    Ready,
    /// Gets no new attempts, and finishes those that it has.
    Draining,
    /// Not in the list any more.
    #[default]
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    /// The index that the caller gave to the server.
    pub server: ServerIndex,
    /// Its name, from which its points on the ring are computed.
    pub id: &'a str,
    /// Its availability zone.
    pub zone: usize,
    /// Its kind: the origin has one of its own.
    pub kind: usize,
    /// Its cell: servers of one cell drop repeats of the same request.
    pub cell: u64,
    /// Stated, in hundredths; to be compared with those of others.
    pub size: u64,
    /// Whether it is in service.
    pub status: EndpointStatus,
    /// When its process started.
    pub born: Timestamp,
}

/// What one process of a proxy has learned of a server that means the same to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedServer {
    /// Its id in the list.
    pub id: String,
    /// When its process started: of another start these figures mean nothing.
    pub born: Timestamp,
    /// The largest weight listed, in hundredths, where weights move with load.
    pub size: u64,
    /// Thousandths of its keys that it keeps.
    pub key_share: u64,
    /// How many attempts it takes at once, in hundredths of an attempt.
    pub concurrency_limit: u64,
}
