//! The map from hash slots to servers, and the meaning of a server's error for a request, according
//! to the public cluster specification.
//!
//! This crate uses no sockets, clocks or wire types: nodes are identified by their addresses, and
//! the caller passes the time. The balancer, not this crate, decides which of the servers that may
//! serve a request gets the attempt, and whether a request is retried.

mod error_meaning;
mod node;
mod refresh;
mod route;
mod slot_map;
mod slot_range;
mod view;

pub use error_meaning::{ErrorMeaning, classify_error};
pub use node::Node;
pub use refresh::RefreshSchedule;
pub use route::RequestRoute;
pub use slot_map::{OutdatedView, SlotAssignment, SlotMap};
pub use slot_range::{SLOT_COUNT, SlotRange};
pub use view::{ClusterView, ViewError};
