//! One node's view of the whole cluster: the reply to `CLUSTER NODES`.

use crate::node::Node;
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of nodes in a view. The specification recommends at most a thousand nodes in a
/// cluster.
const MAX_NODES: usize = 4096;
/// Maximum length of the part of a malformed line that goes into the error.
const MAX_SHOWN_CHARS: usize = 80;

/// The cluster as one node reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterView {
    /// The nodes that have an address, in the order in which they are reported.
    pub nodes: Vec<Node>,
}

/// Why a reply to `CLUSTER NODES` could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ViewError {
    /// The reply lists more nodes than a cluster is expected to have.
    #[error("the reply to CLUSTER NODES lists more than {MAX_NODES} nodes")]
    TooManyNodes,
    /// The reply lists no node with an address.
    #[error("the reply to CLUSTER NODES lists no node with an address")]
    NoNodes,
    /// The line that describes a node is malformed.
    #[error("line of CLUSTER NODES without {missing}: {line}")]
    MalformedNode {
        /// The part that is missing or invalid.
        missing: &'static str,
        /// The start of the line.
        line: String,
    },
}

impl ClusterView {
    /// Parses the reply to `CLUSTER NODES`. `sender` is the address of the node that sent it, which
    /// may not know its own address.
    pub fn parse(text: &str, sender: SocketAddr) -> Result<ClusterView, ViewError> {
        let mut nodes = Vec::new();
        for line in text.lines().map(str::trim).filter(|line| !line.is_empty()) {
            if nodes.len() == MAX_NODES {
                return Err(ViewError::TooManyNodes);
            }
            let malformed = |missing| ViewError::MalformedNode {
                missing,
                line: line.chars().take(MAX_SHOWN_CHARS).collect(),
            };
            nodes.extend(Node::parse(line, sender).map_err(malformed)?);
        }
        if nodes.is_empty() {
            return Err(ViewError::NoNodes);
        }
        Ok(ClusterView { nodes })
    }

    /// The highest configuration epoch of any node.
    pub(crate) fn newest_epoch(&self) -> u64 {
        self.nodes.iter().map(|node| node.epoch).max().unwrap_or(0)
    }

    /// Whether the node with this address is part of the cluster and has not failed.
    pub(crate) fn is_live(&self, addr: SocketAddr) -> bool {
        self.nodes.iter().any(|node| node.addr == addr && !node.failed)
    }

    /// The nodes that may own slots: those that are neither replicas nor failed.
    pub(crate) fn live_owners(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.replica_of.is_none() && !node.failed)
    }

    /// The addresses of an owner's replicas that have not failed.
    pub(crate) fn live_replicas(&self, owner: &Node) -> Vec<SocketAddr> {
        let is_replica = |node: &&Node| node.replica_of.as_ref() == Some(&owner.id) && !node.failed;
        self.nodes.iter().filter(is_replica).map(|node| node.addr).collect()
    }
}
