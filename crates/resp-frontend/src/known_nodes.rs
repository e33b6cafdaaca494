//! The nodes that the cluster has reported, by address. A node with another id at the address of one
//! that has gone is another process: it counts as just started, and connections to the one before are
//! not used for it.

use chalkwalk_slot_map::ClusterView;
use chalkwalk_time::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The nodes of the last view.
#[derive(Default)]
pub struct KnownNodes(HashMap<SocketAddr, KnownNode>);

struct KnownNode {
    id: String,
    /// When the node was first seen in place of another; zero if it was there from the start.
    started_at: Timestamp,
}

impl KnownNodes {
    /// Adopts the nodes of a view.
    pub fn update(&mut self, view: &ClusterView, now: Timestamp) {
        let mut previous = std::mem::take(&mut self.0);
        for node in view.nodes.iter().filter(|node| !node.failed) {
            let known = match previous.remove(&node.addr) {
                Some(known) if known.id == node.id => known,
                Some(_) => KnownNode { id: node.id.clone(), started_at: now },
                None => KnownNode { id: node.id.clone(), started_at: Timestamp::ZERO },
            };
            self.0.insert(node.addr, known);
        }
    }

    /// When the node at an address started; zero if that was long ago or is not known.
    pub fn started_at(&self, addr: SocketAddr) -> Timestamp {
        self.0.get(&addr).map_or(Timestamp::ZERO, |known| known.started_at)
    }
}
