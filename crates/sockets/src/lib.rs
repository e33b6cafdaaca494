//! Helpers for bytes on sockets that every protocol needs: reads and gathered writes, waits with a
//! time limit, and the memory that long messages share.
//!
//! It depends on smol and the standard library only. No protocol, request or server is known here.

mod memory;
mod stream;
mod wait;

pub use memory::{MemoryBudget, MemoryReservation};
pub use stream::{is_idle, read_more, read_up_to, write_all};
pub use wait::{wait_until, within};
