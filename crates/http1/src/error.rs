//! What can be wrong with a message, or with reading it.

/// Why a message could not be read. Each error stands for the status that a client is answered
/// with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The head or the body's framing breaks the protocol, or the connection ended within a
    /// request.
    #[error("malformed message")]
    Malformed,
    /// The head missed its deadline, or the body came more slowly than a client may send it.
    #[error("message not received in time")]
    Timeout,
    /// The body is longer than its limit.
    #[error("body too long")]
    BodyTooLong,
    /// The head or the trailers are longer than their limit.
    #[error("head too long")]
    HeadTooLong,
    /// A response is malformed, or the connection ended within it.
    #[error("broken response")]
    BrokenResponse,
    /// No memory for a long body became free in time.
    #[error("no memory for the body")]
    NoMemory,
}

impl HttpError {
    /// The status that says so.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed => 400,
            HttpError::Timeout => 408,
            HttpError::BodyTooLong => 413,
            HttpError::HeadTooLong => 431,
            HttpError::BrokenResponse => 502,
            HttpError::NoMemory => 503,
        }
    }
}
