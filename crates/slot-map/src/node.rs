//! A node of the cluster, and the line of `CLUSTER NODES` that describes it.

use crate::slot_range::SlotRange;
use std::net::SocketAddr;

/// A node as the cluster itself describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its node id.
    pub id: String,
    /// Where clients reach it.
    pub addr: SocketAddr,
    /// Whether the cluster has agreed that it failed.
    pub failed: bool,
    /// The id of the node that it is a replica of; none for an owner of slots.
    pub replica_of: Option<String>,
    /// The configuration epoch of its claims: of two nodes that claim a slot, the higher epoch is
    /// the newer claim.
    pub epoch: u64,
    /// The slots that it claims.
    pub slots: Vec<SlotRange>,
}

impl Node {
    /// Parses `id addr@bus[,host] flags master ping pong epoch link slot...`. None for a node
    /// without an address. An error names what the line lacks. `from` is the node that reports the
    /// line: it may not know its own address.
    pub(crate) fn parse(line: &str, from: SocketAddr) -> Result<Option<Node>, &'static str> {
        let fields: Vec<&str> = line.split(' ').collect();
        let [id, addr, flags, owner_id, _ping, _pong, epoch, _link, slots @ ..] = fields.as_slice() else {
            return Err("its eight fields");
        };
        let has = |flag: &str| flags.split(',').any(|other| other == flag);
        if has("noaddr") || has("handshake") {
            return Ok(None);
        }
        let addr = parse_addr(addr, from).ok_or("an address")?;
        let slots = parse_slots(slots).ok_or("slots that make sense")?;
        let epoch = epoch.parse().map_err(|_| "an epoch")?;
        let replica_of = has("slave").then(|| owner_id.to_string());
        Ok(Some(Node { id: id.to_string(), addr, failed: has("fail"), replica_of, epoch, slots }))
    }
}

/// `addr@bus[,host]`; without a host it is the reporting node itself.
fn parse_addr(text: &str, from: SocketAddr) -> Option<SocketAddr> {
    let addr = text.split(['@', ',']).next()?;
    match addr.strip_prefix(':') {
        Some(port) => Some(SocketAddr::new(from.ip(), port.parse().ok()?)),
        None => addr.parse().ok(),
    }
}

fn parse_slots(fields: &[&str]) -> Option<Vec<SlotRange>> {
    // Slots in migration are repeated in brackets: their owner is unchanged until the migration
    // ends.
    let settled = fields.iter().filter(|field| !field.starts_with('[') && !field.is_empty());
    settled.map(|field| SlotRange::parse(field)).collect()
}
