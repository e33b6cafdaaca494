//! The servers that endpoint lists describe, and the small indices by which the balancer identifies
//! them.

#[cfg(test)]
mod tests;

use crate::server_process::ServerProcess;
use chalkwalk_balancer::{Balancer, Endpoint, EndpointStatus, ServerIndex};
pub use chalkwalk_membership::ListedEndpoint;
use chalkwalk_time::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The changes that a list has made, as sorted server ids.
#[derive(Debug, Default, PartialEq)]
pub struct ListChanges {
    /// Servers that are now draining or gone.
    pub became_unavailable: Vec<String>,
    /// Servers that are now in service and were draining or gone before.
    pub became_available: Vec<String>,
}

/// An update of the endpoint list, as one of its sources has read it.
#[derive(Clone, Copy, Debug)]
pub struct ListUpdate<'a> {
    /// The endpoints, with their status.
    pub endpoints: &'a [ListedEndpoint],
    /// Whether the endpoints are the full list, so that a server missing from it is gone; otherwise
    /// they are only the changed ones.
    pub is_full: bool,
    /// Whether the list may be older than the one applied before it. Such a list does not put a
    /// server that was reported draining or gone back into service, unless the server has restarted
    /// since.
    pub may_be_stale: bool,
}

/// The data about a server that the engine itself needs.
struct ServerEntry {
    process: ServerProcess,
    /// When it was reported draining or gone, if it was.
    unavailable_since: Option<Timestamp>,
    /// The server as it was listed last.
    listed: ListedEndpoint,
}

/// The servers by id and by index.
#[derive(Default)]
pub struct ServerRegistry {
    entries: Vec<ServerEntry>,
    indices: HashMap<String, ServerIndex>,
    /// Indices of entries that belong to no server.
    free_indices: Vec<ServerIndex>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl ServerRegistry {
    /// Creates a registry without servers. Zones and kinds are numbered in the given order; zones
    /// that appear only in an endpoint list are appended.
    pub fn new(zones: &[String], kinds: &[String]) -> ServerRegistry {
        ServerRegistry { zones: zones.to_vec(), kinds: kinds.to_vec(), ..ServerRegistry::default() }
    }

    /// The process that serves at a server's address.
    pub fn process(&self, server: ServerIndex) -> Option<ServerProcess> {
        self.entries.get(server).map(|entry| entry.process)
    }

    /// The processes of all indices, in their order.
    pub fn processes(&self) -> Vec<ServerProcess> {
        self.entries.iter().map(|entry| entry.process).collect()
    }

    /// The servers in service at the given addresses, in the same order.
    pub fn in_service_at(&self, addrs: &[SocketAddr]) -> Vec<ServerIndex> {
        let in_service = |addr: &SocketAddr| {
            self.entries
                .iter()
                .position(|entry| entry.process.addr == *addr && entry.unavailable_since.is_none())
        };
        addrs.iter().filter_map(in_service).collect()
    }

    /// When a server was reported draining or gone, if it was.
    pub fn unavailable_since(&self, server: ServerIndex) -> Option<Timestamp> {
        self.entries.get(server)?.unavailable_since
    }

    /// Compares the servers that are draining or gone now with `was_unavailable`, the sorted
    /// indices of those that were before.
    pub fn changes_since(&self, was_unavailable: &[ServerIndex]) -> ListChanges {
        let mut changes = ListChanges::default();
        for (id, server) in &self.indices {
            let was_unavailable = was_unavailable.binary_search(server).is_ok();
            let is_unavailable = self.unavailable_since(*server).is_some();
            match (was_unavailable, is_unavailable) {
                (false, true) => changes.became_unavailable.push(id.clone()),
                (true, false) => changes.became_available.push(id.clone()),
                _ => {}
            }
        }
        changes.became_unavailable.sort_unstable();
        changes.became_available.sort_unstable();
        changes
    }

    /// The index of a server, if it has one.
    pub fn index_of(&self, id: &str) -> Option<ServerIndex> {
        self.indices.get(id).copied()
    }

    /// Whether the server of this endpoint is in service according to the lists so far, and has not
    /// restarted since the endpoint was read.
    pub fn is_ready(&self, endpoint: &ListedEndpoint) -> bool {
        let entry = self.index_of(&endpoint.id).map(|server| &self.entries[server]);
        entry.is_some_and(|entry| {
            entry.unavailable_since.is_none() && entry.listed.started_at <= endpoint.started_at
        })
    }

    /// The servers that are draining or gone, in the order of their indices.
    pub fn unavailable(&self) -> impl Iterator<Item = ServerIndex> {
        self.entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.unavailable_since.is_some())
            .map(|(server, _)| server)
    }

