//! Encoding and decoding of RESP2 and RESP3 according to the public protocol specification, and
//! hash slots according to the public cluster specification. Decoding is incremental: the caller
//! passes the bytes received so far, and a complete message is returned as ranges of these bytes,
//! without a copy.
//!
//! This crate does no I/O, reads no clock, and does not interpret commands.

mod error;
mod frame;
mod limits;
mod parse;
mod read;
mod slot;
mod write;

pub use error::ProtocolError;
pub use frame::{Frame, FrameKind, parse_integer};
pub use limits::ReadLimits;
pub use read::Reader;
pub use slot::{SLOT_COUNT, hash_tag, slot_of};
pub use write::Writer;
