//! The proxy instances of the fleet, presented to clients as the nodes of a cluster.

use crate::settings::Settings;
use chalkwalk_slot_map::SlotRange;
use std::net::SocketAddr;

/// A proxy instance, presented as a node of the cluster.
pub struct ClusterNode {
    /// The node id.
    pub id: String,
    /// The address that clients connect to.
    pub addr: SocketAddr,
    /// The slots that the instance serves.
    pub slots: SlotRange,
    /// Whether this process is the instance.
    pub is_self: bool,
}

/// All instances of the fleet. If none are configured, this instance is the only node and has all
/// slots.
pub fn cluster_nodes(settings: &Settings) -> Vec<ClusterNode> {
    let node = |name: &str, addr: SocketAddr, slots: SlotRange| ClusterNode {
        id: node_id(name),
        addr,
        slots,
        is_self: addr == settings.listen_addr,
    };
    if settings.instances.is_empty() {
        return vec![node("self", settings.listen_addr, SlotRange::ALL)];
    }
    settings.instances.iter().map(|instance| node(&instance.name, instance.addr, instance.slots)).collect()
}

/// The node id of an instance: forty hexadecimal digits, as in cluster servers. Every instance
/// derives the same id from a name. The id is the FNV-1a hash of the name, continued over a counter
/// until there are enough digits.
fn node_id(name: &str) -> String {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x100_0000_01b3;
    const DIGITS: usize = 40;
    /// Each round yields sixteen digits.
    const ROUNDS: u8 = 3;
    let mut hash = FNV_OFFSET_BASIS;
    let mut id = String::new();
    for round in 0..ROUNDS {
        for byte in name.bytes().chain([round]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        id += &format!("{hash:016x}");
    }
    id.truncate(DIGITS);
    id
}
