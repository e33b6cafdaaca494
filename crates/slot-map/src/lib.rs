//! Which server holds a hash slot, and what a server's answer means for a request, after the public cluster specification.
//!
//! It may use the standard library alone: no socket, clock or wire type ever enters it; nodes are their addresses, and times are
//! passed in. Which of the servers that may serve a request it goes to, and whether it is tried again, stays the balancer's.

mod map;
mod meaning;
mod refresh;
mod slot_range;
mod way;

pub use map::{Map, Node, Part, SLOT_COUNT, View};
pub use meaning::{Meaning, meaning};
pub use refresh::Refresh;
pub use slot_range::SlotRange;
pub use way::Way;
