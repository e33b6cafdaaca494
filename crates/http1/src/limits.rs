//! Limits on the length of messages and on the time to read them.

use chalkwalk_sockets::{MAX_SHORT_MESSAGE_BYTES, MessageMemory};
use std::time::Instant;

/// Maximum length of a head. It is twice the default limit of common HTTP servers; no client of
/// the platform needs more.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum length of a response body that is read whole before it is forwarded. The platform's
/// protocol defines this as the longest ordinary body.
pub const MAX_BUFFERED_BODY_BYTES: usize = MAX_SHORT_MESSAGE_BYTES;
/// Maximum length of a head or a body that is held without reserving memory.
pub const MAX_UNRESERVED_BYTES: usize = 4 << 10;
/// Maximum length of any body, in bytes.
pub const MAX_BODY_BYTES: usize = 32 << 20;

/// The limits for reading one request.
pub struct RequestLimits<'a> {
    /// The time by which the head must be complete.
    pub head_deadline: Instant,
    /// Maximum length of the body, in bytes.
    pub max_body_bytes: usize,
    /// The memory in which heads and bodies longer than [`MAX_UNRESERVED_BYTES`] reserve their
    /// place. Reading such a message pauses while too little is free.
    pub memory: &'a MessageMemory,
}
