//! Tracks the version of the endpoint list that a proxy has, and decides whether a list of a lower
//! version is accepted and trusted. It performs no I/O and reads no clock.
//!
//! The discovery service only ever increases the version of its list. A lower version comes from an
//! outdated response, or from a service that was restarted, possibly with an old state of the list.
//! Such a list may name servers as ready that are draining.

use chalkwalk_time::{Span, Timestamp};

/// The number of consecutive responses that are rejected as outdated. After them, a lower version
/// means that the service was restarted.
const MAX_OUTDATED_RESPONSES: u32 = 3;
/// How long the list of a restarted service is untrusted: it is applied, but does not return
/// servers to service that were notified as draining or gone. This is longer than a deploy takes.
/// Afterwards the list is fully trusted.
const UNTRUSTED_DURATION: Span = Span::from_secs(60);

/// The version of the list that a proxy has.
#[derive(Default)]
pub(crate) struct ListState {
    version: u64,
    /// The highest version of the list that was trusted.
    max_version: u64,
    /// The number of consecutive outdated responses.
    outdated_responses: u32,
    /// Since when the versions are below the highest one; `None` if the list is trusted.
    untrusted_since: Option<Timestamp>,
}

impl ListState {
    /// Creates the state of a proxy whose list has this version; 0 if it has no list.
    pub fn new(version: u64) -> ListState {
        ListState { version, max_version: version, ..ListState::default() }
    }

    /// The version of the list that was last applied; 0 after the address has changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether a response of this version is outdated, and counts it if so.
    pub fn is_outdated(&mut self, version: u64) -> bool {
        let outdated = version < self.version && self.outdated_responses < MAX_OUTDATED_RESPONSES;
        self.outdated_responses += u32::from(outdated);
        outdated
    }

    /// Whether a list of this version is untrusted and must not return servers to service.
    pub fn is_untrusted(&self, version: u64, now: Timestamp) -> bool {
        self.untrusted_since(version, now).is_some()
    }

    /// Records that a list of this version was applied.
    pub fn accept(&mut self, version: u64, now: Timestamp) {
        let untrusted_since = self.untrusted_since(version, now);
        let trusted_though_lower = version < self.max_version && untrusted_since.is_none();
        self.max_version = if trusted_though_lower { version } else { self.max_version.max(version) };
        self.version = version;
        self.untrusted_since = untrusted_since;
        self.outdated_responses = 0;
    }

    /// Records that the address of the discovery service changed, so the list may have another
    /// history. No version counts as outdated then, but one below the highest is untrusted.
    pub fn reset_for_new_address(&mut self) {
        self.version = 0;
        self.outdated_responses = 0;
    }

    /// Since when versions are below the highest one, if this version is and [`UNTRUSTED_DURATION`]
    /// has not passed.
    fn untrusted_since(&self, version: u64, now: Timestamp) -> Option<Timestamp> {
        let untrusted_since = (version < self.max_version).then(|| self.untrusted_since.unwrap_or(now))?;
        (now < untrusted_since + UNTRUSTED_DURATION).then_some(untrusted_since)
    }
}

#[cfg(test)]
mod tests;
