//! Retains servers that are missing from the list without a drain, where too much of the fleet is
//! missing at once.

use super::endpoint_state::EndpointState;
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

/// At least half of the servers gone unannounced within so long is more likely an error of the
/// list, or of the leases behind it, than of the servers.
const WINDOW: Span = Span::from_secs(10);
/// It is believed after as long as an operator needs to look, or a source to mend itself.
const RETAINED_FOR: Span = Span::from_secs(30);
/// Of fewer servers than these no half means anything.
const MIN_FLEET: usize = 3;

/// That a server in service is no longer listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    since: Timestamp,
    /// Until then it stays in service all the same.
    pub retained_until: Timestamp,
}

impl Absence {
    /// Whether it counts for whether too many are missing at once.
    fn is_recent(&self, now: Timestamp) -> bool {
        now < (self.since + WINDOW).max(self.retained_until)
    }
}

/// Marks servers in service that are no longer listed: they go at once, or are retained while the
/// list is stale or a mass removal is suspected. Whether new ones make up such a suspicion.
pub(super) fn mark_absent(
    endpoints: &mut BTreeMap<String, EndpointState>,
    now: Timestamp,
    stale_until: Option<Timestamp>,
) -> bool {
    for endpoint in endpoints.values_mut() {
        endpoint.clear_ended_absence();
    }
    let newly_absent = endpoints.values().filter(|endpoint| endpoint.is_newly_absent()).count();
    let suspected = is_mass_removal(endpoints, now, newly_absent);
    let retained_until = match stale_until {
        Some(until) => until,
        None if suspected => now + RETAINED_FOR,
        None => now,
    };
    for endpoint in endpoints.values_mut().filter(|endpoint| endpoint.is_newly_absent()) {
        endpoint.absence = Some(Absence { since: now, retained_until });
    }
    newly_absent > 0 && suspected
}

fn is_mass_removal(endpoints: &BTreeMap<String, EndpointState>, now: Timestamp, newly_absent: usize) -> bool {
    let is_recent =
        |endpoint: &&EndpointState| endpoint.absence.is_some_and(|absence| absence.is_recent(now));
    let in_service = endpoints.values().filter(|endpoint| endpoint.is_in_service()).count();
    let recently_absent = endpoints.values().filter(is_recent).count();
    let recently_gone =
        endpoints.values().filter(is_recent).filter(|endpoint| !endpoint.is_in_service()).count();
    let fleet = in_service + recently_gone;
    fleet >= MIN_FLEET && (newly_absent + recently_absent) * 2 > fleet
}
