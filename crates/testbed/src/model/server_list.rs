//! The platform's endpoint list: its versions, snapshots, and the changes between versions.

use crate::clock::Micros;
use crate::model::timeline::{EndpointStatus, ListUpdate};

/// One server's entry in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    /// The server's index; the origin's index is the one after the last server's.
    pub server: usize,
    /// The server's status.
    pub status: EndpointStatus,
    /// When its process started; 0 if it started before the run.
    pub started_at: Micros,
}

/// The endpoint list over a run.
pub struct ServerList {
    updates: Vec<ListUpdate>,
    servers: usize,
}

/// The version of the list before its first change.
pub const FIRST_VERSION: u64 = 1;

/// The number of changes that a version includes.
fn change_count(version: u64) -> usize {
    (version.max(FIRST_VERSION) - FIRST_VERSION) as usize
}

impl ServerList {
    /// A list of that many servers and the origin; `updates` are its changes in order of time.
    pub fn new(servers: usize, updates: Vec<ListUpdate>) -> ServerList {
        ServerList { updates, servers }
    }

    /// The version at a point in time.
    pub fn version(&self, now: Micros) -> u64 {
        FIRST_VERSION + self.updates.partition_point(|update| update.published_at <= now) as u64
    }

    /// The whole list as of a version, without servers that are gone.
    pub fn snapshot(&self, version: u64) -> Vec<ListedServer> {
        let initial_entry = |server| ListedServer { server, status: EndpointStatus::Ready, started_at: 0 };
        let mut entries: Vec<ListedServer> = (0..=self.servers).map(initial_entry).collect();
        for update in self.updates.iter().take(change_count(version)) {
            let entry = &mut entries[update.server];
            entry.status = update.status;
            if update.status == EndpointStatus::Ready {
                entry.started_at = update.started_at;
            }
        }
        entries.retain(|entry| entry.status != EndpointStatus::Gone);
        entries
    }

    /// The changes after one version, up to and including another, in order.
    pub fn changes_since(&self, from_version: u64, to_version: u64) -> Vec<ListedServer> {
        let entry = |update: &ListUpdate| ListedServer {
            server: update.server,
            status: update.status,
            started_at: update.started_at,
        };
        let changes = self.updates.get(change_count(from_version)..change_count(to_version)).unwrap_or(&[]);
        changes.iter().map(entry).collect()
    }

    /// When the next version after this one is published, if there is one.
    pub fn next_change(&self, version: u64) -> Option<Micros> {
        self.updates.get(change_count(version)).map(|update| update.published_at)
    }
}
