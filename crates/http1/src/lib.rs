//! HTTP/1.1 message framing (RFC 9112), shared by all HTTP connections of the proxy: parses heads
//! in place, decodes bodies framed by their length or in chunks, and reads requests whole and
//! responses whole or part by part.
//!
//! The crate uses `sockets` for I/O and timeouts. It does not interpret what a message means to a
//! client or a server.

mod body;
mod error;
mod head;
mod limits;
mod memory;
mod message;
mod request;
mod response;

pub use error::HttpError;
pub use limits::{
    MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, MAX_UNRESERVED_BYTES, RequestLimits,
};
pub use message::Message;
pub use request::read_request;
pub use response::{GetError, ResponseReader, get, reason_phrase, send_get};
