//! The head of a message: its first line, its header fields, and how its body is framed.

use crate::HttpError;
use crate::body::Framing;
use crate::limits::MAX_HEAD;
use crate::message::{Header, Message};
use chalkwalk_sockets::read_more;
use smol::Async;
use std::net::TcpStream;
use std::ops::Range;

/// A head with more header fields is refused.
const MAX_HEADERS: usize = 64;

/// What a head begins.
#[derive(Clone, Copy, PartialEq)]
pub enum MessageKind {
    /// A request, read from a client.
    Request,
    /// A response, read from a server.
    Response,
}

impl MessageKind {
    /// What it means that the connection ended within such a message.
    fn cut_short(self) -> HttpError {
        match self {
            MessageKind::Request => HttpError::Malformed,
            MessageKind::Response => HttpError::BrokenResponse,
        }
    }
}

/// A head that was read. Its message holds the head's bytes only.
pub struct Head {
    /// The message so far.
    pub message: Message,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether a request's client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Reads a head off the stream; a response's interim heads (1xx) are skipped. `unread` holds what
/// was read of the stream and belongs to no message yet, before and after.
pub async fn read_head(
    stream: &Async<TcpStream>,
    unread: &mut Vec<u8>,
    kind: MessageKind,
    max_body: usize,
) -> Result<Head, HttpError> {
    loop {
        match parse_head(unread, kind, max_body)? {
            Some((mut head, len)) if !is_interim(head.message.status) => {
                let after_head = unread.split_off(len);
                head.message.buf = std::mem::replace(unread, after_head);
                return Ok(head);
            }
            Some((_, interim_len)) => _ = unread.drain(..interim_len),
            None if matches!(read_more(stream, unread).await, Ok(1..)) => {}
            None => return Err(kind.cut_short()),
        }
    }
}

fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

/// The head at the start of the buffer and its length, or `None` while it is not whole.
fn parse_head(buf: &[u8], kind: MessageKind, max_body: usize) -> Result<Option<(Head, usize)>, HttpError> {
    let parsed = match kind {
        MessageKind::Request => parse_request(buf)?,
        MessageKind::Response => parse_response(buf)?,
    };
    let Some(Parsed { mut message, len, minor_version }) = parsed else { return Ok(None) };
    if len > MAX_HEAD {
        return Err(HttpError::HeadTooLong);
    }
    message.is_http10 = minor_version == 0;
    let fields = FramingFields::of(buf, &message.headers)?;
    message.close = message.is_http10 || fields.close;
    let framing = fields.framing(kind, &message, max_body)?;
    Ok(Some((Head { message, framing, expects_continue: fields.expects_continue }, len)))
}

/// What httparse makes of a head.
struct Parsed {
    message: Message,
    len: usize,
    minor_version: u8,
}

fn parse_request(buf: &[u8]) -> Result<Option<Parsed>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let len = match request.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(HttpError::HeadTooLong);
        }
        Err(_) => return Err(HttpError::Malformed),
    };
    let message = Message {
        method: range_in(buf, request.method.unwrap_or("").as_bytes()),
        target: range_in(buf, request.path.unwrap_or("").as_bytes()),
        headers: header_ranges(buf, request.headers),
        ..Message::default()
    };
    Ok(Some(Parsed { message, len, minor_version: request.version.unwrap_or(0) }))
}

fn parse_response(buf: &[u8]) -> Result<Option<Parsed>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let len = match response.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD => return Ok(None),
        _ => return Err(HttpError::BrokenResponse),
    };
    let message = Message {
        status: response.code.unwrap_or(0),
        headers: header_ranges(buf, response.headers),
        ..Message::default()
    };
    Ok(Some(Parsed { message, len, minor_version: response.version.unwrap_or(0) }))
}

fn header_ranges(buf: &[u8], headers: &[httparse::Header]) -> Vec<Header> {
    let ranges = |header: &httparse::Header| Header {
        name: range_in(buf, header.name.as_bytes()),
        value: range_in(buf, header.value),
    };
    headers.iter().map(ranges).collect()
}

/// Where a part of the buffer stands in it. An empty one may be a part of anything.
fn range_in(buf: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).wrapping_sub(buf.as_ptr() as usize);
    if part.is_empty() { 0..0 } else { start..start + part.len() }
}

/// What the header fields say of the body and of the connection.
#[derive(Default)]
struct FramingFields {
    content_lengths: Vec<usize>,
    chunked: bool,
    close: bool,
    expects_continue: bool,
}

impl FramingFields {
    fn of(buf: &[u8], headers: &[Header]) -> Result<FramingFields, HttpError> {
        let mut fields = FramingFields::default();
        let text = |range: &Range<usize>| String::from_utf8_lossy(&buf[range.clone()]).to_ascii_lowercase();
        for header in headers {
            let value = text(&header.value);
            match text(&header.name).as_str() {
                "content-length" if value.bytes().all(|byte| byte.is_ascii_digit()) => {
                    let length = value.parse().map_err(|_| HttpError::BodyTooLong)?;
                    fields.content_lengths.push(length);
                }
                "content-length" => return Err(HttpError::Malformed),
                "transfer-encoding" if value.trim() == "chunked" && !fields.chunked => fields.chunked = true,
                "transfer-encoding" => return Err(HttpError::Malformed),
                "connection" => fields.close |= value.split(',').any(|option| option.trim() == "close"),
                "expect" => fields.expects_continue = value.trim() == "100-continue",
                _ => {}
            }
        }
        // Two statements of where a message ends are how one is smuggled into another.
        if fields.content_lengths.len() + usize::from(fields.chunked) > 1 {
            return Err(HttpError::Malformed);
        }
        Ok(fields)
    }

    /// How the body is framed, by RFC 9112, section 6.3.
    fn framing(&self, kind: MessageKind, message: &Message, max_body: usize) -> Result<Framing, HttpError> {
        if is_interim(message.status) || matches!(message.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        if self.chunked {
            return Ok(Framing::Chunked);
        }
        match self.content_lengths.first() {
            Some(length) if *length > max_body => Err(HttpError::BodyTooLong),
            Some(length) => Ok(Framing::Length(*length)),
            None if kind == MessageKind::Request => Ok(Framing::Length(0)),
            // Cut short, the body would look whole: accepted only from a side that announces that
            // it closes.
            None if message.close => Ok(Framing::UntilClose),
            None => Err(HttpError::BrokenResponse),
        }
    }
}
