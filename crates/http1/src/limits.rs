//! How long messages may be, and how long they may take.

use chalkwalk_sockets::MemoryBudget;
use std::time::Instant;

/// The longest head, in bytes: twice what common servers accept by default is no use to anyone on
/// this protocol.
pub const MAX_HEAD: usize = 16 << 10;
/// The longest ordinary body, in bytes, as the platform's protocol has it: it is read whole,
/// without a reservation.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;
/// The longest body of all, in bytes.
pub const MAX_BODY: usize = 32 << 20;

/// The limits of reading one request.
pub struct RequestLimits<'a> {
    /// When its head has to be there.
    pub head_deadline: Instant,
    /// The longest body, in bytes.
    pub max_body: usize,
    /// What bodies of over [`MAX_BUFFERED_BODY`] are reserved of; one is not read further while
    /// nothing is free.
    pub memory: &'a MemoryBudget,
}
