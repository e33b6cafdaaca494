//! The reconciler: applies lists and changes in the order of their revisions.

use super::endpoint_state::{EndpointState, SourceTrust};
use super::history::SourceHistory;
use super::mass_removal::mark_absent;
use super::{EndpointChange, ListUpdate, ReconcileEvent, RevisionedChange, SourceKind};
use crate::{ListEntry, ListedEndpoint, MAX_ENDPOINTS};
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::Timestamp;
use std::collections::BTreeMap;

/// Endpoints that are remembered at most: a full list, and as many that are gone.
const MAX_REMEMBERED: usize = 2 * MAX_ENDPOINTS;

/// Why a list is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// It is above [`MAX_ENDPOINTS`].
    #[error("a list of {0} caches is above {MAX_ENDPOINTS}")]
    TooLong(usize),
    /// A newer one is known.
    #[error("an old list, {revision} after {known}")]
    Outdated {
        /// That of the rejected list.
        revision: u64,
        /// As of which the list is known.
        known: u64,
    },
}

/// The state of one source's list.
#[derive(Debug)]
pub struct Reconciler {
    source: SourceKind,
    endpoints: BTreeMap<String, EndpointState>,
    /// Whether a list was accepted.
    has_list: bool,
    history: SourceHistory,
}

impl Reconciler {
    /// A source that has not reported anything yet.
    pub fn new(source: SourceKind) -> Reconciler {
        let history = SourceHistory::default();
        Reconciler { source, endpoints: BTreeMap::new(), has_list: false, history }
    }

    /// The source's history is another from now on, as where a cluster was restored from a backup:
    /// its revisions can't be compared with the earlier ones, and its list is stale for a while.
    pub fn history_changed(&mut self, now: Timestamp) {
        if self.has_list {
            self.history.restart(now);
        }
    }

    /// As of which revision it has the list.
    pub fn revision(&self) -> u64 {
        self.history.revision()
    }

    /// Applies the whole list as of a revision. On an error nothing of it is applied but drains,
    /// which `tick` publishes.
    pub fn apply_list(
        &mut self,
        now: Timestamp,
        revision: u64,
        entries: Vec<ListEntry>,
    ) -> Result<ListUpdate, ListError> {
        if entries.len() > MAX_ENDPOINTS {
            return Err(ListError::TooLong(entries.len()));
        }
        if self.history.rejects(revision) {
            self.apply_drains(&entries);
            return Err(ListError::Outdated { revision, known: self.history.revision() });
        }
        let mut update = ListUpdate { replaces_all: !self.has_list, ..ListUpdate::default() };
        self.has_list = true;
        if self.history.accept_list(now, revision) {
            update.events.push(ReconcileEvent::StaleListAccepted);
        }
        self.expire(now);
        self.endpoints.values_mut().for_each(EndpointState::unlist);
        for entry in entries {
            self.put(entry);
        }
        self.publish(now, &mut update);
        Ok(update)
    }

    /// Applies changes in order; what is not newer than what is known is ignored.
    pub fn apply_changes(&mut self, now: Timestamp, changes: Vec<RevisionedChange>) -> ListUpdate {
        let mut update = ListUpdate::default();
        self.expire(now);
        // Changes of one revision came about together: compared with the revision before all of
        // them.
        let known = self.history.revision();
        for RevisionedChange { revision, change } in changes {
            if revision <= known {
                continue;
            }
            self.history.accept_change(revision);
            match change {
                EndpointChange::Put(entry) if self.endpoints.len() < MAX_REMEMBERED => self.put(entry),
                EndpointChange::Put(_) => update.events.push(ReconcileEvent::EndpointLimitReached),
                EndpointChange::Removed(id) => {
                    if let Some(endpoint) = self.endpoints.get_mut(&id) {
                        endpoint.unlist();
                    }
                }
            }
        }
        self.history.changes_accepted();
        self.publish(now, &mut update);
        update
    }

    /// There are no further changes up to this revision, as a progress notification says.
    pub fn advance_to(&mut self, revision: u64) {
        self.history.advance_to(revision);
    }

    /// When `tick` has something to do.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let of_endpoints = self.endpoints.values().filter_map(EndpointState::next_deadline);
        of_endpoints.chain(self.history.stale_until()).min()
    }

    /// What time alone changes.
    pub fn tick(&mut self, now: Timestamp) -> ListUpdate {
        let mut update = ListUpdate::default();
        self.expire(now);
        self.publish(now, &mut update);
        update
    }

    /// The list as the engine was notified of it, without what is gone.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.endpoints.values().filter_map(EndpointState::published).cloned().collect()
    }

    /// A stale list is trusted in the end, and what is long gone is forgotten.
    fn expire(&mut self, now: Timestamp) {
        self.history.tick(now);
        self.endpoints.retain(|_, endpoint| endpoint.is_remembered(now));
    }

    /// Drains hold out of whatever list.
    fn apply_drains(&mut self, entries: &[ListEntry]) {
        let drained = entries.iter().map(|entry| &entry.endpoint);
        for drained in drained.filter(|endpoint| endpoint.status == EndpointStatus::Draining) {
            if let Some(endpoint) = self.endpoints.get_mut(&drained.id) {
                endpoint.drain(drained.born);
            }
        }
    }

    fn put(&mut self, entry: ListEntry) {
        match self.endpoints.get_mut(&entry.endpoint.id) {
            Some(endpoint) => endpoint.put(entry),
            None => _ = self.endpoints.insert(entry.endpoint.id.clone(), EndpointState::new(entry)),
        }
    }

    fn publish(&mut self, now: Timestamp, update: &mut ListUpdate) {
        if mark_absent(&mut self.endpoints, now, self.history.stale_until()) {
            update.events.push(ReconcileEvent::MassRemovalSuspected);
        }
        let trust = SourceTrust { kind: self.source, stale: self.history.is_stale() };
        for endpoint in self.endpoints.values_mut() {
            let published = endpoint.publish(now, trust, update.replaces_all, &mut update.events);
            update.endpoints.extend(published);
        }
    }
}
