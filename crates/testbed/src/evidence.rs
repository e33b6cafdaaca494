//! Records what happens on the sockets between the testbed and the proxies, as the testbed's
//! clients and servers see it. All results of a run are computed from these events.

use crate::clock::{Clock, Micros};
use crate::model::server::Reply;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

/// The number in a request's id. A client's retry is a separate request with an id of its own.
pub type RequestId = u64;

/// The index of a proxy or of a server; the origin has the index after the last server's.
pub type NodeIndex = u16;

/// What the testbed observed.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// A client has written a complete request to a proxy.
    RequestSent,
    /// The complete answer to a request has arrived.
    Answered {
        /// Its HTTP status code, or the equivalent one for RESP.
        status: u16,
        /// How long the client has to wait before it retries, if the answer says so.
        retry_after: Option<Micros>,
        /// Whether its value, if it has one, is whole and was made for this request.
        is_own_value: bool,
    },
    /// The connection of a request ended or failed without an answer.
    Unanswered {
        /// Whether it was reset or closed; false if the received bytes are not a valid response.
        is_connection_closed: bool,
        /// Whether no earlier request was answered on this connection.
        is_first_on_connection: bool,
    },
    /// The client has cancelled the request and closed its connection.
    ClientCancelled,
    /// No proxy accepted a connection for the request.
    NoProxy,
    /// More bytes arrived on a client's connection than the answers to its requests have.
    UnexpectedBytes,
    /// The first byte of an attempt has reached a server.
    AttemptStarted {
        /// Which server.
        server: NodeIndex,
    },
    /// The last byte of an attempt has reached a server.
    AttemptReceived {
        /// Which server.
        server: NodeIndex,
        /// Whether the request is a write.
        is_write: bool,
    },
    /// The server has written its reply to the attempt.
    Replied {
        /// Which server.
        server: NodeIndex,
        /// Which reply.
        reply: Reply,
    },
    /// The attempt's connection ended before the reply: the proxy closed it, or its process ended.
    AttemptAborted {
        /// Which server.
        server: NodeIndex,
    },
    /// The effect of a request was applied.
    EffectApplied {
        /// At which server.
        server: NodeIndex,
    },
    /// An attempt came without an id, or with an id that no client has sent.
    UnknownRequest {
        /// At which server.
        server: NodeIndex,
    },
    /// The list's server has written to a proxy that a server is off or back in service.
    Notified {
        /// Which server.
        server: NodeIndex,
        /// Whether the server is draining or removed.
        is_off: bool,
    },
    /// A server collapsed under the load from all proxies together.
    ServerCollapsed {
        /// Which server.
        server: NodeIndex,
    },
    /// The testbed sent a signal to a proxy's process.
    Signalled {
        /// The signal's name without `SIG`.
        signal: &'static str,
    },
    /// A proxy's process is ready.
    ProcessReady,
    /// A proxy's process has ended.
    ProcessEnded {
        /// Whether the testbed had to kill it.
        killed: bool,
    },
}

/// One observation and its time.
#[derive(Clone, Debug)]
pub struct Event {
    /// The time of the observation.
    pub at: Micros,
    /// The request's id; 0 if the event is about none.
    pub request_id: RequestId,
    /// The proxy that the event is about.
    pub proxy: NodeIndex,
    /// What was observed.
    pub kind: EventKind,
}

/// What a client requested. Only the testbed knows this, not the proxy.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Index of its request class.
    pub class_index: usize,
    /// Its key.
    pub key: u64,
    /// The id of the client's first try, which this request retries; its own id if it is the first.
    pub first_id: RequestId,
    /// Index of its tenant.
    pub tenant_index: usize,
    /// When it was scheduled to be sent.
    pub due_at: Micros,
    /// Its time limit.
    pub time_limit: Micros,
}

#[derive(Default)]
struct Recorded {
    events: Vec<Event>,
    requests: HashMap<RequestId, ClientRequest>,
    /// Requests of which an attempt has reached a server.
    attempted_ids: HashSet<RequestId>,
    /// When each proxy's process was last killed, or ended.
    ended_at: HashMap<usize, Micros>,
    /// Whether any id counts as a request and no event is recorded.
    accepts_any_id: bool,
}

/// Records the events of a run; shared by all simulated servers and clients.
#[derive(Clone, Default)]
pub struct EventRecorder {
    recorded: Arc<Mutex<Recorded>>,
    clock: Clock,
}

impl EventRecorder {
    /// A recorder without events.
    pub fn new(clock: Clock) -> EventRecorder {
        EventRecorder { recorded: Arc::default(), clock }
    }

    /// A poisoned lock is still usable: a thread that panics while it holds the lock leaves no
    /// half-made change, as entries are only added.
    fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.recorded.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records an event at the current time.
    pub fn record(&self, request_id: RequestId, proxy: usize, kind: EventKind) {
        self.record_at(self.clock.now(), request_id, proxy, kind);
    }

    /// Records an event at a stated time.
    pub fn record_at(&self, at: Micros, request_id: RequestId, proxy: usize, kind: EventKind) {
        let mut recorded = self.recorded();
        if recorded.accepts_any_id {
            return;
        }
        if matches!(kind, EventKind::AttemptReceived { .. }) {
            recorded.attempted_ids.insert(request_id);
        }
        if matches!(kind, EventKind::Signalled { signal: "KILL" } | EventKind::ProcessEnded { .. }) {
            recorded.ended_at.insert(proxy, at);
        }
        recorded.events.push(Event { at, request_id, proxy: proxy as NodeIndex, kind });
    }

    /// Registers a client's request; it has to be called before the request is sent.
    pub fn add_request(&self, request_id: RequestId, request: ClientRequest) {
        self.recorded().requests.insert(request_id, request);
    }

    /// The request that a client sent with that id.
    pub fn request(&self, request_id: RequestId) -> Option<ClientRequest> {
        let recorded = self.recorded();
        let manual_request = || ClientRequest {
            class_index: 0,
            key: request_id,
            first_id: request_id,
            tenant_index: 0,
            due_at: 0,
            time_limit: 0,
        };
        recorded.requests.get(&request_id).cloned().or_else(|| recorded.accepts_any_id.then(manual_request))
    }

    /// From now on any id counts as a request of the first class, and no event is recorded. This is
    /// for requests that a person sends by hand.
    pub fn accept_any_id(&self) {
        self.recorded().accepts_any_id = true;
    }

    /// Whether an attempt for the request has reached a server, which shows that a proxy has
    /// accepted the request.
    pub fn was_attempted(&self, request_id: RequestId) -> bool {
        self.recorded().attempted_ids.contains(&request_id)
    }

    /// Whether a proxy's process was killed or ended at `at` or later.
    pub fn process_ended_since(&self, proxy: usize, at: Micros) -> bool {
        self.recorded().ended_at.get(&proxy).is_some_and(|ended| *ended >= at)
    }

    /// Takes all events, in order of time, and all requests, at the end of a run.
    pub fn take_recorded(&self) -> (Vec<Event>, HashMap<RequestId, ClientRequest>) {
        let mut recorded = self.recorded();
        let mut events = std::mem::take(&mut recorded.events);
        events.sort_by_key(|event| event.at);
        (events, std::mem::take(&mut recorded.requests))
    }
}
