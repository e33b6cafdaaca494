//! Takes the framing off a body, whatever pieces it comes in.

use crate::HttpError;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By a chunk of size 0.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// What comes next of a body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// So many bytes of the body; a chunk's end follows if it is chunked.
    Data(u64),
    /// The line with a chunk's size.
    ChunkSize,
    /// The line end behind a chunk's data.
    ChunkEnd,
    /// Lines of trailers; an empty one is the end.
    Trailers,
    /// Bytes of the body up to the connection's end.
    UntilClose,
    /// Nothing.
    Finished,
}

/// A line of framing or of trailers that is longer is nonsense, in bytes.
const MAX_LINE: usize = 1024;
/// All trailers together, in bytes: more are nonsense.
const MAX_TRAILERS: usize = 16 << 10;

/// Takes the framing off one body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    chunked: bool,
    /// Bytes of trailers so far.
    trailers: usize,
}

impl BodyDecoder {
    /// A decoder at the body's start.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Finished,
            Framing::Length(length) => State::Data(length as u64),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state, chunked: framing == Framing::Chunked, trailers: 0 }
    }

    /// Whether all of the body has come.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Bytes of the body that are announced to come next.
    pub fn announced(&self) -> u64 {
        if let State::Data(left) = self.state { left } else { 0 }
    }

    /// Whether the end of the connection is the end of the body.
    pub fn ends_at_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// The connection has ended, and with it a body that goes on until there.
    pub fn close(&mut self) {
        if self.ends_at_close() {
            self.state = State::Finished;
        }
    }

    /// What of the body is in the buffer, taken out of it. Empty if more has to come first, or at
    /// the end.
    pub fn decode(&mut self, buf: &mut Vec<u8>) -> Result<Vec<u8>, HttpError> {
        loop {
            let advanced = match self.state {
                State::Finished => return Ok(Vec::new()),
                State::UntilClose => return Ok(std::mem::take(buf)),
                State::Data(left) => return Ok(self.take_data(left, buf)),
                State::ChunkEnd => self.skip_chunk_end(buf)?,
                State::ChunkSize => self.read_chunk_size(buf)?,
                State::Trailers => self.skip_trailer(buf)?,
            };
            if !advanced {
                return Ok(Vec::new());
            }
        }
    }

    fn take_data(&mut self, left: u64, buf: &mut Vec<u8>) -> Vec<u8> {
        let len = (buf.len() as u64).min(left);
        self.state = match left - len {
            0 if self.chunked => State::ChunkEnd,
            0 => State::Finished,
            left => State::Data(left),
        };
        let behind = buf.split_off(len as usize);
        std::mem::replace(buf, behind)
    }

    // Steps over framing. Each is false while its line is not whole.

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
            Ok(httparse::Status::Partial) if buf.len() < MAX_LINE => Ok(false),
            _ => Err(HttpError::Malformed),
        }
    }

    fn skip_trailer(&mut self, buf: &mut Vec<u8>) -> Result<bool, HttpError> {
        let Some(len) = buf.windows(2).position(|window| window == b"\r\n") else {
            return if buf.len() < MAX_LINE { Ok(false) } else { Err(HttpError::Malformed) };
        };
        let line_len = len + 2;
        buf.drain(..line_len);
        self.trailers += line_len;
        if len == 0 {
            self.state = State::Finished;
        } else if self.trailers > MAX_TRAILERS {
            return Err(HttpError::HeadTooLong);
        }
        Ok(true)
    }
}

#[cfg(test)]
mod tests;
