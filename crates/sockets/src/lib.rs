//! Socket helpers that every protocol needs: reads and vectored writes, writes to peers that read
//! slowly, waits with a time limit, and the memory that the messages of all peers may hold.
//!
//! The crate depends only on smol and the standard library, and contains nothing specific to a
//! protocol, request or server.

mod linger;
mod memory;
mod message_memory;
mod paced_writer;
mod stream;
mod wait;

pub use linger::{LingerLimits, close_after_peer};
pub use memory::{MemoryBudget, MemoryReservation};
pub use message_memory::{MAX_SHORT_MESSAGE_BYTES, MessageMemory, MessageReservation};
pub use paced_writer::{PacedWriter, WriteAllowance, WriteError};
pub use stream::{LATER_READ_BYTES, PeerState, is_idle, peer_state, read_more, read_up_to, write_all};
pub use wait::{with_deadline, with_timeout};
