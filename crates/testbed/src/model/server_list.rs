//! The platform's list: versions, the whole of it, and what changed since one.

use crate::clock::Micros;
use crate::model::timeline::{ListUpdate, SERVING};

/// What the list says of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    pub server: usize,
    pub state: &'static str,
    pub started: Micros,
}

pub struct ServerList {
    updates: Vec<ListUpdate>,
    servers: usize,
}

/// Every list begins with one version before its first change.
pub const FIRST_VERSION: u64 = 1;

impl ServerList {
    /// The origin is listed as the server after the last.
    pub fn new(servers: usize, updates: Vec<ListUpdate>) -> ServerList {
        ServerList { updates, servers }
    }

    pub fn version(&self, now: Micros) -> u64 {
        FIRST_VERSION + self.updates.partition_point(|n| n.published <= now) as u64
    }

    /// The whole list as of a version, without those that are gone.
    pub fn snapshot(&self, version: u64) -> Vec<ListedServer> {
        let mut entries: Vec<ListedServer> =
            (0..=self.servers).map(|server| ListedServer { server, state: SERVING, started: 0 }).collect();
        for n in self.updates.iter().take((version - FIRST_VERSION) as usize) {
            let started = if n.state == SERVING { n.started } else { entries[n.server].started };
            entries[n.server] = ListedServer { server: n.server, state: n.state, started };
        }
        entries.retain(|l| l.state != crate::model::timeline::DELETED);
        entries
    }

    /// What changed after one version, up to another, in order.
    pub fn changes_since(&self, version: u64, to: u64) -> Vec<ListedServer> {
        let part = (version.max(FIRST_VERSION) - FIRST_VERSION) as usize..(to - FIRST_VERSION) as usize;
        let entry = |n: &ListUpdate| ListedServer { server: n.server, state: n.state, started: n.started };
        self.updates.get(part).unwrap_or(&[]).iter().map(entry).collect()
    }

    /// When there will be something newer.
    pub fn next_change(&self, version: u64) -> Option<Micros> {
        self.updates.get((version.max(FIRST_VERSION) - FIRST_VERSION) as usize).map(|n| n.published)
    }
}
