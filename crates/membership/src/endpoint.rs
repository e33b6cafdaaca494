//! One endpoint of an endpoint list, independent of the list's source.

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::Timestamp;
use std::net::SocketAddr;

/// The maximum number of endpoints in an accepted list. The design limit is a fleet of ten thousand
/// servers, and as many more may be draining.
pub const MAX_ENDPOINTS: usize = 20_000;

/// A server as described by a source of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Identifies the server across restarts of its process.
    pub id: String,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The zone that the server runs in.
    pub zone: String,
    /// The kind of server; empty if the source does not distinguish kinds.
    pub kind: String,
    /// The cell that the server belongs to.
    pub cell: u64,
    /// The configured weight in hundredths; 100 if the source gives no weight.
    pub weight_hundredths: u64,
    /// Whether the server is in service, draining or gone.
    pub status: EndpointStatus,
    /// When the server's process started (Unix time). This identifies the incarnation; 0 means that
    /// the start is unknown, and is taken to be long ago.
    pub started_at: Timestamp,
}

/// An entry of a source's list: an endpoint and the source's instruction for it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The listed endpoint.
    pub endpoint: ListedEndpoint,
    /// The server is deliberately back in service although it was drained and has not been
    /// restarted since.
    pub reinstated: bool,
}

impl From<ListedEndpoint> for ListEntry {
    /// Creates an entry with `reinstated` unset.
    fn from(endpoint: ListedEndpoint) -> ListEntry {
        ListEntry { endpoint, reinstated: false }
    }
}
