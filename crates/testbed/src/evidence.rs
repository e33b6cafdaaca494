//! What went over the sockets, as seen from the lab's ends of them. Everything else is worked out from this.

use crate::clock::{Clock, Micros};
use crate::model::cache::Say;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

/// A lookup's number, as it stands in its id. A client's further try is a lookup of its own.
pub type Id = u64;

/// A proxy, or a cache; the origin is the cache after the last.
pub type Index = u16;

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A client has written a lookup whole to a proxy.
    Asked,
    /// Its answer is here whole. `right`: made for this lookup, by whoever answered it.
    Answered {
        status: u16,
        back_in: Option<Micros>,
        right: bool,
    },
    /// Its connection ended, or broke, with no answer. `fresh`: nothing had been answered on it before.
    Unanswered {
        reset: bool,
        fresh: bool,
    },
    /// The client has given it up and closed its connection.
    Left,
    /// No proxy took a connection for it.
    NoProxy,
    /// More came on a client's connection than was asked for.
    Unasked,
    /// A shot's first byte has reached a cache.
    Begun {
        cache: Index,
    },
    /// And its last.
    Shot {
        cache: Index,
        write: bool,
    },
    /// The cache has written what it says to the shot.
    Said {
        cache: Index,
        say: Say,
    },
    /// The connection ended before that, by the proxy's will or with its process.
    Cut {
        cache: Index,
    },
    /// The effect of a lookup came about.
    Ran {
        cache: Index,
    },
    /// A shot came with no id, or one that no client sent.
    MadeUp {
        cache: Index,
    },
    /// The list has written to a proxy what it says of a cache.
    Told {
        cache: Index,
        off: bool,
    },
    /// A cache was pushed over by what all proxies together sent to it.
    Fell {
        cache: Index,
    },
    /// Of a proxy's process.
    Signalled {
        signal: &'static str,
    },
    Ready,
    Ended {
        killed: bool,
    },
}

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Micros,
    pub id: Id,
    pub proxy: Index,
    pub what: What,
}

/// What a client asked for, known to the lab alone.
#[derive(Clone, Debug)]
pub struct Ask {
    pub ns: usize,
    pub key: u64,
    /// Its client's first try, whose effect this one repeats.
    pub first: Id,
    pub tenant: usize,
    /// When it was meant to be sent.
    pub due: Micros,
    pub limit: Micros,
}

#[derive(Default)]
struct Kept {
    events: Vec<Event>,
    asks: HashMap<Id, Ask>,
    shot: HashSet<Id>,
    gone: HashMap<usize, Micros>, // when each proxy's process was last killed, or ended
    any: bool,
}

/// Shared by all stand-ins and clients of a run.
#[derive(Clone, Default)]
pub struct Evidence(Arc<Mutex<Kept>>, Clock);

impl Evidence {
    pub fn new(clock: Clock) -> Evidence {
        Evidence(Arc::default(), clock)
    }

    /// A poisoned lock is still good to read: what is kept is only ever added to.
    fn kept(&self) -> MutexGuard<'_, Kept> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    pub fn note(&self, id: Id, proxy: usize, what: What) {
        self.note_at(self.1.now(), id, proxy, what);
    }

    pub fn note_at(&self, at: Micros, id: Id, proxy: usize, what: What) {
        let mut kept = self.kept();
        if kept.any {
            return;
        }
        if matches!(what, What::Shot { .. }) {
            kept.shot.insert(id);
        }
        if matches!(what, What::Signalled { signal: "KILL" } | What::Ended { .. }) {
            kept.gone.insert(proxy, at);
        }
        kept.events.push(Event { at, id, proxy: proxy as Index, what });
    }

    pub fn ask(&self, id: Id, ask: Ask) {
        self.kept().asks.insert(id, ask);
    }

    pub fn asked(&self, id: Id) -> Option<Ask> {
        let kept = self.kept();
        let by_hand = || Ask { ns: 0, key: id, first: id, tenant: 0, due: 0, limit: 0 };
        kept.asks.get(&id).cloned().or_else(|| kept.any.then(by_hand))
    }

    /// From now on any id is taken for a lookup of the first namespace, and nothing is kept: for trying by hand.
    pub fn take_any(&self) {
        self.kept().any = true;
    }

    /// Whether a shot for it has reached a cache, so that a proxy has taken it.
    pub fn was_shot(&self, id: Id) -> bool {
        self.kept().shot.contains(&id)
    }

    /// Whether a proxy's process was killed, or ended, since that moment.
    pub fn gone_since(&self, proxy: usize, at: Micros) -> bool {
        self.kept().gone.get(&proxy).is_some_and(|gone| *gone >= at)
    }

    /// All of it, in order of time, at the end of a run.
    pub fn take(&self) -> (Vec<Event>, HashMap<Id, Ask>) {
        let mut kept = self.kept();
        let mut events = std::mem::take(&mut kept.events);
        events.sort_by_key(|e| e.at);
        (events, std::mem::take(&mut kept.asks))
    }
}
