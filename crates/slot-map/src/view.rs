//! What one node reports of the whole cluster: the reply to `CLUSTER NODES`.

use crate::node::Node;
use std::net::SocketAddr;
use thiserror::Error;

/// Nodes that are read of one view: the specification advises a thousand at most.
const MAX_NODES: usize = 4096;
/// How much of a malformed line goes into the error.
const MAX_SHOWN: usize = 80;

/// What one node reports of the cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterView {
    /// The nodes that have an address, in the order of the report.
    pub nodes: Vec<Node>,
}

/// Why a report could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ViewError {
    /// It lists more nodes than any cluster should have.
    #[error("more than {MAX_NODES} nodes")]
    TooManyNodes,
    /// It lists no node with an address.
    #[error("no node")]
    NoNode,
    /// The line of a node is malformed.
    #[error("a node without {missing}: {line}")]
    MalformedNode {
        /// What the line lacks.
        missing: &'static str,
        /// The start of the line.
        line: String,
    },
}

impl ClusterView {
    /// Parses the reply to `CLUSTER NODES`. `from` is the node that sent it: it may not know its
    /// own address.
    pub fn parse(text: &str, from: SocketAddr) -> Result<ClusterView, ViewError> {
        let mut nodes = Vec::new();
        for line in text.lines().map(str::trim).filter(|line| !line.is_empty()) {
            if nodes.len() == MAX_NODES {
                return Err(ViewError::TooManyNodes);
            }
            let malformed =
                |missing| ViewError::MalformedNode { missing, line: line.chars().take(MAX_SHOWN).collect() };
            nodes.extend(Node::parse(line, from).map_err(malformed)?);
        }
        if nodes.is_empty() {
            return Err(ViewError::NoNode);
        }
        Ok(ClusterView { nodes })
    }

    /// The newest configuration epoch that any node claims.
    pub(crate) fn newest_epoch(&self) -> u64 {
        self.nodes.iter().map(|node| node.epoch).max().unwrap_or(0)
    }

    /// Whether a node of that address is part of the cluster and has not failed.
    pub(crate) fn is_live(&self, addr: SocketAddr) -> bool {
        self.nodes.iter().any(|node| node.addr == addr && !node.failed)
    }

    /// The nodes that own slots, those that failed left out.
    pub(crate) fn live_owners(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.replica_of.is_none() && !node.failed)
    }

    /// The addresses of an owner's replicas, those that failed left out.
    pub(crate) fn live_replicas(&self, owner: &Node) -> Vec<SocketAddr> {
        let is_replica = |node: &&Node| node.replica_of.as_ref() == Some(&owner.id) && !node.failed;
        self.nodes.iter().filter(is_replica).map(|node| node.addr).collect()
    }
}
