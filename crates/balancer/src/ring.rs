//! The consistent-hash ring: which servers follow a key's point, in order. All proxies with the same list build the same ring,
//! so that a key's copies lie on few servers, and a server that comes or goes moves only its own keys.
//!
//! Inputs: which servers are ready, and their zones.

use crate::hash::point;
use crate::types::ServerIndex;

/// 128 points a server keep the shares of equal servers within about a tenth of each other.
const POINTS_PER_SERVER: u64 = 128;

/// The servers among which a key's owner is sought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RingScope {
    OwnZone,
    OtherZones,
    AllZones,
}

/// A server's point.
type RingPoint = (u64, ServerIndex);

#[derive(Default)]
pub(crate) struct Ring {
    own_zone: Vec<RingPoint>,
    other_zones: Vec<RingPoint>,
    all_zones: Vec<RingPoint>,
}

impl Ring {
    /// Builds the ring of `servers`: for each index its id, whether it is ready, and whether it is in the own zone. Points come
    /// from the id alone. Those of servers that stay are kept: an index is another server's only after it had none.
    pub fn rebuild<'a>(&mut self, servers: impl ExactSizeIterator<Item = (&'a str, bool, bool)> + Clone) {
        let mut all = std::mem::take(&mut self.all_zones);
        let mut missing: Vec<bool> = servers.clone().map(|(_, ready, _)| ready).collect();
        let own: Vec<bool> = servers.clone().map(|(.., own_zone)| own_zone).collect();
        all.retain(|point| missing[point.1]);
        all.iter().for_each(|point| missing[point.1] = false);
        for (server, (id, ..)) in servers.enumerate().filter(|(server, _)| missing[*server]) {
            all.extend((0..POINTS_PER_SERVER).map(|salt| (point(id, salt + 1), server)));
        }
        all.sort(); // two sorted runs, mostly
        (self.own_zone, self.other_zones) = all.iter().partition(|point| own[point.1]);
        self.all_zones = all;
    }

    fn points(&self, scope: RingScope) -> &[RingPoint] {
        match scope {
            RingScope::OwnZone => &self.own_zone,
            RingScope::OtherZones => &self.other_zones,
            RingScope::AllZones => &self.all_zones,
        }
    }

    /// The servers of a scope in the order in which they follow a key's point, each once; indices are below `index_end`.
    pub fn servers_from(&self, scope: RingScope, key: u64, index_end: usize) -> Vec<ServerIndex> {
        let points = self.points(scope);
        let mut found = Vec::new();
        let mut seen = vec![false; index_end];
        let start = points.partition_point(|point| point.0 < key);
        for i in 0..points.len() {
            let server = points[(start + i) % points.len()].1;
            if !std::mem::replace(&mut seen[server], true) {
                found.push(server);
                if found.len() * POINTS_PER_SERVER as usize == points.len() {
                    break;
                }
            }
        }
        found
    }

    /// How many servers of all zones are on it.
    pub fn server_count(&self) -> u64 {
        self.all_zones.len() as u64 / POINTS_PER_SERVER
    }
}
