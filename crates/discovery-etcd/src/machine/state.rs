//! The state machine. It reads the whole list in pages and then opens a watch. After a lost
//! connection it resumes the watch, or reads the whole list again if the watch can't be resumed.

use super::keys::{KeyRange, KeySpace};
use super::reconnect::Reconnect;
use super::step::{ConnectAttempt, KeyChange, KeyValuePair, ListSnapshot, Step, Transition, Update};
use chalkwalk_etcd_wire::api::{Event, KeyValue, RangeResponse, WatchResponse, event::Kind};
use chalkwalk_membership::MAX_ENDPOINTS;
use chalkwalk_time::Span;

/// Maximum number of keys in the whole list, and of events in a fragmented watch response. It
/// allows for the maximum number of endpoints and as many proxies.
const MAX_KEYS: usize = 2 * MAX_ENDPOINTS;
/// Number of keys per page. A page takes some 300 kB, well below the 4 MiB that gRPC accepts by
/// default.
pub const PAGE_KEYS: i64 = 1000;

/// A response that is invalid, or that ends the watch. The connection must not be used after it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The whole list has too many keys.
    #[error("the whole list has more than {MAX_KEYS} keys")]
    TooManyKeys,
    /// A page is empty but announces further pages.
    #[error("a page is empty, but announces more keys")]
    EmptyPage,
    /// The revision of the list is negative.
    #[error("the revision of the list is negative")]
    NegativeRevision,
    /// The endpoint canceled the watch.
    #[error("watch canceled: {reason}")]
    WatchCanceled {
        /// The reason that the endpoint gives.
        reason: String,
    },
    /// A watch response, with all its fragments, has too many events.
    #[error("a watch response has more than {MAX_KEYS} events")]
    TooManyChanges,
    /// The endpoint's revision is older than the known one.
    #[error("the endpoint is at revision {revision}, behind the known revision {known_revision}")]
    EndpointBehind {
        /// The endpoint's revision.
        revision: u64,
        /// The revision up to which this proxy knows all changes.
        known_revision: u64,
    },
}

/// The state machine of one source.
#[derive(Debug)]
pub struct Machine {
    key_space: KeySpace,
    reconnect: Reconnect,
    /// All changes up to this revision are known; `None` until the whole list is accepted.
    known_revision: Option<u64>,
    /// The cluster that this revision belongs to. A cluster that is restored from a backup has
    /// another id.
    cluster_id: Option<u64>,
    /// The pairs in the pages of the whole list that were read so far.
    list_pairs: Vec<KeyValue>,
    /// The revision of the first page, at which all further pages are read too.
    list_revision: i64,
    /// The events in the fragments of a watch response that were received so far.
    fragment_events: Vec<Event>,
}

impl Machine {
    /// A machine that reads all keys with the prefix from `endpoint_count` endpoints. The seed must
    /// differ between proxies.
    pub fn new(prefix: &str, endpoint_count: usize, seed: u64) -> Machine {
        Machine {
            key_space: KeySpace::new(prefix),
            reconnect: Reconnect::new(endpoint_count, seed),
            known_revision: None,
            cluster_id: None,
            list_pairs: Vec::new(),
            list_revision: 0,
            fragment_events: Vec::new(),
        }
    }

    /// The range of keys that the machine reads.
    pub fn range(&self) -> KeyRange {
        self.key_space.range()
    }

    /// The first connection to open.
    pub fn first_attempt(&self) -> ConnectAttempt {
        self.reconnect.first_attempt()
    }

    /// Notifies the machine that a connection is open.
    pub fn connected(&mut self) -> Step {
        self.discard_partial();
        match self.known_revision {
            Some(known_revision) => Step::OpenWatch { start_revision: known_revision as i64 + 1 },
            None => self.read_list(),
        }
    }

    /// Notifies the machine that the connection, or a call on it, failed `elapsed` after the
    /// attempt started.
    pub fn connection_failed(&mut self, elapsed: Span) -> ConnectAttempt {
        self.reconnect.after_failure(elapsed)
    }

    /// Notifies the machine that the whole list of this endpoint was rejected as older than the
    /// known one.
    pub fn list_rejected(&mut self) -> ConnectAttempt {
        self.reconnect.after_rejected_list()
    }

    /// Notifies the machine that the whole list at this revision was accepted.
    pub fn list_accepted(&mut self, revision: u64) {
        self.known_revision = Some(revision);
    }

