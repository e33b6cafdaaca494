//! The machine: the whole list in pages, then a watch, which is resumed after a break and replaced
//! by a whole list where it can't be.

use super::keys::{KeyRange, KeySpace};
use super::reconnect::Reconnect;
use super::step::{ConnectAttempt, KeyChange, KeyValuePair, ListSnapshot, Step, Transition, Update};
use chalkwalk_etcd_wire::api::{Event, KeyValue, RangeResponse, WatchResponse, event::Kind};
use chalkwalk_membership::MAX_ENDPOINTS;
use chalkwalk_time::Span;

/// Keys that a whole list, or a response in fragments, may hold: every endpoint, and as many
/// proxies.
const MAX_KEYS: usize = 2 * MAX_ENDPOINTS;
/// Keys a page: some 300 kB, well below the 4 MiB that gRPC accepts by default.
pub const PAGE_KEYS: i64 = 1000;

/// A response that makes no sense, or that ends the watch. The connection is of no use any more.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The whole list is too long.
    #[error("more than {MAX_KEYS} keys")]
    TooManyKeys,
    /// An empty page that is not the last.
    #[error("more keys are promised, and none came")]
    EmptyPage,
    /// The revision is not one.
    #[error("a revision below zero")]
    NegativeRevision,
    /// The endpoint canceled the watch.
    #[error("watch canceled: {reason}")]
    WatchCanceled {
        /// As the endpoint has it.
        reason: String,
    },
    /// A response in fragments is too long.
    #[error("more than {MAX_KEYS} changes at once")]
    TooManyChanges,
    /// The endpoint knows less than is known.
    #[error("an endpoint behind, at {revision} after {known}")]
    EndpointBehind {
        /// What the endpoint has.
        revision: u64,
        /// What is known.
        known: u64,
    },
}

/// The state machine of one source.
#[derive(Debug)]
pub struct Machine {
    keys: KeySpace,
    reconnect: Reconnect,
    /// Everything up to this revision is known.
    known_revision: Option<u64>,
    /// Whose history that is; a cluster that is restored from a backup is another.
    cluster: Option<u64>,
    /// The pages of a whole list so far.
    pages: Vec<KeyValue>,
    /// The revision of the first of them, and so of all.
    pages_revision: i64,
    /// The events of a response in fragments so far.
    fragments: Vec<Event>,
}

impl Machine {
    /// A machine for all keys with the prefix, and so many endpoints. The seed is each proxy's own.
    pub fn new(prefix: &str, endpoints: usize, seed: u64) -> Machine {
        Machine {
            keys: KeySpace::new(prefix),
            reconnect: Reconnect::new(endpoints, seed),
            known_revision: None,
            cluster: None,
            pages: Vec::new(),
            pages_revision: 0,
            fragments: Vec::new(),
        }
    }

    /// The range of keys that it reads.
    pub fn range(&self) -> KeyRange {
        self.keys.range()
    }

    /// The first connection of all.
    pub fn first_attempt(&self) -> ConnectAttempt {
        self.reconnect.first()
    }

    /// A connection is open.
    pub fn connected(&mut self) -> Step {
        self.discard_partial();
        match self.known_revision {
            Some(known) => Step::OpenWatch { from: known as i64 + 1 },
            None => self.read_list(),
        }
    }

    /// The connection, or a call on it, failed after so long.
    pub fn connection_failed(&mut self, took: Span) -> ConnectAttempt {
        self.reconnect.after_failure(took)
    }

    /// The whole list of this endpoint is rejected, as it is older than what is known.
    pub fn list_rejected(&mut self) -> ConnectAttempt {
        self.reconnect.after_rejected_list()
    }

    /// The whole list as of a revision is accepted.
    pub fn list_accepted(&mut self, revision: u64) {
        self.known_revision = Some(revision);
    }

