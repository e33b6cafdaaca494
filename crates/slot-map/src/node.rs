//! A node of the cluster, and the line of `CLUSTER NODES` that describes it.

use crate::slot_range::SlotRange;
use std::net::SocketAddr;

/// A node as the cluster itself describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The node id.
    pub id: String,
    /// The address that clients connect to.
    pub addr: SocketAddr,
    /// Whether the cluster has agreed that the node failed.
    pub failed: bool,
    /// For a replica, the id of the node that it replicates.
    pub replica_of: Option<String>,
    /// The configuration epoch of the node's claims on slots. If two nodes claim a slot, the claim
    /// with the higher epoch is the newer one.
    pub epoch: u64,
    /// The slots that the node claims.
    pub slots: Vec<SlotRange>,
}

impl Node {
    /// Parses `id addr@bus[,host] flags master ping pong epoch link slot...`. Returns `None` for a
    /// node without an address. An error names the part that is missing or invalid. `sender` is the
    /// address of the node that reports the line, which may not know its own address.
    pub(crate) fn parse(line: &str, sender: SocketAddr) -> Result<Option<Node>, &'static str> {
        let fields: Vec<&str> = line.split(' ').collect();
        let [id, addr, flags, owner_id, _ping, _pong, epoch, _link, slots @ ..] = fields.as_slice() else {
            return Err("the eight required fields");
        };
        let has_flag = |flag: &str| flags.split(',').any(|other| other == flag);
        if has_flag("noaddr") || has_flag("handshake") {
            return Ok(None);
        }
        let addr = parse_addr(addr, sender).ok_or("a valid address")?;
        let slots = parse_slots(slots).ok_or("valid slot ranges")?;
        let epoch = epoch.parse().map_err(|_| "a valid configuration epoch")?;
        let replica_of = has_flag("slave").then(|| owner_id.to_string());
        Ok(Some(Node { id: id.to_string(), addr, failed: has_flag("fail"), replica_of, epoch, slots }))
    }
}

/// Parses `addr@bus[,host]`. An address with an empty host is that of the reporting node.
fn parse_addr(text: &str, sender: SocketAddr) -> Option<SocketAddr> {
    let addr = text.split(['@', ',']).next()?;
    match addr.strip_prefix(':') {
        Some(port) => Some(SocketAddr::new(sender.ip(), port.parse().ok()?)),
        None => addr.parse().ok(),
    }
}

fn parse_slots(fields: &[&str]) -> Option<Vec<SlotRange>> {
    // Slots in migration are listed again in brackets. They are skipped here, as the owner stays
    // the same until the migration ends.
    let stable_fields = fields.iter().filter(|field| !field.starts_with('[') && !field.is_empty());
    stable_fields.map(|field| SlotRange::parse(field)).collect()
}
