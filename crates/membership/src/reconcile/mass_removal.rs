//! Retains servers that are missing from the list without a drain, if too much of the fleet is
//! missing at once.

use super::endpoint_state::EndpointState;
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

/// If more than half of the servers disappear without a drain within this time, the cause is more
/// likely a fault of the list, or of the leases behind it, than of the servers.
const WINDOW: Span = Span::from_secs(10);
/// How long the missing servers are retained before their removal takes effect. It is long enough
/// for an operator to investigate or for a source to recover.
const RETENTION: Span = Span::from_secs(30);
/// The minimum number of servers for a suspicion. In a smaller fleet, the share of missing servers
/// does not indicate a fault of the list.
const MIN_FLEET_SIZE: usize = 3;

/// Records that a server in service is no longer listed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    absent_since: Timestamp,
    /// The time until which the server stays in service.
    pub retained_until: Timestamp,
}

impl Absence {
    /// Whether this absence counts towards a mass removal.
    fn is_recent(&self, now: Timestamp) -> bool {
        now < (self.absent_since + WINDOW).max(self.retained_until)
    }
}

/// Marks servers in service that are no longer listed. They are removed immediately, or retained
/// while the list is stale or a mass removal is suspected. Returns whether a mass removal is
/// suspected because of newly absent servers.
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
        Some(stale_until) => stale_until,
        None if suspected => now + RETENTION,
        None => now,
    };
    for endpoint in endpoints.values_mut().filter(|endpoint| endpoint.is_newly_absent()) {
        endpoint.absence = Some(Absence { absent_since: now, retained_until });
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
    fleet >= MIN_FLEET_SIZE && (newly_absent + recently_absent) * 2 > fleet
}
