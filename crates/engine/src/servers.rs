//! The servers as endpoint lists describe them, and the small indices by which the balancer knows
//! them.

#[cfg(test)]
mod tests;

use chalkwalk_balancer::{Balancer, Endpoint, EndpointStatus, ServerIndex};
pub use chalkwalk_membership::ListedEndpoint;
use chalkwalk_time::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;

/// What a list has changed, by the servers' ids in order.
#[derive(Debug, Default, PartialEq)]
pub struct ListChanges {
    /// Draining or gone since.
    pub off: Vec<String>,
    /// In service since, or again.
    pub back: Vec<String>,
}

/// What a source of the endpoint list has read of it.
#[derive(Clone, Copy, Debug)]
pub struct ListUpdate<'a> {
    /// The endpoints, with their status.
    pub endpoints: &'a [ListedEndpoint],
    /// Whether they are the whole list, so that a server that is not among them is gone; otherwise
    /// they are what changed.
    pub whole: bool,
    /// Whether the list may be older than what was known before. It then brings no server back that
    /// was notified to be off and has not started since.
    pub doubted: bool,
}

/// What the engine itself needs to know of a server.
struct Row {
    addr: SocketAddr,
    /// Since when it was notified to be draining or gone.
    unavailable_since: Option<Timestamp>,
    /// When its process started.
    born: Timestamp,
}

/// The servers by id and by index.
#[derive(Default)]
pub struct ServerRegistry {
    rows: Vec<Row>,
    indices: HashMap<String, ServerIndex>,
    /// Indices below the number of rows that are no server's.
    free: Vec<ServerIndex>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl ServerRegistry {
    /// Zones and kinds are numbered in this order; zones that a list adds come after them.
    pub fn new(zones: &[String], kinds: &[String]) -> ServerRegistry {
        ServerRegistry { zones: zones.to_vec(), kinds: kinds.to_vec(), ..ServerRegistry::default() }
    }

    /// The address of a server.
    pub fn addr(&self, server: ServerIndex) -> Option<SocketAddr> {
        self.rows.get(server).map(|row| row.addr)
    }

    /// The servers in service at these addresses, in that order.
    pub fn in_service_at(&self, addrs: &[SocketAddr]) -> Vec<ServerIndex> {
        let in_service = |addr: &SocketAddr| {
            self.rows.iter().position(|row| row.addr == *addr && row.unavailable_since.is_none())
        };
        addrs.iter().filter_map(in_service).collect()
    }

    /// Since when a server is draining or gone, as notified.
    pub fn unavailable_since(&self, server: ServerIndex) -> Option<Timestamp> {
        self.rows.get(server)?.unavailable_since
    }

    /// Which servers are off by now and were not, and the other way round. `was_off`: those that
    /// were off before, sorted.
    pub fn changes_since(&self, was_off: &[ServerIndex]) -> ListChanges {
        let mut changes = ListChanges::default();
        for (id, server) in &self.indices {
            let was_off = was_off.binary_search(server).is_ok();
            let is_off = self.unavailable_since(*server).is_some();
            match (was_off, is_off) {
                (false, true) => changes.off.push(id.clone()),
                (true, false) => changes.back.push(id.clone()),
                _ => {}
            }
        }
        changes.off.sort_unstable();
        changes.back.sort_unstable();
        changes
    }

    /// The index of a server, if it has one.
    pub fn index_of(&self, id: &str) -> Option<ServerIndex> {
        self.indices.get(id).copied()
    }

    /// Whether the server of this endpoint is in service as far as notified, and has not started
    /// since the endpoint was read.
    pub fn is_ready(&self, endpoint: &ListedEndpoint) -> bool {
        let row = self.index_of(&endpoint.id).map(|server| &self.rows[server]);
        row.is_some_and(|row| row.unavailable_since.is_none() && row.born <= endpoint.born)
    }

    /// The servers that are off, in order.
    pub fn off(&self) -> impl Iterator<Item = ServerIndex> {
        self.rows
            .iter()
            .enumerate()
            .filter(|(_, row)| row.unavailable_since.is_some())
            .map(|(server, _)| server)
    }

    /// Takes up what a list says, and returns it by index for the balancer.
    pub fn apply<'a>(&mut self, now: Timestamp, update: &ListUpdate<'a>) -> Vec<Endpoint<'a>> {
        let was_off: Vec<Option<Timestamp>> = self.rows.iter().map(|row| row.unavailable_since).collect();
        if update.whole {
            for row in &mut self.rows {
                row.unavailable_since.get_or_insert(now);
            }
        }
        let apply_one = |endpoint: &'a ListedEndpoint| {
            let server = self.index_or_insert(&endpoint.id, endpoint.addr);
            let was_off_since = was_off.get(server).copied().flatten();
            let status = self.update_row(now, server, endpoint, was_off_since, update.doubted);
            Endpoint {
                server,
                id: &endpoint.id,
                zone: self.zone_number(&endpoint.zone),
                kind: self.kinds.iter().position(|kind| *kind == endpoint.kind).unwrap_or(usize::MAX),
                cell: endpoint.cell,
                size: endpoint.size,
                status,
                born: endpoint.born,
            }
        };
        update.endpoints.iter().map(apply_one).collect()
    }

    /// Updates what is known of a server by its endpoint, and returns the status that it has by
    /// that.
    fn update_row(
        &mut self,
        now: Timestamp,
        server: ServerIndex,
        endpoint: &ListedEndpoint,
        was_off_since: Option<Timestamp>,
        doubted: bool,
    ) -> EndpointStatus {
        let row = &mut self.rows[server];
        let stays_off = doubted && was_off_since.is_some() && endpoint.born <= row.born;
        let status = if stays_off { EndpointStatus::Draining } else { endpoint.status };
        row.addr = endpoint.addr;
        row.born = endpoint.born;
        row.unavailable_since = (status != EndpointStatus::Ready).then_some(was_off_since.unwrap_or(now));
        status
    }

    fn zone_number(&mut self, zone: &str) -> usize {
        self.zones.iter().position(|known| known == zone).unwrap_or_else(|| {
            self.zones.push(zone.to_string());
            self.zones.len() - 1
        })
    }

    /// Forgets servers whose index the balancer needs no more, and frees their indices for others:
    /// ids are ever new.
    pub fn forget_unused(&mut self, balancer: &Balancer) {
        let ServerRegistry { indices, free, .. } = self;
        indices.retain(|_, server| {
            let unused = balancer.index_is_free(*server);
            free.extend(unused.then_some(*server));
            !unused
        });
        free.sort_unstable();
    }

    fn index_or_insert(&mut self, id: &str, addr: SocketAddr) -> ServerIndex {
        if let Some(server) = self.indices.get(id) {
            return *server;
        }
        let server = self.free.pop().unwrap_or(self.rows.len());
        self.indices.insert(id.to_string(), server);
        let row = Row { addr, unavailable_since: None, born: Timestamp::ZERO };
        match self.rows.get_mut(server) {
            Some(unused) => *unused = row,
            None => self.rows.push(row),
        }
        server
    }
}
