//! The servers as a list tells them, and the small indices that stand for them from here on.

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

/// What the engine itself needs of a server.
struct Row {
    addr: SocketAddr,
    off_since: Option<Timestamp>, // draining or gone, as told
    born: Timestamp,
}

#[derive(Default)]
pub struct ServerRegistry {
    rows: Vec<Row>,
    index: HashMap<String, ServerIndex>,
    free: Vec<ServerIndex>, // below the number of rows, and no server's
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl ServerRegistry {
    pub fn new(zones: &[String], kinds: &[String]) -> ServerRegistry {
        ServerRegistry { zones: zones.to_vec(), kinds: kinds.to_vec(), ..ServerRegistry::default() }
    }

    pub fn addr(&self, server: ServerIndex) -> Option<SocketAddr> {
        self.rows.get(server).map(|row| row.addr)
    }

    /// The servers in service at these addresses, in that order.
    pub fn at(&self, addrs: &[SocketAddr]) -> Vec<ServerIndex> {
        let at =
            |addr: &SocketAddr| self.rows.iter().position(|row| row.addr == *addr && row.off_since.is_none());
        addrs.iter().filter_map(at).collect()
    }

    /// Since when a server is draining or gone, as told.
    pub fn off_since(&self, server: ServerIndex) -> Option<Timestamp> {
        self.rows.get(server)?.off_since
    }

    /// What is off by now and was not, and the other way round, after what was off before.
    pub fn changed(&self, was_off: &[ServerIndex]) -> ListChanges {
        let mut changed = ListChanges::default();
        for (id, server) in &self.index {
            match (was_off.binary_search(server).is_ok(), self.off_since(*server).is_some()) {
                (false, true) => changed.off.push(id.clone()),
                (true, false) => changed.back.push(id.clone()),
                _ => {}
            }
        }
        changed.off.sort_unstable();
        changed.back.sort_unstable();
        changed
    }

    /// The place of a server, if it has one.
    pub fn index_of(&self, id: &str) -> Option<ServerIndex> {
        self.index.get(id).copied()
    }

    /// Whether the server of this line is in service as far as was told, and has not started since the line was true.
    pub fn is_ready(&self, line: &ListedEndpoint) -> bool {
        let row = self.index_of(&line.id).map(|server| &self.rows[server]);
        row.is_some_and(|row| row.off_since.is_none() && row.born <= line.born)
    }

    /// Servers that are off.
    pub fn off(&self) -> impl Iterator<Item = ServerIndex> {
        self.rows.iter().enumerate().filter(|(_, row)| row.off_since.is_some()).map(|(server, _)| server)
    }

    /// Takes what a list says, and returns it by index for the balancer. Of a doubted one a server is not ready that was told
    /// to be off and has not started since.
    pub fn take<'a>(
        &mut self,
        now: Timestamp,
        lines: &'a [ListedEndpoint],
        whole_list: bool,
        doubted: bool,
    ) -> Vec<Endpoint<'a>> {
        let was_off: Vec<Option<Timestamp>> = self.rows.iter().map(|row| row.off_since).collect();
        if whole_list {
            self.rows.iter_mut().for_each(|row| _ = row.off_since.get_or_insert(now));
        }
        let entry = |line: &'a ListedEndpoint| {
            let server = self.row(&line.id, line.addr);
            let row = &mut self.rows[server];
            let stays_off =
                doubted && was_off.get(server).is_some_and(Option::is_some) && line.born <= row.born;
            let status = if stays_off { EndpointStatus::Draining } else { line.status };
            (row.addr, row.born) = (line.addr, line.born);
            let since = was_off.get(server).copied().flatten().unwrap_or(now);
            row.off_since = (status != EndpointStatus::Ready).then_some(since);
            let zone = self.zones.iter().position(|z| *z == line.zone).unwrap_or_else(|| {
                self.zones.push(line.zone.clone());
                self.zones.len() - 1
            });
            let kind = self.kinds.iter().position(|k| *k == line.kind).unwrap_or(usize::MAX);
            Endpoint {
                server,
                id: &line.id,
                zone,
                kind,
                cell: line.cell,
                size: line.size,
                status,
                born: line.born,
            }
        };
        lines.iter().map(entry).collect()
    }

    /// Forgets what is gone and done with, and uses its index again: ids are ever new.
    pub fn forget(&mut self, balancer: &Balancer) {
        let ServerRegistry { index, free, .. } = self;
        index.retain(|_, server| {
            let done = balancer.index_is_free(*server);
            free.extend(done.then_some(*server));
            !done
        });
        free.sort_unstable();
    }

    fn row(&mut self, id: &str, addr: SocketAddr) -> usize {
        if let Some(server) = self.index.get(id) {
            return *server;
        }
        let server = self.free.pop().unwrap_or(self.rows.len());
        self.index.insert(id.to_string(), server);
        let row = Row { addr, off_since: None, born: Timestamp::ZERO };
        match self.rows.get_mut(server) {
            Some(place) => *place = row,
            None => self.rows.push(row),
        }
        server
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_place_of_a_server_that_is_done_with_is_the_next_ones() {
        let mut servers = ServerRegistry::default();
        let mut places = Vec::new();
        for id in ["amber", "birch", "birch", "cedar", "delta"] {
            places.push(servers.row(id, "127.0.0.1:3000".parse().unwrap()));
            if id == "cedar" {
                servers.index.remove("birch");
                servers.free.push(1);
            }
        }
        expect_test::expect!["[0, 1, 1, 2, 1] of 3"]
            .assert_eq(&format!("{places:?} of {}", servers.rows.len()));
    }
}