    /// Processes a page of the whole list.
    pub fn page_received(&mut self, page: RangeResponse) -> Result<Transition, ProtocolError> {
        if self.list_pairs.is_empty() {
            self.list_revision = page.header.map_or(0, |header| header.revision);
        }
        let last_key = page.kvs.last().map(|pair| pair.key.to_vec());
        self.list_pairs.extend(page.kvs);
        if self.list_pairs.len() > MAX_KEYS {
            return Err(ProtocolError::TooManyKeys);
        }
        if page.more {
            let mut start_key = last_key.ok_or(ProtocolError::EmptyPage)?;
            // The last key with a zero byte appended is its direct successor.
            start_key.push(0);
            return Ok(Transition::without_update(Step::ReadPage {
                start_key,
                revision: self.list_revision,
            }));
        }
        self.list_complete(page.header.map_or(0, |header| header.cluster_id))
    }

    /// Processes a response on the watch.
    pub fn watch_response(&mut self, response: WatchResponse) -> Result<Transition, ProtocolError> {
        if response.canceled {
            return self.watch_canceled(response);
        }
        if response.created {
            return Ok(self.watch_created(&response));
        }
        let revision = revision_of(&response);
        self.fragment_events.extend(response.events);
        if self.fragment_events.len() > MAX_KEYS {
            return Err(ProtocolError::TooManyChanges);
        }
        if response.fragment {
            return Ok(Transition::without_update(Step::AwaitResponse));
        }
        let update = if self.fragment_events.is_empty() {
            self.record_progress(revision)?
        } else {
            self.take_changes()
        };
        Ok(Transition { update, next: Step::AwaitResponse })
    }

    fn discard_partial(&mut self) {
        self.list_pairs.clear();
        self.fragment_events.clear();
    }

    fn read_list(&mut self) -> Step {
        self.known_revision = None;
        self.discard_partial();
        Step::ReadPage { start_key: self.key_space.range().start, revision: 0 }
    }

    fn list_complete(&mut self, cluster_id: u64) -> Result<Transition, ProtocolError> {
        let revision = u64::try_from(self.list_revision).map_err(|_| ProtocolError::NegativeRevision)?;
        let list_pairs = std::mem::take(&mut self.list_pairs);
        let classify_pair = |pair: KeyValue| {
            let key = self.key_space.classify(&pair.key)?;
            Some(KeyValuePair { key, value: pair.value.to_vec() })
        };
        let pairs = list_pairs.into_iter().filter_map(classify_pair).collect();
        let previous_cluster_id = self.cluster_id.replace(cluster_id);
        let cluster_changed = previous_cluster_id.is_some_and(|previous| previous != cluster_id);
        Ok(Transition {
            update: Update::List(ListSnapshot { revision, cluster_changed, pairs }),
            next: Step::OpenWatch { start_revision: revision as i64 + 1 },
        })
    }

    fn watch_canceled(&mut self, response: WatchResponse) -> Result<Transition, ProtocolError> {
        if response.compact_revision > 0 {
            // etcd has compacted the history from the watch's start on, so the whole list must be
            // read.
            return Ok(Transition::without_update(self.read_list()));
        }
        Err(ProtocolError::WatchCanceled { reason: response.cancel_reason })
    }

    fn watch_created(&mut self, response: &WatchResponse) -> Transition {
        let cluster_id = response.header.map(|header| header.cluster_id);
        if revision_of(response) < self.known_revision() || cluster_id != self.cluster_id {
            // The endpoint lags behind the others, or its cluster was restored from an older state.
            // Its whole list shows which of the two is the case.
            return Transition::without_update(self.read_list());
        }
        self.reconnect.succeeded();
        Transition::without_update(Step::AwaitResponse)
    }

    /// Records that there are no further changes up to this revision.
    fn record_progress(&mut self, revision: u64) -> Result<Update, ProtocolError> {
        let known_revision = self.known_revision();
        if revision < known_revision {
            return Err(ProtocolError::EndpointBehind { revision, known_revision });
        }
        self.known_revision = Some(revision);
        Ok(Update::Progress { revision })
    }

    fn take_changes(&mut self) -> Update {
        let events = std::mem::take(&mut self.fragment_events);
        let mut changes = Vec::with_capacity(events.len());
        let mut max_revision = self.known_revision();
        for event in events {
            let deleted = event.r#type() == Kind::Delete;
            let Some(pair) = event.kv else { continue };
            let revision = u64::try_from(pair.mod_revision).unwrap_or(0);
            max_revision = max_revision.max(revision);
            if let Some(key) = self.key_space.classify(&pair.key) {
                let value = (!deleted).then(|| pair.value.to_vec());
                changes.push(KeyChange { revision, key, value });
            }
        }
        self.known_revision = Some(max_revision);
        Update::Changes(changes)
    }

    fn known_revision(&self) -> u64 {
        self.known_revision.unwrap_or(0)
    }
}

fn revision_of(response: &WatchResponse) -> u64 {
    response.header.map_or(0, |header| header.revision.max(0) as u64)
}
