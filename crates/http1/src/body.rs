//! Decodes the framing of a body incrementally, however the body is split into reads.

use crate::HttpError;

/// How the end of a body is indicated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// By a length given in advance, in bytes.
    Length(usize),
    /// By a chunk of size 0 (chunked transfer encoding).
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// This many more bytes of the body, followed by the end of the chunk if the body is chunked.
    Data(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// The line break after the data of a chunk.
    ChunkEnd,
    /// Trailer lines; an empty line ends them.
    Trailers,
    /// Bytes of the body until the connection closes.
    UntilClose,
    /// Nothing: the body is complete.
    Finished,
}

/// Maximum length of a chunk size line or a trailer line. No reasonable peer sends a longer line,
/// so it is treated as malformed.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum length of all trailers together. No reasonable peer sends more, so a message that
/// exceeds it is rejected.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// Decodes the framing of one body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    chunked: bool,
    /// Length of the trailers received so far.
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder for a body of which nothing has been decoded yet.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Finished,
            Framing::Length(length) => State::Data(length as u64),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, chunked: framing == Framing::Chunked, trailer_bytes: 0 }
    }

    /// Whether the body is complete.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Number of bytes that the message has announced and that are still to be decoded: the rest of
    /// the body if its length is known, or else of the current chunk.
    pub fn announced_bytes(&self) -> u64 {
        if let State::Data(remaining) = self.state { remaining } else { 0 }
    }

    /// Whether the close of the connection ends the body.
    pub fn ends_at_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Handles the close of the connection, which completes a body framed as `UntilClose`.
    pub fn handle_close(&mut self) {
        if self.ends_at_close() {
            self.state = State::Finished;
        }
    }

    /// Removes the encoded bytes from the start of the buffer, as far as they can be decoded, and
    /// returns the bytes of the body in them. The result is empty if the buffer holds too little, or
    /// if the body is complete. The buffer is moved once, however many chunks it holds.
    pub fn decode(&mut self, buf: &mut Vec<u8>) -> Result<Vec<u8>, HttpError> {
        if !self.chunked {
            return Ok(self.take_unchunked(buf));
        }
        let mut decoded = Vec::new();
        let mut consumed = 0;
        loop {
            let rest = &buf[consumed..];
            let step = match self.state {
                State::Finished | State::UntilClose => Step::INCOMPLETE,
                State::Data(remaining) => self.copy_data(remaining, rest, &mut decoded),
                State::ChunkEnd => self.skip_chunk_end(rest)?,
                State::ChunkSize => self.read_chunk_size(rest)?,
                State::Trailers => self.skip_trailer(rest)?,
            };
            if step.consumed == 0 {
                // The rest gets a buffer of its own size, so that a body that stalls holds no empty one.
                *buf = buf.split_off(consumed);
                return Ok(decoded);
            }
            consumed += step.consumed;
        }
    }

    fn take_unchunked(&mut self, buf: &mut Vec<u8>) -> Vec<u8> {
        match self.state {
            State::UntilClose => std::mem::take(buf),
            State::Data(remaining) => {
                let len = (buf.len() as u64).min(remaining);
                self.state = if len == remaining { State::Finished } else { State::Data(remaining - len) };
                let rest = buf.split_off(len as usize);
                std::mem::replace(buf, rest)
            }
            State::Finished | State::ChunkSize | State::ChunkEnd | State::Trailers => Vec::new(),
        }
    }

    // Each of the following methods consumes one element of the framing, or nothing while that
    // element is incomplete.

    fn copy_data(&mut self, remaining: u64, rest: &[u8], decoded: &mut Vec<u8>) -> Step {
        let len = (rest.len() as u64).min(remaining);
        decoded.extend_from_slice(&rest[..len as usize]);
        self.state = if len == remaining { State::ChunkEnd } else { State::Data(remaining - len) };
        Step { consumed: len as usize }
    }

    fn skip_chunk_end(&mut self, rest: &[u8]) -> Result<Step, HttpError> {
        match rest.get(..2) {
            None => Ok(Step::INCOMPLETE),
            Some(b"\r\n") => {
                self.state = State::ChunkSize;
                Ok(Step { consumed: 2 })
            }
            Some(_) => Err(HttpError::Malformed),
        }
    }

    fn read_chunk_size(&mut self, rest: &[u8]) -> Result<Step, HttpError> {
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((line_len, size))) => {
                self.state = if size == 0 { State::Trailers } else { State::Data(size) };
                Ok(Step { consumed: line_len })
            }
            Ok(httparse::Status::Partial) if rest.len() < MAX_LINE_BYTES => Ok(Step::INCOMPLETE),
            _ => Err(HttpError::Malformed),
        }
    }

    fn skip_trailer(&mut self, rest: &[u8]) -> Result<Step, HttpError> {
        let Some(len) = rest.windows(2).position(|window| window == b"\r\n") else {
            return if rest.len() < MAX_LINE_BYTES {
                Ok(Step::INCOMPLETE)
            } else {
                Err(HttpError::Malformed)
            };
        };
        let line_len = len + 2;
        self.trailer_bytes += line_len;
        if len == 0 {
            self.state = State::Finished;
        } else if self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(HttpError::HeadTooLong);
        }
        Ok(Step { consumed: line_len })
    }
}

/// How far one element of the framing was decoded.
#[derive(Clone, Copy)]
struct Step {
    /// The length of the element in the buffer; 0 while it is incomplete.
    consumed: usize,
}

impl Step {
    const INCOMPLETE: Step = Step { consumed: 0 };
}

#[cfg(test)]
mod tests;
