//! What a baseline knows of the list, and the plain ring over it.

use crate::model::timeline::EndpointStatus;
use serde_json::Value;
use std::net::SocketAddr;

/// Points of a server on the plain ring, as many as chalkwalk has.
const RING_POINTS: u64 = 128;

/// FNV-1a with a salt in its start, and a finish that spreads the last bytes.
pub(super) fn hash(text: &str, salt: u64) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    let mixed = text.bytes().fold(start, mix);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (mixed >> 32)
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
    /// The endpoint, by its index.
    endpoint: usize,
}

/// The list as it is known.
pub(super) struct Endpoints {
    zone: String,
    endpoints: Vec<Endpoint>,
    ring: Vec<RingPoint>,
}

impl Endpoints {
    /// None yet, for a proxy of that zone.
    pub fn new(zone: &str) -> Endpoints {
        Endpoints { zone: zone.to_string(), endpoints: Vec::new(), ring: Vec::new() }
    }

    /// Takes up a list, and returns its version; one that ignores drains takes all for ready.
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
        let text = |name: &str| entry.get(name).and_then(Value::as_str);
        let id = text("id")?;
        let addr = text("addr")?.parse().ok()?;
        let is_ready = text("state") == Some(EndpointStatus::Ready.wire_name()) || ignores_drains;
        match self.endpoints.iter_mut().find(|endpoint| endpoint.id == id) {
            Some(endpoint) => {
                endpoint.addr = addr;
                endpoint.is_ready = is_ready;
            }
            None => self.endpoints.push(Endpoint {
                id: id.to_string(),
                addr,
                zone: text("zone").unwrap_or("").to_string(),
                is_origin: text("kind") == Some("origin"),
                is_ready,
            }),
        }
        Some(())
    }

    /// Of the ready servers of the own zone, or of all where there is none.
    fn build_ring(&mut self) {
        let is_usable = |endpoint: &Endpoint| !endpoint.is_origin && endpoint.is_ready;
        let is_own = |endpoint: &Endpoint| is_usable(endpoint) && endpoint.zone == self.zone;
        let has_own = self.endpoints.iter().any(is_own);
        self.ring.clear();
        for (i, endpoint) in self.endpoints.iter().enumerate() {
            if is_own(endpoint) || (!has_own && is_usable(endpoint)) {
                let point = |salt| RingPoint { hash: hash(&endpoint.id, salt), endpoint: i };
                self.ring.extend((1..=RING_POINTS).map(point));
            }
        }
        self.ring.sort_unstable_by_key(|point| (point.hash, point.endpoint));
    }

    /// How many points the ring has.
    pub fn ring_length(&self) -> usize {
        self.ring.len()
    }

    /// The first point of the ring from a hash on.
    pub fn position(&self, hash: u64) -> usize {
        self.ring.partition_point(|point| point.hash < hash)
    }

    /// The first server from a point of the ring on that is not among those tried.
    pub fn first_untried(&self, start: usize, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let length = self.ring.len();
        let addr = |i: usize| self.endpoints[self.ring[(start + i) % length].endpoint].addr;
        (0..length).map(addr).find(|addr| !tried.contains(addr))
    }

    /// The origin, if it is ready.
    pub fn origin(&self) -> Option<SocketAddr> {
        let is_origin = |endpoint: &&Endpoint| endpoint.is_origin && endpoint.is_ready;
        self.endpoints.iter().find(is_origin).map(|endpoint| endpoint.addr)
    }

    /// A server in service of another zone than the origin's: one rule is broken at a time.
    pub fn server_outside_origin_zone(&self) -> Option<SocketAddr> {
        let origin = self.endpoints.iter().find(|endpoint| endpoint.is_origin);
        let zone = origin.map_or("", |endpoint| endpoint.zone.as_str());
        let is_outside =
            |endpoint: &&Endpoint| !endpoint.is_origin && endpoint.is_ready && endpoint.zone != zone;
        self.endpoints.iter().find(is_outside).map(|endpoint| endpoint.addr)
    }
}
