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

    /// Removes the next bytes of the body from the buffer and returns them without their framing.
    /// The result is empty if the buffer holds too little, or if the body is complete.
    pub fn decode(&mut self, buf: &mut Vec<u8>) -> Result<Vec<u8>, HttpError> {
        loop {
            let advanced = match self.state {
                State::Finished => return Ok(Vec::new()),
                State::UntilClose => return Ok(std::mem::take(buf)),
                State::Data(remaining) => return Ok(self.take_data(remaining, buf)),
                State::ChunkEnd => self.skip_chunk_end(buf)?,
                State::ChunkSize => self.read_chunk_size(buf)?,
                State::Trailers => self.skip_trailer(buf)?,
            };
            if !advanced {
                return Ok(Vec::new());
            }
        }
    }

    fn take_data(&mut self, remaining: u64, buf: &mut Vec<u8>) -> Vec<u8> {
        let len = (buf.len() as u64).min(remaining);
        self.state = match remaining - len {
            0 if self.chunked => State::ChunkEnd,
            0 => State::Finished,
            remaining => State::Data(remaining),
        };
        let rest = buf.split_off(len as usize);
        std::mem::replace(buf, rest)
    }

    // Each of the following methods consumes one element of the framing. It returns false while
    // that element is incomplete.

    fn skip_chunk_end(&mut self, buf: &mut Vec<u8>) -> Result<bool, HttpError> {
        match buf.get(..2) {
            None => Ok(false),
            Some(b"\r\n") => {
                buf.drain(..2);
                self.state = State::ChunkSize;
                Ok(true)
            }
            Some(_) => Err(HttpError::Malformed),
        }
    }

    fn read_chunk_size(&mut self, buf: &mut Vec<u8>) -> Result<bool, HttpError> {
        match httparse::parse_chunk_size(buf) {
            Ok(httparse::Status::Complete((line_len, size))) => {
                buf.drain(..line_len);
                self.state = if size == 0 { State::Trailers } else { State::Data(size) };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buf.len() < MAX_LINE_BYTES => Ok(false),
            _ => Err(HttpError::Malformed),
        }
    }

    fn skip_trailer(&mut self, buf: &mut Vec<u8>) -> Result<bool, HttpError> {
        let Some(len) = buf.windows(2).position(|window| window == b"\r\n") else {
            return if buf.len() < MAX_LINE_BYTES { Ok(false) } else { Err(HttpError::Malformed) };
        };
        let line_len = len + 2;
        buf.drain(..line_len);
        self.trailer_bytes += line_len;
        if len == 0 {
            self.state = State::Finished;
        } else if self.trailer_bytes > MAX_TRAILER_BYTES {
            return Err(HttpError::HeadTooLong);
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
