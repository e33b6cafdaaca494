//! The types of the balancer's interface. This module makes no decisions.

use chalkwalk_time::Timestamp;

/// The index of a server or of the origin. The caller assigns it, and keeps it small.
pub type ServerIndex = usize;

/// Identifies a request that this balancer accepted. An id is never reused while the balancer
/// exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered with success.
    Completed,
    /// Answered with success, and the server says that it held the value.
    CompletedFromCache,
    /// Answered with success, and the server says that it fetched the value from the origin.
    CompletedByFetch,
    /// Answered that the server does not hold the value.
    CacheMiss,
    /// Rejected as invalid: any other server would reject it too.
    InvalidRequest,
    /// Answered with an error of the server.
    ServerError,
    /// Rejected for lack of capacity; it has not run.
    Overloaded,
    /// Not answered by the attempt's deadline.
    TimedOut,
    /// No connection, or one that broke before the attempt's last byte was written.
    Unreachable,
    /// The connection broke after the attempt's last byte was written.
    ConnectionLost,
    /// Cancelled by the balancer.
    Cancelled,
    /// Withheld before its first byte was written.
    NotSent,
}

impl AttemptOutcome {
    /// The outcome without the server's statement of where the value came from.
    pub(crate) fn without_source(self) -> AttemptOutcome {
        match self {
            AttemptOutcome::CompletedFromCache | AttemptOutcome::CompletedByFetch => {
                AttemptOutcome::Completed
            }
            other => other,
        }
    }

    /// Whether the attempt got a regular answer: success, or that the server does not hold the
    /// value.
    pub(crate) fn is_success_or_miss(self) -> bool {
        matches!(self, AttemptOutcome::Completed | AttemptOutcome::CacheMiss)
    }

    /// Whether the latency of the attempt shows how the server performs: the attempt was answered,
    /// or it timed out.
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

    /// Whether the server may still be working on the attempt.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(self, AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled)
    }
}

/// A server's status in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// In service.
    Ready,
    /// Gets no new attempts, and finishes those in flight.
    Draining,
    /// No longer in the endpoint list.
    #[default]
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    /// The index that the caller gave to the server.
    pub server: ServerIndex,
    /// The server's id, from which its points on the ring are computed.
    pub id: &'a str,
    /// The server's availability zone.
    pub zone: usize,
    /// The server's kind. The origin has a kind of its own.
    pub kind: usize,
    /// The server's cell. Servers of one cell in one zone share the record of the request tags that
    /// they have seen, so that each drops a repeat of a request that another one got.
    pub cell: u64,
    /// The server's weight in the list, in hundredths. Only its ratio to the weights of other
    /// servers has a meaning.
    pub weight_hundredths: u64,
    /// Whether the server is in service.
    pub status: EndpointStatus,
    /// When the server's process started.
    pub started_at: Timestamp,
}

/// What one process of a proxy has learned about a server and the next process can use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedServer {
    /// The server's id in the endpoint list.
    pub id: String,
    /// When the server's process started. The figures below do not apply to a process that started
    /// at another time.
    pub started_at: Timestamp,
    /// The largest weight listed, in hundredths, if weights vary with load.
    pub max_weight_hundredths: u64,
    /// The share of its keys that the server keeps, in thousandths.
    pub key_share: u64,
    /// The concurrency limit of the server, in hundredths of an attempt.
    pub concurrency_limit: u64,
}
