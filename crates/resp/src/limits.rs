//! Limits on the size of a message.

/// Limits on the size and the depth of a message. A message that exceeds a limit is a protocol
/// error.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// The maximum length of one bulk string.
    pub max_bulk_bytes: usize,
    /// The maximum number of frames in a message, aggregates included.
    pub max_frames: usize,
    /// The maximum depth of nested aggregates.
    pub max_depth: usize,
    /// The maximum length of a line. An inline command is a line; the body of a bulk string is not.
    pub max_line_bytes: usize,
    /// The maximum length of a whole message.
    pub max_message_bytes: usize,
}

impl Default for ReadLimits {
    /// These limits allow bulk strings as long as the response to a request may be, commands with a
    /// thousand keys and their values, and lines as long as the errors of cluster servers.
    fn default() -> ReadLimits {
        ReadLimits {
            max_bulk_bytes: 1 << 20,
            max_frames: 4096,
            max_depth: 8,
            max_line_bytes: 8192,
            max_message_bytes: 4 << 20,
        }
    }
}
