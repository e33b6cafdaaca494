//! Tracks a source's revisions and decides whether its list is stale, which means that it is older
//! than an earlier list or belongs to another history.
//!
//! While the list is stale, its drains are applied, but it neither returns servers to service nor
//! removes servers that are missing from it.

use chalkwalk_time::{Span, Timestamp};

/// The number of consecutive older lists that are rejected. The next one is accepted, because the
/// source must have been restarted, or restored from a backup.
const MAX_REJECTED_LISTS: u32 = 3;
/// After this time a stale list is trusted like any other. It is longer than a deploy takes.
const STALE_DURATION: Span = Span::from_secs(60);

/// The state of a source's revisions.
#[derive(Debug, Default)]
pub(super) struct SourceHistory {
    revision: u64,
    /// The highest revision seen in this history. When a stale list becomes trusted again, it is
    /// reset to the current revision.
    max_revision: u64,
    consecutive_older_lists: u32,
    /// Since when the source's revisions are below the highest, or belong to another history.
    stale_since: Option<Timestamp>,
    /// Whether the list is stale because the source has a new history. This staleness ends only
    /// after [`STALE_DURATION`]; no revision ends it earlier.
    history_changed: bool,
}

impl SourceHistory {
    /// The revision of the current list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the list is stale.
    pub fn is_stale(&self) -> bool {
        self.stale_since.is_some()
    }

    /// When the list is trusted again, if it is stale.
    pub fn stale_until(&self) -> Option<Timestamp> {
        self.stale_since.map(|stale_since| stale_since + STALE_DURATION)
    }

    /// Returns whether to reject a list of this revision, because it is older than the current one
    /// and not too many lists in a row were rejected before. Counts the rejection.
    pub fn reject_if_older(&mut self, revision: u64) -> bool {
        let rejected = revision < self.revision && self.consecutive_older_lists < MAX_REJECTED_LISTS;
        if rejected {
            self.consecutive_older_lists += 1;
        }
        rejected
    }

    /// Accepts a list of this revision. Returns whether the list is stale and the one before was
    /// not.
    pub fn accept_list(&mut self, now: Timestamp, revision: u64) -> bool {
        self.consecutive_older_lists = 0;
        self.revision = revision;
        if revision >= self.max_revision {
            self.mark_caught_up();
            return false;
        }
        let newly_stale = self.stale_since.is_none();
        if newly_stale {
            self.stale_since = Some(now);
        }
        newly_stale
    }

    /// Accepts a change of this revision.
    pub fn accept_change(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.consecutive_older_lists = 0;
    }

    /// Updates the staleness after all changes of a batch were accepted.
    pub fn finish_changes(&mut self) {
        if self.revision >= self.max_revision {
            self.mark_caught_up();
        }
    }

    /// Records that there were no further changes up to this revision.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.max_revision = self.max_revision.max(revision);
    }

    /// Starts a new history, whose revisions can't be compared with earlier ones.
    pub fn start_new_history(&mut self, now: Timestamp) {
        self.revision = 0;
        self.max_revision = 0;
        self.consecutive_older_lists = 0;
        self.stale_since = Some(now);
        self.history_changed = true;
    }

    /// Ends the staleness once [`STALE_DURATION`] has passed.
    pub fn tick(&mut self, now: Timestamp) {
        if self.stale_until().is_some_and(|stale_until| now >= stale_until) {
            self.stale_since = None;
            self.history_changed = false;
            self.max_revision = self.revision;
        }
    }

    fn mark_caught_up(&mut self) {
        self.max_revision = self.revision;
        if !self.history_changed {
            self.stale_since = None;
        }
    }
}
