//! Lists and changes in few words.

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_membership::reconcile::{EndpointChange, RevisionedChange};
use chalkwalk_membership::{ListEntry, ListedEndpoint};
use chalkwalk_time::Timestamp;

/// A second, in ticks: the tests count in them.
pub const S: u64 = 10_000;

/// So many ticks after the beginning.
pub fn at(ticks: u64) -> Timestamp {
    Timestamp::from_ticks(ticks)
}

/// An endpoint of the process that started then.
pub fn endpoint(id: &str, status: EndpointStatus, born: u64) -> ListedEndpoint {
    let addr = "127.0.0.1:3000".parse().unwrap();
    ListedEndpoint {
        id: id.into(),
        addr,
        zone: "n".into(),
        kind: String::new(),
        cell: 0,
        size: 100,
        status,
        born: at(born),
    }
}

/// An entry in service.
pub fn ready(id: &str, born: u64) -> ListEntry {
    endpoint(id, EndpointStatus::Ready, born).into()
}

/// An entry that drains.
pub fn draining(id: &str, born: u64) -> ListEntry {
    endpoint(id, EndpointStatus::Draining, born).into()
}

/// An endpoint is listed as of a revision.
pub fn put(revision: u64, entry: ListEntry) -> RevisionedChange {
    RevisionedChange { revision, change: EndpointChange::Put(entry) }
}

/// An endpoint is no longer listed as of a revision.
pub fn removed(revision: u64, id: &str) -> RevisionedChange {
    RevisionedChange { revision, change: EndpointChange::Removed(id.into()) }
}
