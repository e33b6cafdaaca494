//! Socket helpers that every protocol needs: reads and vectored writes, waits with a time limit,
//! and the memory budget that long messages share.
//!
//! The crate depends only on smol and the standard library, and contains nothing specific to a
//! protocol, request or server.

mod memory;
mod stream;
mod wait;

pub use memory::{MemoryBudget, MemoryReservation};
pub use stream::{is_idle, read_more, read_up_to, write_all};
pub use wait::{with_deadline, with_timeout};
