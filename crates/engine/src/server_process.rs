//! Identifies the process that serves at a server's address.

use std::net::SocketAddr;

/// A process of a server, as the endpoint lists describe it. A connection belongs to the process that
/// it was opened to: a later process at the same address may be another server, or may have taken
/// over from one that still finishes its old connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    /// The address of the process.
    pub addr: SocketAddr,
    /// How often the process of this server index has changed.
    pub generation: u64,
}
