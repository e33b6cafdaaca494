//! RESP2 and RESP3 on the wire, after the public protocol specification, and the hash slots of the cluster dialect, after the
//! public cluster specification. Incremental: bytes go in as they come, whole frames come out as places in them.
//!
//! It may use the standard library alone. No socket, clock or request ever enters it, nor what a command means.

mod error;
mod read;
mod slot;
mod write;

pub use error::ProtocolError;
pub use read::{Frame, FrameKind, ReadLimits, Reader, number};
pub use slot::{SLOTS, hash_tag, slot_of};
pub use write::Writer;
