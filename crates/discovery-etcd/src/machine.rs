//! What to ask etcd next and what its answers mean, without I/O: one machine from the first connection on.

use chalkwalk_balancer::discovery::Backoff;
use chalkwalk_etcd_wire::api::{Event, KeyValue, RangeResponse, WatchResponse, event::Kind};
use chalkwalk_etcd_wire::prefix_end;
use chalkwalk_membership::MOST_LINES;
use chalkwalk_time::Span;

/// Of keys that a whole list, or an answer in fragments, may hold: every server, and as many proxies.
const MOST_KEYS: usize = 2 * MOST_LINES;
/// Keys a page: some 300 kB, well below the 4 MiB that gRPC takes by default.
pub const PAGE: i64 = 1000;
/// After a watch is lost, at once for nobody: five hundred proxies that lose it together come back over so long.
const FIRST_SPREAD: Span = Span::from_secs(1);
/// After a list that was refused. Three are, so that all is known again within a second.
const REFUSED_SPREAD: Span = Span::from_millis(250);
/// From one endpoint to the next until each was tried: of three endpoints two may hang, two seconds each, within the term for
/// changes.
const NEXT_ENDPOINT_SPREAD: Span = Span::from_millis(500);
/// No operator states how long a fleet may neither watch nor ask.
const ANY_TIME: Span = Span::MAX;
const SERVERS: &[u8] = b"caches/";
const PROXIES: &[u8] = b"proxies/";

/// What to do next.
#[derive(Debug, PartialEq)]
pub enum Do {
    Connect {
        endpoint: usize,
        after: Span,
    },
    /// The keys from one on, as of a revision; 0 is the present one.
    Range {
        from: Vec<u8>,
        revision: i64,
    },
    Watch {
        from: i64,
    },
    /// For more of the watch that is open.
    Listen,
}

/// Whose key it is.
#[derive(Clone, Debug, PartialEq)]
pub enum Key {
    ServerIndex(String),
    Proxy(String),
}

/// What became known.
#[derive(Debug, PartialEq)]
pub enum News {
    Whole {
        revision: u64,
        /// It is of another cluster than what came before.
        another: bool,
        keys: Vec<(Key, Vec<u8>)>,
    },
    /// In order, each with its revision; no value where the key is gone.
    Changes(Vec<(u64, Key, Option<Vec<u8>>)>),
    /// Nothing changed up to here.
    Reached(u64),
    Nothing,
}

pub struct Machine {
    prefix: Vec<u8>,
    endpoints: usize,
    endpoint: usize,
    fails: u32,
    /// All up to it is known.
    held: Option<u64>,
    /// Whose history that is; a cluster that is restored from a backup is another.
    cluster: Option<u64>,
    pages: Vec<KeyValue>,
    pages_of: i64,
    fragments: Vec<Event>,
    chance: u64,
}

impl Machine {
    /// The seed is each proxy's own: by it they spread out.
    pub fn new(prefix: &str, endpoints: usize, seed: u64) -> Machine {
        let chance = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        Machine {
            prefix: prefix.as_bytes().to_vec(),
            endpoints: endpoints.max(1),
            endpoint: (chance >> 33) as usize % endpoints.max(1),
            fails: 0,
            held: None,
            cluster: None,
            pages: Vec::new(),
            pages_of: 0,
            fragments: Vec::new(),
            chance,
        }
    }

    /// The range of keys that it is about.
    pub fn range(&self) -> (Vec<u8>, Vec<u8>) {
        (self.prefix.clone(), prefix_end(&self.prefix))
    }

    /// The first step of all.
    pub fn start(&self) -> Do {
        Do::Connect { endpoint: self.endpoint, after: Span::ZERO }
    }

    pub fn opened(&mut self) -> Do {
        self.pages.clear();
        self.fragments.clear();
        match self.held {
            Some(held) => Do::Watch { from: held as i64 + 1 },
            None => self.whole(),
        }
    }

    fn whole(&mut self) -> Do {
        self.held = None;
        self.pages.clear();
        self.fragments.clear();
        Do::Range { from: self.prefix.clone(), revision: 0 }
    }

    /// The connection, or what was asked on it, is lost after so long: the next endpoint, after a rest that keeps the term for
    /// changes. Once each endpoint has failed, the rest is that of every source.
    pub fn failed(&mut self, took: Span) -> Do {
        self.endpoint = (self.endpoint + 1) % self.endpoints;
        let tried = self.fails as usize;
        let after = match tried {
            0 => self.below(FIRST_SPREAD),
            n if !n.is_multiple_of(self.endpoints) => self.below(NEXT_ENDPOINT_SPREAD),
            _ => Backoff::polled(ANY_TIME).delay(took, self.fails, |end| self.below(end)),
        };
        self.fails = self.fails.saturating_add(1);
        Do::Connect { endpoint: self.endpoint, after }
    }

