//! What can be wrong with bytes that are read as RESP.

/// How bytes break the protocol or exceed a limit. The text goes into the error that a client is
/// answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The whole message exceeds its limit.
    #[error("too long")]
    TooLong,
    /// A line exceeds its limit.
    #[error("too long a line")]
    LineTooLong,
    /// A bulk string exceeds its limit.
    #[error("too long a bulk string")]
    BulkTooLong,
    /// An inline command exceeds the limit of a line.
    #[error("too big inline request")]
    InlineTooLong,
    /// More frames in one message than allowed.
    #[error("too many parts")]
    TooManyFrames,
    /// Aggregates are nested deeper than allowed.
    #[error("too deep")]
    TooDeep,
    /// A number that does not parse.
    #[error("no number")]
    InvalidNumber,
    /// A length that is negative or does not parse.
    #[error("no length")]
    InvalidLength,
    /// A count of elements that is negative or does not parse.
    #[error("no count")]
    InvalidCount,
    /// A bulk string does not end where its length says.
    #[error("a bulk string of another length")]
    LengthMismatch,
    /// A first byte that stands for no type, or a line that its type does not allow.
    #[error("no such type")]
    UnknownType,
    /// A command that holds something else than bulk strings.
    #[error("expected bulk strings")]
    ExpectedBulkStrings,
}
