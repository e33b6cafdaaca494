//! HTTP/1.1 framing (RFC 9112), shared by all peers: heads parsed in place, lengths and chunks,
//! requests read whole and responses read whole or in parts.
//!
//! It depends on `sockets` for bytes and waits. What a message means to a cache or a client is not
//! known here.

mod body;
mod error;
mod head;
mod limits;
mod message;
mod request;
mod response;

pub use error::HttpError;
pub use limits::{MAX_BODY, MAX_BUFFERED_BODY, MAX_HEAD, RequestLimits};
pub use message::Message;
pub use request::read_request;
pub use response::{GetError, ResponseReader, get, reason, send_get};
