//! Short constructors for list entries and changes.

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_membership::reconcile::{EndpointChange, RevisionedChange};
use chalkwalk_membership::{ListEntry, ListedEndpoint};
use chalkwalk_time::Timestamp;

/// One second in ticks, the unit of the times in these tests.
pub const SECOND: u64 = 10_000;

/// The timestamp this many ticks after zero.
pub fn at_ticks(ticks: u64) -> Timestamp {
    Timestamp::from_ticks(ticks)
}

/// An endpoint whose process started at `started_at` ticks.
pub fn endpoint(id: &str, status: EndpointStatus, started_at: u64) -> ListedEndpoint {
    let address = "127.0.0.1:3000".parse().unwrap();
    ListedEndpoint {
        id: id.into(),
        address,
        zone: "n".into(),
        kind: String::new(),
        cell: 0,
        weight_hundredths: 100,
        status,
        started_at: at_ticks(started_at),
    }
}

/// An entry of a server in service.
pub fn ready(id: &str, started_at: u64) -> ListEntry {
    endpoint(id, EndpointStatus::Ready, started_at).into()
}

/// An entry of a draining server.
pub fn draining(id: &str, started_at: u64) -> ListEntry {
    endpoint(id, EndpointStatus::Draining, started_at).into()
}

/// A change that lists an endpoint as of a revision.
pub fn put(revision: u64, entry: ListEntry) -> RevisionedChange {
    RevisionedChange { revision, change: EndpointChange::Put(entry) }
}

/// A change that removes an endpoint as of a revision.
pub fn removed(revision: u64, id: &str) -> RevisionedChange {
    RevisionedChange { revision, change: EndpointChange::Removed(id.into()) }
}