    /// The servers that are draining or gone, by id, with the start of the process that is.
    pub fn unavailable_starts(&self) -> BTreeMap<String, Timestamp> {
        let unavailable = self.indices.iter().map(|(id, server)| (id, &self.entries[*server]));
        let unavailable = unavailable.filter(|(_, entry)| entry.unavailable_since.is_some());
        unavailable.map(|(id, entry)| (id.clone(), entry.listed.started_at)).collect()
    }

    /// Those of the given servers that are in service here, with the given start or an earlier one,
    /// listed as draining.
    pub fn as_draining(&self, starts: &BTreeMap<String, Timestamp>) -> Vec<ListedEndpoint> {
        let in_service = |(id, started_at): (&String, &Timestamp)| {
            let entry = &self.entries[self.index_of(id)?];
            let is_named = entry.unavailable_since.is_none() && entry.listed.started_at <= *started_at;
            is_named.then(|| ListedEndpoint { status: EndpointStatus::Draining, ..entry.listed.clone() })
        };
        starts.iter().filter_map(in_service).collect()
    }

    /// Applies an update, and returns its endpoints with server indices, for the balancer.
    pub fn apply<'a>(&mut self, now: Timestamp, update: &ListUpdate<'a>) -> Vec<Endpoint<'a>> {
        let previously_unavailable_since: Vec<Option<Timestamp>> =
            self.entries.iter().map(|entry| entry.unavailable_since).collect();
        if update.is_full {
            for entry in &mut self.entries {
                entry.unavailable_since.get_or_insert(now);
            }
        }
        let apply_one = |endpoint: &'a ListedEndpoint| {
            let server = self.index_or_insert(endpoint);
            let unavailable_before = previously_unavailable_since.get(server).copied().flatten();
            let status = self.update_entry(now, server, endpoint, unavailable_before, update.may_be_stale);
            Endpoint {
                server,
                id: &endpoint.id,
                zone: self.zone_index(&endpoint.zone),
                kind: self.kinds.iter().position(|kind| *kind == endpoint.kind).unwrap_or(usize::MAX),
                cell: endpoint.cell,
                weight_hundredths: endpoint.weight_hundredths,
                status,
                started_at: endpoint.started_at,
            }
        };
        update.endpoints.iter().map(apply_one).collect()
    }

    /// Updates a server's entry from its endpoint, and returns the server's resulting status.
    fn update_entry(
        &mut self,
        now: Timestamp,
        server: ServerIndex,
        endpoint: &ListedEndpoint,
        unavailable_before: Option<Timestamp>,
        may_be_stale: bool,
    ) -> EndpointStatus {
        let entry = &mut self.entries[server];
        let stays_unavailable =
            may_be_stale && unavailable_before.is_some() && endpoint.started_at <= entry.listed.started_at;
        let status = if stays_unavailable { EndpointStatus::Draining } else { endpoint.status };
        let is_back = unavailable_before.is_some() && status == EndpointStatus::Ready;
        if is_back || endpoint.address != entry.process.addr || endpoint.started_at > entry.listed.started_at
        {
            entry.process =
                ServerProcess { addr: endpoint.address, generation: entry.process.generation + 1 };
        }
        entry.listed = endpoint.clone();
        entry.unavailable_since =
            (status != EndpointStatus::Ready).then_some(unavailable_before.unwrap_or(now));
        status
    }

    fn zone_index(&mut self, zone: &str) -> usize {
        self.zones.iter().position(|known| known == zone).unwrap_or_else(|| {
            self.zones.push(zone.to_string());
            self.zones.len() - 1
        })
    }

    /// Removes servers whose index the balancer no longer needs, and frees the indices for reuse.
    /// Otherwise the indices would grow without bound, because each new server process has a new
    /// id.
    pub fn forget_unused(&mut self, balancer: &Balancer) {
        let ServerRegistry { indices, free_indices, .. } = self;
        indices.retain(|_, server| {
            let unused = balancer.index_is_free(*server);
            free_indices.extend(unused.then_some(*server));
            !unused
        });
        free_indices.sort_unstable();
    }

    fn index_or_insert(&mut self, endpoint: &ListedEndpoint) -> ServerIndex {
        if let Some(server) = self.indices.get(&endpoint.id) {
            return *server;
        }
        let server = self.free_indices.pop().unwrap_or(self.entries.len());
        self.indices.insert(endpoint.id.clone(), server);
        // An index that belonged to another server keeps counting.
        let generation = self.entries.get(server).map_or(0, |unused| unused.process.generation + 1);
        let process = ServerProcess { addr: endpoint.address, generation };
        let listed = ListedEndpoint { started_at: Timestamp::ZERO, ..endpoint.clone() };
        let entry = ServerEntry { process, unavailable_since: None, listed };
        match self.entries.get_mut(server) {
            Some(unused) => *unused = entry,
            None => self.entries.push(entry),
        }
        server
    }
}
