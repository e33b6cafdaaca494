//! The platform's endpoint list: its versions, the whole of it, and what changed since one.

use crate::clock::Micros;
use crate::model::timeline::{EndpointStatus, ListUpdate};

/// One server's entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    /// Which server; the origin is the one after the last.
    pub server: usize,
    /// Its status.
    pub status: EndpointStatus,
    /// When its process started; 0: long ago.
    pub started: Micros,
}

/// The list over a run.
pub struct ServerList {
    updates: Vec<ListUpdate>,
    servers: usize,
}

/// Every list begins with one version before its first change.
pub const FIRST_VERSION: u64 = 1;

/// How many changes a version includes.
fn changes_in(version: u64) -> usize {
    (version.max(FIRST_VERSION) - FIRST_VERSION) as usize
}

impl ServerList {
    /// Of so many servers and the origin, with its changes in order of time.
    pub fn new(servers: usize, updates: Vec<ListUpdate>) -> ServerList {
        ServerList { updates, servers }
    }

    /// The version at a moment.
    pub fn version(&self, now: Micros) -> u64 {
        FIRST_VERSION + self.updates.partition_point(|update| update.published <= now) as u64
    }

    /// The whole list as of a version, without servers that are gone.
    pub fn snapshot(&self, version: u64) -> Vec<ListedServer> {
        let first = |server| ListedServer { server, status: EndpointStatus::Ready, started: 0 };
        let mut entries: Vec<ListedServer> = (0..=self.servers).map(first).collect();
        for update in self.updates.iter().take(changes_in(version)) {
            let entry = &mut entries[update.server];
            entry.status = update.status;
            if update.status == EndpointStatus::Ready {
                entry.started = update.started;
            }
        }
        entries.retain(|entry| entry.status != EndpointStatus::Gone);
        entries
    }

    /// What changed after one version, up to another, in order.
    pub fn changes_since(&self, version: u64, to: u64) -> Vec<ListedServer> {
        let entry = |update: &ListUpdate| ListedServer {
            server: update.server,
            status: update.status,
            started: update.started,
        };
        let changes = self.updates.get(changes_in(version)..changes_in(to)).unwrap_or(&[]);
        changes.iter().map(entry).collect()
    }

    /// When there will be a newer version.
    pub fn next_change(&self, version: u64) -> Option<Micros> {
        self.updates.get(changes_in(version)).map(|update| update.published)
    }
}
