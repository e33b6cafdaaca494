//! Errors in bytes that are read as RESP.

/// How bytes break the protocol or exceed a limit. The frontend sends the text of the error to the
/// client in an error reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The message is longer than `ReadLimits::max_message_bytes`, or an incomplete frame in it is
    /// longer than a frame may be.
    #[error("too long")]
    MessageTooLong,
    /// A line is longer than `ReadLimits::max_line_bytes`.
    #[error("too long a line")]
    LineTooLong,
    /// A bulk string is longer than `ReadLimits::max_bulk_bytes`.
    #[error("too long a bulk string")]
    BulkTooLong,
    /// An inline command is longer than `ReadLimits::max_line_bytes`.
    #[error("too big inline request")]
    InlineTooLong,
    /// A message has more frames than `ReadLimits::max_frames`.
    #[error("too many parts")]
    TooManyFrames,
    /// Aggregates are nested deeper than `ReadLimits::max_depth`.
    #[error("too deep")]
    TooDeep,
    /// An integer does not parse.
    #[error("no number")]
    InvalidInteger,
    /// The length of a bulk string is negative or does not parse.
    #[error("no length")]
    InvalidLength,
    /// The element count of an aggregate is negative or does not parse.
    #[error("no count")]
    InvalidCount,
    /// A bulk string is not terminated by a line break at the position that its length gives.
    #[error("a bulk string of another length")]
    LengthMismatch,
    /// The first byte of a frame stands for no type, or its line is invalid for its type.
    #[error("no such type")]
    UnknownType,
    /// An element of a command is not a bulk string.
    #[error("expected bulk strings")]
    ExpectedBulkStrings,
}
