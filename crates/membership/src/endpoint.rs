//! One endpoint of a list, whatever source the list has.

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::Timestamp;
use std::net::SocketAddr;

/// The longest list that is accepted: ten thousand servers are the largest fleet in mind, and as
/// many may be draining.
pub const MAX_ENDPOINTS: usize = 20_000;

/// A server as a source of the list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Names the server over all its incarnations.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The zone it stands in.
    pub zone: String,
    /// What kind of server it is; empty where the source has no kinds.
    pub kind: String,
    /// The cell it belongs to.
    pub cell: u64,
    /// Its stated weight, in hundredths; 100 where none is stated.
    pub size: u64,
    /// Whether it is in service.
    pub status: EndpointStatus,
    /// When its process started, Unix time: it identifies the incarnation. 0: long ago.
    pub born: Timestamp,
}

/// An endpoint in a source's list, with what the source wants done with it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The endpoint.
    pub endpoint: ListedEndpoint,
    /// In service again on purpose, though it was drained and has not been restarted since.
    pub reinstated: bool,
}

impl From<ListedEndpoint> for ListEntry {
    /// An entry that is not reinstated.
    fn from(endpoint: ListedEndpoint) -> ListEntry {
        ListEntry { endpoint, reinstated: false }
    }
}
