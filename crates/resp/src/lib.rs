//! RESP2 and RESP3 on the wire, after the public protocol specification, and the hash slots of the
//! cluster dialect, after the public cluster specification. Reading is incremental: bytes go in as
//! they come, and whole messages come out as ranges of them, without a copy.
//!
//! It does no I/O and knows no clock, no request and no command's meaning.

mod error;
mod frame;
mod limits;
mod parse;
mod read;
mod slot;
mod write;

pub use error::ProtocolError;
pub use frame::{Frame, FrameKind, number};
pub use limits::ReadLimits;
pub use read::Reader;
pub use slot::{SLOTS, hash_tag, slot_of};
pub use write::Writer;
