//! Limits on the length of messages and on the time to read them.

use chalkwalk_sockets::MemoryBudget;
use std::time::Instant;

/// Maximum length of a head. It is twice the default limit of common HTTP servers; no client of
/// the platform needs more.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum length of a body that is read whole without reserving memory. The platform's protocol
/// defines this as the longest ordinary body.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Maximum length of any body, in bytes.
pub const MAX_BODY_BYTES: usize = 32 << 20;

/// The limits for reading one request.
pub struct RequestLimits<'a> {
    /// The time by which the head must be complete.
    pub head_deadline: Instant,
    /// Maximum length of the body, in bytes.
    pub max_body_bytes: usize,
    /// The budget that bodies longer than [`MAX_BUFFERED_BODY_BYTES`] reserve memory from. Reading
    /// such a body pauses while the budget has too little free memory.
    pub memory: &'a MemoryBudget,
}