    /// An endpoint's whole list is older than what is known: the next one, and soon, as nothing is heard meanwhile.
    pub fn refused(&mut self) -> Do {
        self.endpoint = (self.endpoint + 1) % self.endpoints;
        Do::Connect { endpoint: self.endpoint, after: self.below(REFUSED_SPREAD) }
    }

    /// xorshift, after Marsaglia.
    fn below(&mut self, end: Span) -> Span {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        Span::from_ticks(self.chance % end.ticks().max(1))
    }

    /// A page of the whole list. An error ends the connection.
    pub fn ranged(&mut self, page: RangeResponse) -> Result<(News, Do), String> {
        let revision = page.header.map_or(0, |h| h.revision);
        let cluster = page.header.map_or(0, |h| h.cluster_id);
        if self.pages.is_empty() {
            self.pages_of = revision;
        }
        let (more, last) = (page.more, page.kvs.last().map(|kv| kv.key.to_vec()));
        self.pages.extend(page.kvs);
        if self.pages.len() > MOST_KEYS {
            return Err(format!("more than {MOST_KEYS} keys"));
        }
        if more {
            let mut from = last.ok_or("more keys are promised, and none came")?;
            from.push(0);
            return Ok((News::Nothing, Do::Range { from, revision: self.pages_of }));
        }
        let Ok(revision) = u64::try_from(self.pages_of) else { return Err("a revision below zero".into()) };
        let pages = std::mem::take(&mut self.pages);
        let keys = pages.into_iter().filter_map(|kv| Some((self.key(&kv.key)?, kv.value.to_vec())));
        let keys = keys.collect();
        let before = self.cluster.replace(cluster);
        let another = before.is_some_and(|before| before != cluster);
        Ok((News::Whole { revision, another, keys }, Do::Watch { from: revision as i64 + 1 }))
    }

    /// The whole list as of a revision was taken.
    pub fn taken(&mut self, revision: u64) {
        self.held = Some(revision);
    }

    /// One answer on the watch. An error ends the connection.
    pub fn heard(&mut self, said: WatchResponse) -> Result<(News, Do), String> {
        let revision = said.header.map_or(0, |h| h.revision.max(0) as u64);
        let held = self.held.unwrap_or(0);
        if said.canceled {
            if said.compact_revision > 0 {
                // The history from there on is gone: only the whole list tells.
                return Ok((News::Nothing, self.whole()));
            }
            return Err(format!("watch canceled: {}", said.cancel_reason));
        }
        if said.created {
            let cluster = said.header.map(|h| h.cluster_id);
            if revision < held || cluster != self.cluster {
                // Behind the others, or restored from an older state: its whole list tells which.
                return Ok((News::Nothing, self.whole()));
            }
            self.fails = 0;
            return Ok((News::Nothing, Do::Listen));
        }
        self.fragments.extend(said.events);
        if self.fragments.len() > MOST_KEYS {
            return Err(format!("more than {MOST_KEYS} changes at once"));
        }
        if said.fragment {
            return Ok((News::Nothing, Do::Listen));
        }
        if self.fragments.is_empty() {
            if revision < held {
                return Err(format!("an endpoint behind, at {revision} after {held}"));
            }
            self.held = Some(revision);
            return Ok((News::Reached(revision), Do::Listen));
        }
        let events = std::mem::take(&mut self.fragments);
        let mut changes = Vec::with_capacity(events.len());
        let mut newest = held;
        for event in events {
            let gone = event.r#type() == Kind::Delete;
            let Some(kv) = event.kv else { continue };
            let of = u64::try_from(kv.mod_revision).unwrap_or(0);
            newest = newest.max(of);
            if let Some(key) = self.key(&kv.key) {
                changes.push((of, key, (!gone).then(|| kv.value.to_vec())));
            }
        }
        self.held = Some(newest);
        Ok((News::Changes(changes), Do::Listen))
    }

    /// Whose key it is; nobody's are passed over.
    fn key(&self, key: &[u8]) -> Option<Key> {
        let rest = key.strip_prefix(self.prefix.as_slice())?;
        let named = |prefix, make: fn(String) -> Key| {
            let id = std::str::from_utf8(rest.strip_prefix(prefix)?).ok()?;
            (!id.is_empty()).then(|| make(id.to_string()))
        };
        named(SERVERS, Key::ServerIndex).or_else(|| named(PROXIES, Key::Proxy))
    }
}
