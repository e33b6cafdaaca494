//! Which version of the endpoint list a proxy has, and how far it trusts one that is lower. Decides
//! without I/O or a clock.
//!
//! Versions only grow as long as the list lives. A lower one comes from an outdated answer, or from
//! a list that has started again, which may have begun from an old state: it then knows servers as
//! ready that are draining.

use chalkwalk_time::{Span, Timestamp};

/// So many outdated answers in a row are not outdated: the list has started again.
const OUTDATED_ANSWERS: u32 = 3;
/// A list that has started again is applied, but for so long it brings no server back that was
/// notified as draining or gone. Longer than a deploy takes; after it the list is believed in that
/// as well.
const DOUBTED: Span = Span::from_secs(60);

/// The version that a proxy has.
#[derive(Default)]
pub(crate) struct ListState {
    version: u64,
    /// The highest that the list has had, as far as it is believed.
    highest: u64,
    /// How many outdated answers came in a row.
    outdated_answers: u32,
    /// Since when its versions are below the highest.
    doubted_since: Option<Timestamp>,
}

impl ListState {
    pub fn new(version: u64) -> ListState {
        ListState { version, highest: version, ..ListState::default() }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether an answer of this version is outdated; it is counted as such.
    pub fn is_outdated(&mut self, version: u64) -> bool {
        let outdated = version < self.version && self.outdated_answers < OUTDATED_ANSWERS;
        self.outdated_answers += u32::from(outdated);
        outdated
    }

    /// Whether a list of this version must bring no server back.
    pub fn is_doubted(&self, version: u64, now: Timestamp) -> bool {
        self.doubted_since(version, now).is_some()
    }

    /// A list of this version was applied.
    pub fn accept(&mut self, version: u64, now: Timestamp) {
        let doubted_since = self.doubted_since(version, now);
        let believed_though_lower = version < self.highest && doubted_since.is_none();
        self.highest = if believed_though_lower { version } else { self.highest.max(version) };
        self.version = version;
        self.doubted_since = doubted_since;
        self.outdated_answers = 0;
    }

    /// The list is elsewhere from now on and may have another history: whatever version it has is
    /// not outdated, though it is doubted where that is below the highest.
    pub fn move_elsewhere(&mut self) {
        self.version = 0;
        self.outdated_answers = 0;
    }

    /// Since when versions are below the highest, if this one is and the time of doubt is not over.
    fn doubted_since(&self, version: u64, now: Timestamp) -> Option<Timestamp> {
        let since = (version < self.highest).then(|| self.doubted_since.unwrap_or(now))?;
        (now < since + DOUBTED).then_some(since)
    }
}

#[cfg(test)]
mod tests;
