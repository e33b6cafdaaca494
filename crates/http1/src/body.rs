//! A body part by part, as it comes: for answers that are longer than is read whole.

use crate::{Form, Head, HttpError, Message, head_of};
use chalkwalk_sockets::read_up_to;
use smol::Async;
use std::net::TcpStream;

/// Where in its framing a body is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    /// Bytes of the body, so many until the next of framing.
    Data(u64),
    /// A chunk's size, or the empty line behind a chunk and its size.
    Size,
    Newline,
    Trailers,
    /// Bytes up to the connection's end.
    Open,
    End,
}

/// Takes the framing off a body, whatever pieces it comes in.
#[derive(Debug)]
pub struct Body {
    at: At,
    chunked: bool,
    trailers: usize, // bytes of them
}

/// Longer lines of framing, and more trailers, are nonsense.
const LONGEST_LINE: usize = 1024;
const LONGEST_TRAILERS: usize = 16 << 10;

impl Body {
    pub(crate) fn new(form: Form) -> Body {
        let at = match form {
            Form::Length(0) => At::End,
            Form::Length(n) => At::Data(n as u64),
            Form::Chunked => At::Size,
            Form::ToTheEnd => At::Open,
        };
        Body { at, chunked: form == Form::Chunked, trailers: 0 }
    }

    /// The connection has ended, and with it a body that goes on to there.
    pub(crate) fn close(&mut self) {
        if self.at == At::Open {
            self.at = At::End;
        }
    }

    /// Bytes that are announced to come next.
    pub(crate) fn announced(&self) -> u64 {
        if let At::Data(left) = self.at { left } else { 0 }
    }

    pub fn ended(&self) -> bool {
        self.at == At::End
    }

    /// What of the body is in the buffer, taken out of it; empty if more has to come first, or at the end.
    pub fn take(&mut self, buf: &mut Vec<u8>) -> Result<Vec<u8>, HttpError> {
        loop {
            match self.at {
                At::End => return Ok(Vec::new()),
                At::Open => return Ok(std::mem::take(buf)),
                At::Data(left) => {
                    let n = (buf.len() as u64).min(left);
                    let left = left - n;
                    self.at = match left {
                        0 if self.chunked => At::Newline,
                        0 => At::End,
                        left => At::Data(left),
                    };
                    let rest = buf.split_off(n as usize);
                    let part = std::mem::replace(buf, rest);
                    if !part.is_empty() || left > 0 {
                        return Ok(part);
                    }
                }
                At::Newline => match buf.get(..2) {
                    None => return Ok(Vec::new()),
                    Some(b"\r\n") => {
                        buf.drain(..2);
                        self.at = At::Size;
                    }
                    Some(_) => return Err(HttpError::Malformed),
                },
                At::Size => match httparse::parse_chunk_size(buf) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buf.drain(..used);
                        self.at = if size == 0 { At::Trailers } else { At::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if buf.len() < LONGEST_LINE => return Ok(Vec::new()),
                    _ => return Err(HttpError::Malformed),
                },
                At::Trailers => match buf.windows(2).position(|w| w == b"\r\n") {
                    Some(n) => {
                        buf.drain(..n + 2);
                        self.trailers += n + 2;
                        if n == 0 {
                            self.at = At::End;
                        } else if self.trailers > LONGEST_TRAILERS {
                            return Err(HttpError::HeadTooLong);
                        }
                    }
                    None if buf.len() < LONGEST_LINE => return Ok(Vec::new()),
                    None => return Err(HttpError::Malformed),
                },
            }
        }
    }
}

/// An answer whose head is there and whose body is still to come.
pub struct ResponseReader {
    pub message: Message,
    /// Of the body in bytes, where it is told.
    pub content_length: Option<u64>,
    body: Body,
    rest: Vec<u8>,
    /// The most that is read at once, in bytes.
    pub max_read: usize,
}

