//! Socket helpers that every protocol needs: reads and vectored writes, writes to peers that read
//! slowly, waits with a time limit, and the memory budget that long messages share.
//!
//! The crate depends only on smol and the standard library, and contains nothing specific to a
//! protocol, request or server.

mod memory;
mod paced_writer;
mod stream;
mod wait;

pub use memory::{MemoryBudget, MemoryReservation};
pub use paced_writer::{PacedWriter, WriteAllowance, WriteError};
pub use stream::{is_idle, read_more, read_up_to, write_all};
pub use wait::{with_deadline, with_timeout};
