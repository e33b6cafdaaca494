//! What a capture is made of: events, decisions, calls and blocks.
//!
//! Postcard writes no names: the order of fields and of variants is stored data. A new variant goes to the end of its enum.

use chalkwalk_balancer::ServerIndex;
use chalkwalk_time::{Span, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One endpoint of the list, as the balancer was given it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedEndpoint {
    /// The server's index in the balancer.
    pub server: ServerIndex,
    /// The server's id in the list.
    pub id: String,
    /// The index of its zone.
    pub zone: usize,
    /// The index of its kind.
    pub kind: usize,
    /// Its cell.
    pub cell: u64,
    /// Its weight.
    pub size: u64,
    /// The number of its status.
    pub status: u8,
    /// When its process started.
    pub born: Timestamp,
}

/// What the balancer was notified of: one call into it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Event {
    /// The balancer was created.
    Start {
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings, by name.
        settings: BTreeMap<String, String>,
    },
    /// A request was accepted and routed.
    RequestAccepted {
        /// The index of its class.
        class: usize,
        /// The point of its key on the ring.
        point: u64,
        /// The text of its key, empty unless the operator has keys recorded.
        key: String,
        /// Whether it writes.
        write: bool,
        /// Its deadline.
        expires: Timestamp,
        /// The servers that it is restricted to, if any.
        order: Option<Vec<ServerIndex>>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request's id.
        request_id: u64,
        /// The attempt's number in the request.
        attempt: usize,
        /// The number of its outcome.
        outcome: u8,
        /// How long it took.
        took: Span,
        /// Whether the client has its answer.
        finished: bool,
        /// The servers that the request is restricted to from now on, if any.
        order: Option<Vec<ServerIndex>>,
    },
    /// The timer with this token fired.
    TimerFired(u64),
    /// A health check ended.
    HealthCheckFinished {
        /// The server that was checked.
        server: ServerIndex,
        /// Whether it answered.
        answered: bool,
    },
    /// Discovery delivered endpoints.
    EndpointsListed {
        /// Whether they are the whole list, or changes to it.
        whole: bool,
        /// The endpoints.
        endpoints: Vec<RecordedEndpoint>,
    },
    /// A call to discovery failed, in captures of versions that did not record how long it took.
    DiscoveryLost,
    /// The client of this request left.
    ClientLeft(u64),
    /// New settings are in force.
    SettingsChanged(BTreeMap<String, String>),
    /// New limits hold for a request that is open.
    LimitsRenewed {
        /// The request's id.
        request_id: u64,
        /// The index of its class.
        class: usize,
        /// Its deadline.
        expires: Timestamp,
    },
    /// How many proxies share the servers.
    ProxyCount(u64),
    /// The balancer's whole state and its settings: a replay may start here.
    Snapshot {
        /// The settings, by name.
        settings: BTreeMap<String, String>,
        /// The numbers of the state.
        words: Vec<u64>,
        /// The texts of the state.
        texts: Vec<String>,
    },
    /// Operators disabled a server or enabled it again.
    ServerDisabled {
        /// The server's id in the list.
        id: String,
        /// Whether it is disabled.
        out: bool,
        /// When the operator's call was made.
        at: Timestamp,
    },
    /// The response to an attempt has begun, and goes to the client.
    ResponseStarted {
        /// The request's id.
        request_id: u64,
        /// The attempt's number in the request.
        attempt: usize,
    },
    /// A call to discovery failed.
    DiscoveryCallFailed {
        /// How long it took.
        took: Span,
    },
}

/// What the balancer wanted done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Decision {
    /// Start an attempt.
    StartAttempt {
        /// The request's id.
        request_id: u64,
        /// The server to send it to.
        server: ServerIndex,
        /// When the attempt times out.
        until: Timestamp,
        /// When the request has to be written at the latest.
        by: Timestamp,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request's id.
        request_id: u64,
        /// The attempt's number in the request.
        attempt: usize,
    },
    /// Reject a request.
    Reject {
        /// The request's id.
        request_id: u64,
        /// When the client may retry.
        back_in: Span,
    },
    /// Fail the request with this id.
    Fail(u64),
    /// Check the health of this server.
    CheckHealth(ServerIndex),
    /// Set a timer.
    SetTimer {
        /// Passed back when it fires.
        token: u64,
        /// When it fires, from now.
        after: Span,
    },
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Write a log line.
    Log {
        /// What happened.
        event: String,
        /// The server's id, or empty.
        server: String,
    },
    /// Give a connection back. Only in captures of versions from before connections were pooled outside the balancer.
    ReleaseConnection(ServerIndex),
}

impl Event {
    /// The request that it is about.
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
    /// The request that it is about.
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

/// One call into the balancer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedCall {
    /// The time since the call before it.
    pub after: Span,
    /// What the balancer was notified of.
    pub event: Event,
    /// What it decided, in order.
    pub decisions: Vec<Decision>,
}

/// Calls in a row.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallBlock {
    /// When the first call is counted from.
    pub from: Timestamp,
    /// The calls.
    pub calls: Vec<RecordedCall>,
}

/// One item of a capture.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CaptureItem {
    /// Calls in a row.
    Calls(CallBlock),
    /// So many calls are missing here, because the disk was slow, or full.
    Gap(u64),
}