impl ResponseReader {
    /// The head of the answer to what was just written.
    pub async fn start(stream: &Async<TcpStream>) -> Result<ResponseReader, HttpError> {
        let mut rest = Vec::new();
        let Head { mut message, len, form, .. } = head_of(stream, &mut rest, false, usize::MAX).await?;
        let behind = rest.split_off(len);
        message.buf = std::mem::replace(&mut rest, behind);
        let content_length = match form {
            Form::Length(n) => Some(n as u64),
            _ => None,
        };
        Ok(ResponseReader { message, content_length, body: Body::new(form), rest, max_read: 4096 })
    }

    /// The next part of the body, `None` at its end. Dropped while it waits, it has lost nothing.
    pub async fn next_part(&mut self, stream: &Async<TcpStream>) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            let part = self.body.take(&mut self.rest)?;
            if !part.is_empty() {
                return Ok(Some(part));
            }
            if self.body.ended() {
                return Ok(None);
            }
            match read_up_to(stream, &mut self.rest, self.max_read).await {
                Ok(0) if self.body.at == At::Open => self.body.close(),
                Ok(1..) => {}
                _ => return Err(HttpError::BrokenResponse),
            }
        }
    }

    /// Whether the connection may carry more: the answer has ended, and nothing came beyond it.
    pub fn is_reusable(&self) -> bool {
        self.body.ended() && !self.message.close && self.rest.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// The body of a text that comes in those pieces, and whether it ended.
    fn pieces(form: Form, text: &[u8], cuts: &[usize]) -> Result<(Vec<u8>, bool), HttpError> {
        let (mut body, mut buf, mut out, mut from) = (Body::new(form), Vec::new(), Vec::new(), 0);
        for to in cuts.iter().copied().chain([text.len()]) {
            buf.extend(&text[from..to]);
            from = to;
            loop {
                let part = body.take(&mut buf)?;
                out.extend(&part);
                if part.is_empty() {
                    break;
                }
            }
        }
        Ok((out, body.ended()))
    }

    #[test]
    fn a_body_is_the_same_whatever_byte_it_is_cut_at() {
        let chunked = b"5;a=\"b\"\r\nhello\r\n1\r\n \r\n6\r\nreader\r\n0\r\nT: t\r\nU: u\r\n\r\n";
        let told: [(Form, &[u8], &[u8]); 2] =
            [(Form::Chunked, chunked, b"hello reader"), (Form::Length(12), b"hello reader", b"hello reader")];
        for (form, text, body) in told {
            for one in 0..text.len() {
                for two in one..text.len() {
                    assert_eq!(pieces(form, text, &[one, two]), Ok((body.to_vec(), true)), "{one} {two}");
                }
                assert!(!pieces(form, &text[..one], &[]).unwrap().1, "cut short at {one} it looks whole");
            }
        }
        for wrong in [&b"x\r\n"[..], b"2\r\nabc\r\n", b"-1\r\n", b"fffffffffffffffff\r\n"] {
            assert!(pieces(Form::Chunked, wrong, &[]).is_err(), "{wrong:?}");
        }
    }

    proptest! {
        #[test]
        fn any_chunks_in_any_pieces_are_one_body(
            chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..6),
            cuts in prop::collection::vec(0..1000usize, 0..8),
        ) {
            let mut text = Vec::new();
            for chunk in &chunks {
                text.extend(format!("{:x}\r\n", chunk.len()).bytes());
                text.extend(chunk);
                text.extend(b"\r\n");
            }
            text.extend(b"0\r\n\r\n");
            let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % text.len()).collect();
            cuts.sort_unstable();
            prop_assert_eq!(pieces(Form::Chunked, &text, &cuts), Ok((chunks.concat(), true)));
        }

        #[test]
        fn nonsense_is_an_error_or_waits(noise in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = pieces(Form::Chunked, &noise, &[]);
        }
    }
}
