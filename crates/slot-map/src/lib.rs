//! Which server holds a hash slot, and what a server's error means for a request, after the public
//! cluster specification.
//!
//! No socket, no clock and no wire type enters this crate: nodes are their addresses, and times are
//! passed in. It does not decide which of the servers that may serve a request gets the attempt,
//! nor whether a request is retried; the balancer does.

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
