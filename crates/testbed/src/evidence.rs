//! What went over the sockets, as seen from the testbed's ends of them. Everything else is worked out from this.

use crate::clock::{Clock, Micros};
use crate::model::server::Reply;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

/// A request's number, as it stands in its id. A client's retry is a request of its own.
pub type Id = u64;

/// A proxy, or a server; the origin is the server after the last.
pub type Index = u16;

/// What was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// A client has written a request whole to a proxy.
    RequestSent,
    /// Its answer is here whole.
    Answered {
        /// Its status.
        status: u16,
        /// When the client is to come again, where that was sent.
        retry_after: Option<Micros>,
        /// Whether it was made for this request, by whoever answered it.
        matches: bool,
    },
    /// Its connection ended, or broke, with no answer.
    Unanswered {
        /// Whether it was reset or closed, rather than answered with nonsense.
        reset: bool,
        /// Whether nothing had been answered on it before.
        fresh: bool,
    },
    /// The client has given it up and closed its connection.
    ClientCancelled,
    /// No proxy accepted a connection for it.
    NoProxy,
    /// More came on a client's connection than was requested.
    UnexpectedBytes,
    /// An attempt's first byte has reached a server.
    AttemptStarted {
        /// Which server.
        server: Index,
    },
    /// And its last.
    AttemptReceived {
        /// Which server.
        server: Index,
        /// Whether it writes.
        write: bool,
    },
    /// The server has written its reply to the attempt.
    Replied {
        /// Which server.
        server: Index,
        /// Which reply.
        reply: Reply,
    },
    /// The connection ended before that, by the proxy's will or with its process.
    AttemptAborted {
        /// Which server.
        server: Index,
    },
    /// The effect of a request came about.
    EffectApplied {
        /// At which server.
        server: Index,
    },
    /// An attempt came with no id, or one that no client sent.
    UnknownRequest {
        /// At which server.
        server: Index,
    },
    /// The list has written to a proxy whether a server is off.
    Notified {
        /// Which server.
        server: Index,
        /// Draining or gone.
        off: bool,
    },
    /// A server collapsed under what all proxies together sent to it.
    ServerCollapsed {
        /// Which server.
        server: Index,
    },
    /// A proxy's process got a signal.
    Signalled {
        /// Its name without SIG.
        signal: &'static str,
    },
    /// A proxy is up.
    ProcessReady,
    /// A proxy's process has ended.
    ProcessEnded {
        /// Whether it had to be killed.
        killed: bool,
    },
}

/// Something that was seen, and when.
#[derive(Clone, Debug)]
pub struct Event {
    /// When.
    pub at: Micros,
    /// Of which request; 0 where there is none.
    pub id: Id,
    /// At which proxy.
    pub proxy: Index,
    /// What.
    pub kind: EventKind,
}

/// What a client requested, known to the testbed alone.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its request class, by number.
    pub class: usize,
    /// Its key.
    pub key: u64,
    /// Its client's first try, whose effect this one repeats.
    pub first: Id,
    /// Its tenant, by number.
    pub tenant: usize,
    /// When it was meant to be sent.
    pub due: Micros,
    /// Its time limit.
    pub limit: Micros,
}

#[derive(Default)]
struct Recorded {
    events: Vec<Event>,
    requests: HashMap<Id, ClientRequest>,
    /// Requests of which an attempt has reached a server.
    attempted: HashSet<Id>,
    /// When each proxy's process was last killed, or ended.
    ended_at: HashMap<usize, Micros>,
    /// Whether any id counts as a request, and nothing is recorded.
    accepts_any: bool,
}

/// The recorder, shared by all stand-ins and clients of a run.
#[derive(Clone, Default)]
pub struct Evidence {
    recorded: Arc<Mutex<Recorded>>,
    clock: Clock,
}

impl Evidence {
    /// With nothing recorded.
    pub fn new(clock: Clock) -> Evidence {
        Evidence { recorded: Arc::default(), clock }
    }

    /// A poisoned lock is still good to read: what is recorded is only ever added to.
    fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.recorded.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Records what is seen now.
    pub fn record(&self, id: Id, proxy: usize, kind: EventKind) {
        self.record_at(self.clock.now(), id, proxy, kind);
    }

    /// Records what was seen at a moment.
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

    /// Makes a client's request known, before it is sent.
    pub fn add_request(&self, id: Id, request: ClientRequest) {
        self.recorded().requests.insert(id, request);
    }

    /// What a client requested under that id.
    pub fn request(&self, id: Id) -> Option<ClientRequest> {
        let recorded = self.recorded();
        let by_hand = || ClientRequest { class: 0, key: id, first: id, tenant: 0, due: 0, limit: 0 };
        recorded.requests.get(&id).cloned().or_else(|| recorded.accepts_any.then(by_hand))
    }

    /// From now on any id counts as a request of the first class, and nothing is recorded: for trying by hand.
    pub fn accept_any(&self) {
        self.recorded().accepts_any = true;
    }

    /// Whether an attempt for it has reached a server, so that a proxy has accepted it.
    pub fn was_attempted(&self, id: Id) -> bool {
        self.recorded().attempted.contains(&id)
    }

    /// Whether a proxy's process was killed, or ended, since that moment.
    pub fn ended_since(&self, proxy: usize, at: Micros) -> bool {
        self.recorded().ended_at.get(&proxy).is_some_and(|ended| *ended >= at)
    }

    /// All of it, in order of time, at the end of a run.
    pub fn finish(&self) -> (Vec<Event>, HashMap<Id, ClientRequest>) {
        let mut recorded = self.recorded();
        let mut events = std::mem::take(&mut recorded.events);
        events.sort_by_key(|event| event.at);
        (events, std::mem::take(&mut recorded.requests))
    }
}