    /// A page of the whole list.
    pub fn page_received(&mut self, page: RangeResponse) -> Result<Transition, ProtocolError> {
        if self.pages.is_empty() {
            self.pages_revision = page.header.map_or(0, |header| header.revision);
        }
        let last_key = page.kvs.last().map(|pair| pair.key.to_vec());
        self.pages.extend(page.kvs);
        if self.pages.len() > MAX_KEYS {
            return Err(ProtocolError::TooManyKeys);
        }
        if page.more {
            let mut from = last_key.ok_or(ProtocolError::EmptyPage)?;
            // The key that follows the last one directly.
            from.push(0);
            return Ok(Transition::to(Step::ReadPage { from, revision: self.pages_revision }));
        }
        self.list_complete(page.header.map_or(0, |header| header.cluster_id))
    }

    /// A response on the watch.
    pub fn watch_response(&mut self, response: WatchResponse) -> Result<Transition, ProtocolError> {
        if response.canceled {
            return self.watch_canceled(response);
        }
        if response.created {
            return Ok(self.watch_created(&response));
        }
        let revision = revision_of(&response);
        self.fragments.extend(response.events);
        if self.fragments.len() > MAX_KEYS {
            return Err(ProtocolError::TooManyChanges);
        }
        if response.fragment {
            return Ok(Transition::to(Step::AwaitResponse));
        }
        let update = if self.fragments.is_empty() { self.progress(revision)? } else { self.changes() };
        Ok(Transition { update, next: Step::AwaitResponse })
    }

    fn discard_partial(&mut self) {
        self.pages.clear();
        self.fragments.clear();
    }

    fn read_list(&mut self) -> Step {
        self.known_revision = None;
        self.discard_partial();
        Step::ReadPage { from: self.keys.range().start, revision: 0 }
    }

    fn list_complete(&mut self, cluster: u64) -> Result<Transition, ProtocolError> {
        let revision = u64::try_from(self.pages_revision).map_err(|_| ProtocolError::NegativeRevision)?;
        let pages = std::mem::take(&mut self.pages);
        let pair = |pair: KeyValue| {
            let key = self.keys.classify(&pair.key)?;
            Some(KeyValuePair { key, value: pair.value.to_vec() })
        };
        let pairs = pages.into_iter().filter_map(pair).collect();
        let cluster_before = self.cluster.replace(cluster);
        let cluster_changed = cluster_before.is_some_and(|before| before != cluster);
        Ok(Transition {
            update: Update::List(ListSnapshot { revision, cluster_changed, pairs }),
            next: Step::OpenWatch { from: revision as i64 + 1 },
        })
    }

    fn watch_canceled(&mut self, response: WatchResponse) -> Result<Transition, ProtocolError> {
        if response.compact_revision > 0 {
            // The history from there on is gone: only the whole list has it.
            return Ok(Transition::to(self.read_list()));
        }
        Err(ProtocolError::WatchCanceled { reason: response.cancel_reason })
    }

    fn watch_created(&mut self, response: &WatchResponse) -> Transition {
        let cluster = response.header.map(|header| header.cluster_id);
        if revision_of(response) < self.known() || cluster != self.cluster {
            // Behind the others, or restored from an older state: its whole list shows which.
            return Transition::to(self.read_list());
        }
        self.reconnect.succeeded();
        Transition::to(Step::AwaitResponse)
    }

    fn progress(&mut self, revision: u64) -> Result<Update, ProtocolError> {
        let known = self.known();
        if revision < known {
            return Err(ProtocolError::EndpointBehind { revision, known });
        }
        self.known_revision = Some(revision);
        Ok(Update::Progress { revision })
    }

    fn changes(&mut self) -> Update {
        let events = std::mem::take(&mut self.fragments);
        let mut changes = Vec::with_capacity(events.len());
        let mut newest = self.known();
        for event in events {
            let deleted = event.r#type() == Kind::Delete;
            let Some(pair) = event.kv else { continue };
            let revision = u64::try_from(pair.mod_revision).unwrap_or(0);
            newest = newest.max(revision);
            if let Some(key) = self.keys.classify(&pair.key) {
                let value = (!deleted).then(|| pair.value.to_vec());
                changes.push(KeyChange { revision, key, value });
            }
        }
        self.known_revision = Some(newest);
        Update::Changes(changes)
    }

    fn known(&self) -> u64 {
        self.known_revision.unwrap_or(0)
    }
}

fn revision_of(response: &WatchResponse) -> u64 {
    response.header.map_or(0, |header| header.revision.max(0) as u64)
}
