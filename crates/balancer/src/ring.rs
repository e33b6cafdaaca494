//! The consistent-hash ring: which servers follow a key's point, in order. All proxies with the
//! same list build the same ring, so that each key has copies on few servers, and a server that is
//! added or removed moves only its own keys.
//!
//! Inputs: which servers are ready, and their zones.

use crate::hash::point;
use crate::types::ServerIndex;

/// 128 points per server keep the shares of equal servers within about a tenth of each other.
const POINTS_PER_SERVER: u64 = 128;

/// The set of servers among which the owner of a key is searched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RingScope {
    OwnZone,
    OtherZones,
    AllZones,
}

/// A point on the ring, and the server that it belongs to.
type RingPoint = (u64, ServerIndex);

#[derive(Default)]
pub(crate) struct Ring {
    own_zone: Vec<RingPoint>,
    other_zones: Vec<RingPoint>,
    all_zones: Vec<RingPoint>,
}

impl Ring {
    /// Builds the ring of `servers`, which gives for each index the server's id, whether it is
    /// ready, and whether it is in the proxy's own zone. Points depend on the id alone. The points
    /// of servers that stay ready are not computed again: an index is given to another server only
    /// when the ring has no points for that index.
    pub fn rebuild<'a>(&mut self, servers: impl ExactSizeIterator<Item = (&'a str, bool, bool)> + Clone) {
        let mut all_points = std::mem::take(&mut self.all_zones);
        let mut needs_points: Vec<bool> = servers.clone().map(|(_, ready, _)| ready).collect();
        let in_own_zone: Vec<bool> = servers.clone().map(|(.., own_zone)| own_zone).collect();
        all_points.retain(|point| needs_points[point.1]);
        all_points.iter().for_each(|point| needs_points[point.1] = false);
        for (server, (id, ..)) in servers.enumerate().filter(|(server, _)| needs_points[*server]) {
            all_points.extend((0..POINTS_PER_SERVER).map(|salt| (point(id, salt + 1), server)));
        }
        all_points.sort(); // fast, as the input is mostly two sorted runs
        (self.own_zone, self.other_zones) = all_points.iter().partition(|point| in_own_zone[point.1]);
        self.all_zones = all_points;
    }

    fn points(&self, scope: RingScope) -> &[RingPoint] {
        match scope {
            RingScope::OwnZone => &self.own_zone,
            RingScope::OtherZones => &self.other_zones,
            RingScope::AllZones => &self.all_zones,
        }
    }

    /// The servers of a scope in the order in which they follow a key's point, each once. All
    /// indices are below `index_end`.
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

    /// The number of servers of all zones on the ring.
    pub fn server_count(&self) -> u64 {
        self.all_zones.len() as u64 / POINTS_PER_SERVER
    }
}
