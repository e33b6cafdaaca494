//! The order of a source's revisions, and whether its list is stale: older than one that was known,
//! or of another history.
//!
//! While a list is stale, drains in it are applied, but nothing that is out of service comes back
//! by it, and nothing goes because it is missing.

use chalkwalk_time::{Span, Timestamp};

/// So many older lists in a row are rejected; the next one is the truth: the source has been
/// restarted, or was restored.
const REJECTED_OLDER_LISTS: u32 = 3;
/// After so long a stale list is trusted like any other; longer than a deploy takes.
const STALE_FOR: Span = Span::from_secs(60);

/// What is known of a source's revisions.
#[derive(Debug, Default)]
pub(super) struct SourceHistory {
    revision: u64,
    /// The highest revision that was ever known of this history.
    highest: u64,
    older_in_a_row: u32,
    /// Since when its revisions are below the highest, or of another history.
    stale_since: Option<Timestamp>,
    /// The history is another than before: no revision ends the staleness, only time.
    history_changed: bool,
}

impl SourceHistory {
    /// As of which revision the list is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the list is stale.
    pub fn is_stale(&self) -> bool {
        self.stale_since.is_some()
    }

    /// When the list is trusted again.
    pub fn stale_until(&self) -> Option<Timestamp> {
        self.stale_since.map(|since| since + STALE_FOR)
    }

    /// Whether a list of this revision is older than the one that is known, and not one of several
    /// in a row. Counts it if so.
    pub fn rejects(&mut self, revision: u64) -> bool {
        let rejected = revision < self.revision && self.older_in_a_row < REJECTED_OLDER_LISTS;
        if rejected {
            self.older_in_a_row += 1;
        }
        rejected
    }

    /// A list of this revision is accepted. Whether it makes the state stale from now on.
    pub fn accept_list(&mut self, now: Timestamp, revision: u64) -> bool {
        self.older_in_a_row = 0;
        self.revision = revision;
        if revision >= self.highest {
            self.caught_up();
            return false;
        }
        let newly_stale = self.stale_since.is_none();
        if newly_stale {
            self.stale_since = Some(now);
        }
        newly_stale
    }

    /// A change of this revision is accepted.
    pub fn accept_change(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.older_in_a_row = 0;
    }

    /// All changes of a batch are accepted.
    pub fn changes_accepted(&mut self) {
        if self.revision >= self.highest {
            self.caught_up();
        }
    }

    /// Nothing changed up to this revision.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.highest = self.highest.max(revision);
    }

    /// The revisions to come are of another history.
    pub fn restart(&mut self, now: Timestamp) {
        self.revision = 0;
        self.highest = 0;
        self.older_in_a_row = 0;
        self.stale_since = Some(now);
        self.history_changed = true;
    }

    /// Ends the staleness once its time is over.
    pub fn tick(&mut self, now: Timestamp) {
        if self.stale_until().is_some_and(|until| now >= until) {
            self.stale_since = None;
            self.history_changed = false;
            self.highest = self.revision;
        }
    }

    fn caught_up(&mut self) {
        self.highest = self.revision;
        if !self.history_changed {
            self.stale_since = None;
        }
    }
}
