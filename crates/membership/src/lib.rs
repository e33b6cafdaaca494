//! Membership: which servers there are, worked out from what sources of the list say, and how many proxies share them.
//!
//! It may use `policy`'s plain words, serde and its formats, and crc32fast. No socket, file or clock ever enters it: times are
//! passed in, texts go in and come out. What it decides is what the core is told of the list; which server a request goes to
//! stays the balancer's.

pub mod count;
pub mod format;
pub mod persisted;
pub mod reconcile;

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::Timestamp;
use std::net::SocketAddr;

/// One line of a list, from whatever source.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    /// Stated, in hundredths; 100 where nothing is stated.
    pub size: u64,
    pub status: EndpointStatus,
    /// When its process started, Unix time; 0: long ago.
    pub born: Timestamp,
}

/// The longest list that is taken: ten thousand servers are the largest fleet in mind, and as many may be on their way out.
pub const MOST_LINES: usize = 20_000;
