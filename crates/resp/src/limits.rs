//! How much is read at the most.

/// The longest and deepest message that is read; what exceeds a limit is a protocol error.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Of one bulk string, in bytes.
    pub max_bulk: usize,
    /// Of all frames of a message, the aggregates included.
    pub max_frames: usize,
    /// Of aggregates nested within each other.
    pub max_depth: usize,
    /// Of a line that is no bulk string, inline commands included, in bytes.
    pub max_line: usize,
    /// Of a whole message, in bytes.
    pub max_total: usize,
}

impl Default for ReadLimits {
    /// Bulk strings as long as a request's response may be, a thousand keys with their values, and
    /// lines as long as the errors of the dialect get.
    fn default() -> ReadLimits {
        ReadLimits { max_bulk: 1 << 20, max_frames: 4096, max_depth: 8, max_line: 8192, max_total: 4 << 20 }
    }
}
