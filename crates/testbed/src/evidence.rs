//! What went over the sockets, as seen from the testbed's ends of them. Everything else is worked out from this.

use crate::clock::{Clock, Micros};
use crate::model::server::Reply;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

/// A request's number, as it stands in its id. A client's further try is a request of its own.
pub type Id = u64;

/// A proxy, or a server; the origin is the server after the last.
pub type Index = u16;

#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// A client has written a request whole to a proxy.
    RequestSent,
    /// Its answer is here whole. `matches`: made for this request, by whoever answered it.
    Answered {
        status: u16,
        retry_after: Option<Micros>,
        matches: bool,
    },
    /// Its connection ended, or broke, with no answer. `fresh`: nothing had been answered on it before.
    Unanswered {
        reset: bool,
        fresh: bool,
    },
    /// The client has given it up and closed its connection.
    ClientCancelled,
    /// No proxy took a connection for it.
    NoProxy,
    /// More came on a client's connection than was asked for.
    UnexpectedBytes,
    /// An attempt's first byte has reached a server.
    AttemptStarted {
        server: Index,
    },
    /// And its last.
    AttemptReceived {
        server: Index,
        write: bool,
    },
    /// The server has written what it says to the attempt.
    Replied {
        server: Index,
        reply: Reply,
    },
    /// The connection ended before that, by the proxy's will or with its process.
    AttemptAborted {
        server: Index,
    },
    /// The effect of a request came about.
    EffectApplied {
        server: Index,
    },
    /// An attempt came with no id, or one that no client sent.
    UnknownRequest {
        server: Index,
    },
    /// The list has written to a proxy what it says of a server.
    Notified {
        server: Index,
        off: bool,
    },
    /// A server was pushed over by what all proxies together sent to it.
    ServerCollapsed {
        server: Index,
    },
    /// Of a proxy's process.
    Signalled {
        signal: &'static str,
    },
    ProcessReady,
    ProcessEnded {
        killed: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Micros,
    pub id: Id,
    pub proxy: Index,
    pub kind: EventKind,
}

/// What a client asked for, known to the testbed alone.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub class: usize,
    pub key: u64,
    /// Its client's first try, whose effect this one repeats.
    pub first: Id,
    pub tenant: usize,
    /// When it was meant to be sent.
    pub due: Micros,
    pub limit: Micros,
}

#[derive(Default)]
struct Recorded {
    events: Vec<Event>,
    requests: HashMap<Id, ClientRequest>,
    attempted: HashSet<Id>,
    ended_at: HashMap<usize, Micros>, // when each proxy's process was last killed, or ended
    accepts_any: bool,
}

/// Shared by all stand-ins and clients of a run.
#[derive(Clone, Default)]
pub struct Evidence(Arc<Mutex<Recorded>>, Clock);

impl Evidence {
    pub fn new(clock: Clock) -> Evidence {
        Evidence(Arc::default(), clock)
    }

    /// A poisoned lock is still good to read: what is kept is only ever added to.
    fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn record(&self, id: Id, proxy: usize, kind: EventKind) {
        self.record_at(self.1.now(), id, proxy, kind);
    }

    pub fn record_at(&self, at: Micros, id: Id, proxy: usize, kind: EventKind) {
        let mut recorded = self.recorded();
        if recorded.accepts_any {
            return;
        }
        if matches!(kind, EventKind::AttemptReceived { .. }) {
            recorded.attempted.insert(id);
        }
        if matches!(kind, EventKind::Signalled { signal: "KILL" } | EventKind::ProcessEnded { .. }) {
            recorded.ended_at.insert(proxy, at);
        }
        recorded.events.push(Event { at, id, proxy: proxy as Index, kind });
    }

    pub fn add_request(&self, id: Id, request: ClientRequest) {
        self.recorded().requests.insert(id, request);
    }

    pub fn request(&self, id: Id) -> Option<ClientRequest> {
        let recorded = self.recorded();
        let by_hand = || ClientRequest { class: 0, key: id, first: id, tenant: 0, due: 0, limit: 0 };
        recorded.requests.get(&id).cloned().or_else(|| recorded.accepts_any.then(by_hand))
    }

    /// From now on any id is taken for a request of the first request class, and nothing is kept: for trying by hand.
    pub fn accept_any(&self) {
        self.recorded().accepts_any = true;
    }

    /// Whether an attempt for it has reached a server, so that a proxy has taken it.
    pub fn was_attempted(&self, id: Id) -> bool {
        self.recorded().attempted.contains(&id)
    }

    /// Whether a proxy's process was killed, or ended, since that moment.
    pub fn gone_since(&self, proxy: usize, at: Micros) -> bool {
        self.recorded().ended_at.get(&proxy).is_some_and(|ended_at| *ended_at >= at)
    }

    /// All of it, in order of time, at the end of a run.
    pub fn finish(&self) -> (Vec<Event>, HashMap<Id, ClientRequest>) {
        let mut recorded = self.recorded();
        let mut events = std::mem::take(&mut recorded.events);
        events.sort_by_key(|e| e.at);
        (events, std::mem::take(&mut recorded.requests))
    }
}
