//! The types that a capture stores: events, decisions, calls and blocks.
//!
//! Postcard stores no names, so the order of fields and variants is part of the stored format. A
//! new variant goes to the end of its enum.

use chalkwalk_balancer::ServerIndex;
use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One entry of the endpoint list, as it was passed to the balancer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedEndpoint {
    /// The server's index in the balancer.
    pub server: ServerIndex,
    /// The server's id in the endpoint list.
    pub id: String,
    /// The index of the server's zone.
    pub zone: usize,
    /// The index of the server's kind. The origin has a kind of its own.
    pub kind: usize,
    /// The server's cell: a group of servers that drop repeats of the same request.
    pub cell: u64,
    /// The server's weight as listed, in hundredths.
    pub size: u64,
    /// The server's status, by its number in captures.
    pub status: u8,
    /// When the server's process started.
    pub born: Timestamp,
}

/// What the balancer was notified of by one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Event {
    /// The balancer was created.
    Start {
        /// The seed of the balancer's random numbers.
        seed: u64,
        /// The balancer's settings, by name.
        settings: BTreeMap<String, String>,
    },
    /// A request was accepted and routed.
    RequestAccepted {
        /// The index of the request class.
        class: usize,
        /// The position of the request's key on the ring.
        point: u64,
        /// The request's key; empty unless the operator has enabled the recording of keys.
        key: String,
        /// Whether the request is a write.
        write: bool,
        /// The request's deadline.
        expires: Timestamp,
        /// The only servers that may serve the request, in the order to try them; `None` if it is
        /// not restricted.
        order: Option<Vec<ServerIndex>>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request's id.
        request_id: u64,
        /// The attempt's index among those of the request.
        attempt: usize,
        /// The attempt's outcome, by its number in captures.
        outcome: u8,
        /// How long the attempt took.
        took: Span,
        /// Whether the client has received its response, from this attempt or an earlier one.
        finished: bool,
        /// The only servers that may serve the request from now on, in the order to try them;
        /// `None` if nothing changes.
        order: Option<Vec<ServerIndex>>,
    },
    /// The timer with this token fired.
    TimerFired(u64),
    /// A health check of a server ended.
    HealthCheckFinished {
        /// The server that was checked.
        server: ServerIndex,
        /// Whether the server answered.
        answered: bool,
    },
    /// Service discovery delivered endpoints.
    EndpointsListed {
        /// Whether `endpoints` is the whole list; otherwise it holds only changes to the list.
        whole: bool,
        /// The endpoints.
        endpoints: Vec<RecordedEndpoint>,
    },
    /// A call to service discovery failed. Written only by older versions, which did not record how
    /// long the call took.
    DiscoveryLost,
    /// The client of the request with this id disconnected.
    ClientLeft(u64),
    /// New settings took effect.
    SettingsChanged(BTreeMap<String, String>),
    /// New limits apply to an open request.
    LimitsRenewed {
        /// The request's id.
        request_id: u64,
        /// The index of the request class.
        class: usize,
        /// The request's new deadline.
        expires: Timestamp,
    },
    /// The number of proxies that share the servers.
    ProxyCount(u64),
    /// The balancer's complete state and its settings. A replay can start here.
    Snapshot {
        /// The settings, by name.
        settings: BTreeMap<String, String>,
        /// The numbers of the state, in the order of `chalkwalk_balancer::Snapshot`.
        words: Vec<u64>,
        /// The texts of the state, in the order of `chalkwalk_balancer::Snapshot`.
        texts: Vec<String>,
    },
    /// An operator disabled a server or enabled it again.
    ServerDisabled {
        /// The server's id in the endpoint list.
        id: String,
        /// Whether the server is now disabled.
        out: bool,
        /// When the operator's call was made.
        at: Timestamp,
    },
    /// The first part of an attempt's response arrived and is being forwarded to the client.
    ResponseStarted {
        /// The request's id.
        request_id: u64,
        /// The attempt's index among those of the request.
        attempt: usize,
    },
    /// A call to service discovery failed.
    DiscoveryCallFailed {
        /// How long the call took.
        took: Span,
    },
}

/// An action that the balancer requested.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Decision {
    /// Start an attempt.
    StartAttempt {
        /// The request's id.
        request_id: u64,
        /// The server to send the request to.
        server: ServerIndex,
        /// When the attempt times out.
        until: Timestamp,
        /// The latest time at which the request may still be written to the server.
        by: Timestamp,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request's id.
        request_id: u64,
        /// The attempt's index among those of the request.
        attempt: usize,
    },
    /// Reject a request without having served it.
    Reject {
        /// The request's id.
        request_id: u64,
        /// How long the client is asked to wait before it retries; zero if the response names no
        /// time.
        back_in: Span,
    },
    /// Fail the request with this id.
    Fail(u64),
    /// Check the health of this server.
    CheckHealth(ServerIndex),
    /// Set a timer.
    SetTimer {
        /// Passed back to the balancer when the timer fires.
        token: u64,
        /// The time from now until the timer fires.
        after: Span,
    },
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Write a log line.
    Log {
        /// The stored name of the state change that is logged.
        event: String,
        /// The id of the server concerned; empty if there is none.
        server: String,
    },
    /// Release a connection to this server. Written only by older versions, in which the balancer
    /// pooled the connections.
    ReleaseConnection(ServerIndex),
}

impl Event {
    /// The id of the request that the event concerns. A new request has no id yet, so
    /// `RequestAccepted` returns `None`.
    pub fn request_id(&self) -> Option<u64> {
        match self {
            Event::AttemptEnded { request_id, .. }
            | Event::ResponseStarted { request_id, .. }
            | Event::ClientLeft(request_id)
            | Event::LimitsRenewed { request_id, .. } => Some(*request_id),
            _ => None,
        }
    }
}

impl Decision {
    /// The id of the request that the decision concerns.
    pub fn request_id(&self) -> Option<u64> {
        match self {
            Decision::StartAttempt { request_id, .. }
            | Decision::CancelAttempt { request_id, .. }
            | Decision::Reject { request_id, .. }
            | Decision::Fail(request_id) => Some(*request_id),
            _ => None,
        }
    }
}

/// One call into the balancer and the decisions that it led to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedCall {
    /// The time since the previous call; for the first call of a block, since [`CallBlock::from`].
    pub after: Span,
    /// What the balancer was notified of.
    pub event: Event,
    /// What the balancer decided, in order.
    pub decisions: Vec<Decision>,
}

/// Consecutive calls that are stored together.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallBlock {
    /// The time that the first call's `after` is relative to.
    pub from: Timestamp,
    /// The calls, in order.
    pub calls: Vec<RecordedCall>,
}

/// One item of a capture.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CaptureItem {
    /// Consecutive calls.
    Calls(CallBlock),
    /// The number of calls that are missing here because the disk was too slow or full.
    Gap(u64),
}
