//! A baseline proxy's view of the endpoint list, and the hash ring that it builds from the list.

use crate::model::timeline::EndpointStatus;
use serde_json::Value;
use std::net::SocketAddr;

/// Points that each server has on the ring: the same number as in chalkwalk.
const RING_POINTS_PER_SERVER: u64 = 128;

/// FNV-1a with the salt mixed into the initial state, and a finalizer that spreads the last bytes
/// over all bits.
pub(super) fn hash(text: &str, salt: u64) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mix_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    let fnv_hash = text.bytes().fold(start, mix_byte);
    (fnv_hash ^ (fnv_hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (fnv_hash >> 32)
}

struct Endpoint {
    id: String,
    addr: SocketAddr,
    zone: String,
    is_origin: bool,
    is_ready: bool,
}

struct RingPoint {
    hash: u64,
    /// Index into `Endpoints::endpoints`.
    endpoint_index: usize,
}

/// The endpoint list as the proxy last received it.
pub(super) struct Endpoints {
    zone: String,
    endpoints: Vec<Endpoint>,
    ring: Vec<RingPoint>,
}

impl Endpoints {
    /// An empty list, for a proxy in `zone`.
    pub fn new(zone: &str) -> Endpoints {
        Endpoints { zone: zone.to_string(), endpoints: Vec::new(), ring: Vec::new() }
    }

    /// Applies a list update and returns its version, or `None` where a field is missing or
    /// invalid. With `ignores_drains`, every listed endpoint counts as ready.
    pub fn apply(&mut self, list: &Value, ignores_drains: bool) -> Option<u64> {
        if list.get("full")?.as_bool()? && !ignores_drains {
            for endpoint in &mut self.endpoints {
                endpoint.is_ready = false;
            }
        }
        for entry in list.get("servers")?.as_array()? {
            self.apply_entry(entry, ignores_drains)?;
        }
        self.build_ring();
        list.get("version")?.as_u64()
    }

    fn apply_entry(&mut self, entry: &Value, ignores_drains: bool) -> Option<()> {
        let text_field = |name: &str| entry.get(name).and_then(Value::as_str);
        let id = text_field("id")?;
        let addr = text_field("addr")?.parse().ok()?;
        let is_ready = text_field("state") == Some(EndpointStatus::Ready.wire_name()) || ignores_drains;
        match self.endpoints.iter_mut().find(|endpoint| endpoint.id == id) {
            Some(endpoint) => {
                endpoint.addr = addr;
                endpoint.is_ready = is_ready;
            }
            None => self.endpoints.push(Endpoint {
                id: id.to_string(),
                addr,
                zone: text_field("zone").unwrap_or("").to_string(),
                is_origin: text_field("kind") == Some("origin"),
                is_ready,
            }),
        }
        Some(())
    }

    /// Builds the ring from the ready servers in the proxy's zone, or from all ready servers if its
    /// zone has none.
    fn build_ring(&mut self) {
        let is_ready_server = |endpoint: &Endpoint| !endpoint.is_origin && endpoint.is_ready;
        let is_in_own_zone = |endpoint: &Endpoint| is_ready_server(endpoint) && endpoint.zone == self.zone;
        let has_server_in_own_zone = self.endpoints.iter().any(is_in_own_zone);
        self.ring.clear();
        for (i, endpoint) in self.endpoints.iter().enumerate() {
            if is_in_own_zone(endpoint) || (!has_server_in_own_zone && is_ready_server(endpoint)) {
                let point = |salt| RingPoint { hash: hash(&endpoint.id, salt), endpoint_index: i };
                self.ring.extend((1..=RING_POINTS_PER_SERVER).map(point));
            }
        }
        self.ring.sort_unstable_by_key(|point| (point.hash, point.endpoint_index));
    }

    /// The number of points on the ring.
    pub fn ring_length(&self) -> usize {
        self.ring.len()
    }

    /// The index of the first ring point at or after `hash`.
    pub fn position(&self, hash: u64) -> usize {
        self.ring.partition_point(|point| point.hash < hash)
    }

    /// The first server on the ring, from the point with index `start`, that is not in `tried`.
    pub fn first_untried(&self, start: usize, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let length = self.ring.len();
        let addr = |i: usize| self.endpoints[self.ring[(start + i) % length].endpoint_index].addr;
        (0..length).map(addr).find(|addr| !tried.contains(addr))
    }

    /// The address of the origin, if it is ready.
    pub fn origin(&self) -> Option<SocketAddr> {
        let is_origin = |endpoint: &&Endpoint| endpoint.is_origin && endpoint.is_ready;
        self.endpoints.iter().find(is_origin).map(|endpoint| endpoint.addr)
    }

    /// A ready server in another zone than the origin's. A request that is sent again there breaks
    /// no other rule than the one that is being tested.
    pub fn server_outside_origin_zone(&self) -> Option<SocketAddr> {
        let origin = self.endpoints.iter().find(|endpoint| endpoint.is_origin);
        let zone = origin.map_or("", |endpoint| endpoint.zone.as_str());
        let is_outside =
            |endpoint: &&Endpoint| !endpoint.is_origin && endpoint.is_ready && endpoint.zone != zone;
        self.endpoints.iter().find(is_outside).map(|endpoint| endpoint.addr)
    }
}
