//! Which server holds a hash slot, and what a server's answer means for a request, after the public cluster specification.
//!
//! It may use the standard library alone: no socket, clock or wire type ever enters it; nodes are their addresses, and times are
//! passed in. Which of the servers that may serve a request it goes to, and whether it is tried again, stays the balancer's.

mod error_meaning;
mod refresh;
mod route;
mod slot_map;
mod slot_range;

pub use error_meaning::{ErrorMeaning, classify_error};
pub use refresh::RefreshSchedule;
pub use route::RequestRoute;
pub use slot_map::{ClusterView, Node, SLOT_COUNT, SlotAssignment, SlotMap};
pub use slot_range::SlotRange;
