//! The reconciler: applies lists and changes in the order of their revisions.

use super::endpoint_state::{EndpointState, SourceTrust};
use super::history::SourceHistory;
use super::mass_removal::mark_absent;
use super::{EndpointChange, ListUpdate, ReconcileEvent, RevisionedChange, SourceKind};
use crate::{ListEntry, ListedEndpoint, MAX_ENDPOINTS};
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::Timestamp;
use std::collections::BTreeMap;

/// The maximum number of endpoints that are remembered: a full list, and as many that are gone.
const MAX_REMEMBERED: usize = 2 * MAX_ENDPOINTS;

/// Why a list is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The list has more than [`MAX_ENDPOINTS`] entries.
    #[error("the list has {0} caches, and at most {MAX_ENDPOINTS} are allowed")]
    TooLong(usize),
    /// The list is older than the current one.
    #[error("outdated list: revision {revision} is older than the current revision {current_revision}")]
    Outdated {
        /// The revision of the rejected list.
        revision: u64,
        /// The revision of the current list.
        current_revision: u64,
    },
}

/// Reconciles the lists and changes that one source reports.
#[derive(Debug)]
pub struct Reconciler {
    source_kind: SourceKind,
    endpoints: BTreeMap<String, EndpointState>,
    /// Whether a list has been accepted.
    has_list: bool,
    history: SourceHistory,
}

impl Reconciler {
    /// Creates a reconciler for a source that has not reported anything yet.
    pub fn new(source_kind: SourceKind) -> Reconciler {
        let history = SourceHistory::default();
        Reconciler { source_kind, endpoints: BTreeMap::new(), has_list: false, history }
    }

    /// Records that the source has a new history, for example after a cluster was restored from a
    /// backup. Its revisions can't be compared with the earlier ones, and its list counts as stale
    /// for a while.
    pub fn history_changed(&mut self, now: Timestamp) {
        if self.has_list {
            self.history.start_new_history(now);
        }
    }

    /// The revision of the current list.
    pub fn revision(&self) -> u64 {
        self.history.revision()
    }

    /// Applies a full list of the given revision. If the list is outdated, only its drains are
    /// applied, and the next `tick` publishes them.
    pub fn apply_list(
        &mut self,
        now: Timestamp,
        revision: u64,
        entries: Vec<ListEntry>,
    ) -> Result<ListUpdate, ListError> {
        if entries.len() > MAX_ENDPOINTS {
            return Err(ListError::TooLong(entries.len()));
        }
        if self.history.reject_if_older(revision) {
            self.apply_drains(&entries);
            return Err(ListError::Outdated { revision, current_revision: self.history.revision() });
        }
        let mut update = ListUpdate { replaces_all: !self.has_list, ..ListUpdate::default() };
        self.has_list = true;
        if self.history.accept_list(now, revision) {
            update.events.push(ReconcileEvent::StaleListAccepted);
        }
        self.expire(now);
        self.endpoints.values_mut().for_each(EndpointState::mark_unlisted);
        for entry in entries {
            self.put(entry);
        }
        self.publish(now, &mut update);
        Ok(update)
    }

    /// Applies changes in order; those that are not newer than the current revision are ignored.
    pub fn apply_changes(&mut self, now: Timestamp, changes: Vec<RevisionedChange>) -> ListUpdate {
        let mut update = ListUpdate::default();
        self.expire(now);
        // Several changes may share a revision, so each is compared with the revision before the
        // batch.
        let current_revision = self.history.revision();
        for RevisionedChange { revision, change } in changes {
            if revision <= current_revision {
                continue;
            }
            self.history.accept_change(revision);
            match change {
                EndpointChange::Put(entry) if self.endpoints.len() < MAX_REMEMBERED => self.put(entry),
                EndpointChange::Put(_) => update.events.push(ReconcileEvent::EndpointLimitReached),
                EndpointChange::Removed(id) => {
                    if let Some(endpoint) = self.endpoints.get_mut(&id) {
                        endpoint.mark_unlisted();
                    }
                }
            }
        }
        self.history.finish_changes();
        self.publish(now, &mut update);
        update
    }

    /// Records that there are no further changes up to this revision, as a progress notification
    /// reports.
    pub fn advance_to(&mut self, revision: u64) {
        self.history.advance_to(revision);
    }

    /// When `tick` next has to be called, if at all.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let endpoint_deadlines = self.endpoints.values().filter_map(EndpointState::next_deadline);
        endpoint_deadlines.chain(self.history.stale_until()).min()
    }

    /// Applies the changes that are due through the passage of time alone.
    pub fn tick(&mut self, now: Timestamp) -> ListUpdate {
        let mut update = ListUpdate::default();
        self.expire(now);
        self.publish(now, &mut update);
        update
    }

    /// Returns the endpoints as the engine was last notified of them, except those that are gone.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.endpoints.values().filter_map(EndpointState::published).cloned().collect()
    }

    /// Ends the list's staleness when it is due, and removes the endpoints that no longer have to
    /// be remembered.
    fn expire(&mut self, now: Timestamp) {
        self.history.tick(now);
        self.endpoints.retain(|_, endpoint| endpoint.is_remembered(now));
    }

    /// Applies the drains of a rejected list, because a drain is valid in an outdated list too.
    fn apply_drains(&mut self, entries: &[ListEntry]) {
        let drained = entries.iter().map(|entry| &entry.endpoint);
        for drained in drained.filter(|endpoint| endpoint.status == EndpointStatus::Draining) {
            if let Some(endpoint) = self.endpoints.get_mut(&drained.id) {
                endpoint.drain(drained.started_at);
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
        let trust = SourceTrust { kind: self.source_kind, stale: self.history.is_stale() };
        for endpoint in self.endpoints.values_mut() {
            let published = endpoint.publish(now, trust, update.replaces_all, &mut update.events);
            update.endpoints.extend(published);
        }
    }
}
