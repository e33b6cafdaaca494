//! The head of a message: its start line, its header fields, and the framing of its body.

use crate::HttpError;
use crate::body::Framing;
use crate::limits::{MAX_HEAD_BYTES, MAX_UNRESERVED_BYTES};
use crate::memory::reserve;
use crate::message::{Header, Message};
use chalkwalk_sockets::{MessageReservation, read_more};
use smol::Async;
use std::net::TcpStream;
use std::ops::Range;

/// Maximum length of the buffer in which a head is read: the last read may go past its end.
const MAX_HEAD_BUFFER_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Maximum number of header fields in a head; a head with more is rejected.
const MAX_HEADERS: usize = 64;

/// Whether a message is a request or a response.
#[derive(Clone, Copy, PartialEq)]
pub enum MessageKind {
    /// A request, read from a client.
    Request,
    /// A response, read from a server.
    Response,
}

impl MessageKind {
    /// The error for a connection that ended before a message of this kind was complete.
    fn truncation_error(self) -> HttpError {
        match self {
            MessageKind::Request => HttpError::Malformed,
            MessageKind::Response => HttpError::BrokenResponse,
        }
    }
}

/// A parsed head. Its message holds only the bytes of the head so far.
pub struct Head {
    /// The message, still without its body.
    pub message: Message,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the client waits for `100 Continue` before it sends the body of a request.
    pub expects_continue: bool,
}

/// Reads a head from the stream and skips interim responses (1xx). `read_ahead` holds the bytes
/// that were read from the stream but belong to no message yet, both on entry and on return.
/// `memory`, if given, is the reservation of the message, which a long head extends first.
pub async fn read_head(
    stream: &Async<TcpStream>,
    read_ahead: &mut Vec<u8>,
    kind: MessageKind,
    max_body_bytes: usize,
    mut memory: Option<&mut MessageReservation>,
) -> Result<Head, HttpError> {
    loop {
        match parse_head(read_ahead, kind, max_body_bytes)? {
            Some((mut head, len)) if !is_interim(head.message.status) => {
                let after_head = read_ahead.split_off(len);
                head.message.buf = std::mem::replace(read_ahead, after_head);
                return Ok(head);
            }
            Some((_, interim_len)) => _ = read_ahead.drain(..interim_len),
            None => {
                if read_ahead.len() >= MAX_UNRESERVED_BYTES
                    && let Some(reservation) = &mut memory
                {
                    reserve(reservation, MAX_HEAD_BUFFER_BYTES).await?;
                }
                if !matches!(read_more(stream, read_ahead).await, Ok(1..)) {
                    return Err(kind.truncation_error());
                }
            }
        }
    }
}

fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

/// Parses the head at the start of the buffer. Returns it with its length in bytes, or `None` while
/// it is incomplete.
fn parse_head(
    buf: &[u8],
    kind: MessageKind,
    max_body_bytes: usize,
) -> Result<Option<(Head, usize)>, HttpError> {
    let parsed = match kind {
        MessageKind::Request => parse_request(buf)?,
        MessageKind::Response => parse_response(buf)?,
    };
    let Some(Parsed { mut message, len, minor_version }) = parsed else { return Ok(None) };
    if len > MAX_HEAD_BYTES {
        return Err(HttpError::HeadTooLong);
    }
    message.is_http10 = minor_version == 0;
    let fields = FramingFields::from_headers(buf, &message.headers)?;
    message.close = message.is_http10 || fields.close;
    let framing = fields.framing(kind, &message, max_body_bytes)?;
    Ok(Some((Head { message, framing, expects_continue: fields.expects_continue }, len)))
}

/// A head as parsed by httparse.
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
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(HttpError::HeadTooLong);
        }
        Err(_) => return Err(HttpError::Malformed),
    };
    let message = Message {
        method: subslice_range(buf, request.method.unwrap_or("").as_bytes()),
        target: subslice_range(buf, request.path.unwrap_or("").as_bytes()),
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
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
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
        name: subslice_range(buf, header.name.as_bytes()),
        value: subslice_range(buf, header.value),
    };
    headers.iter().map(ranges).collect()
}

/// The range of a subslice within the buffer. The address of an empty subslice may lie outside of
/// the buffer, so its range is always `0..0`.
fn subslice_range(buf: &[u8], subslice: &[u8]) -> Range<usize> {
    let start = (subslice.as_ptr() as usize).wrapping_sub(buf.as_ptr() as usize);
    if subslice.is_empty() { 0..0 } else { start..start + subslice.len() }
}

/// The header fields that determine the framing of the body and the reuse of the connection.
#[derive(Default)]
struct FramingFields {
    content_lengths: Vec<usize>,
    chunked: bool,
    close: bool,
    expects_continue: bool,
}

impl FramingFields {
    fn from_headers(buf: &[u8], headers: &[Header]) -> Result<FramingFields, HttpError> {
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
        // Conflicting indications of the message's length allow request smuggling, so a message
        // with more than one is rejected, even if they agree.
        if fields.content_lengths.len() + usize::from(fields.chunked) > 1 {
            return Err(HttpError::Malformed);
        }
        Ok(fields)
    }

    /// The framing of the body according to RFC 9112, section 6.3.
    fn framing(
        &self,
        kind: MessageKind,
        message: &Message,
        max_body_bytes: usize,
    ) -> Result<Framing, HttpError> {
        if is_interim(message.status) || matches!(message.status, 204 | 304) {
            return Ok(Framing::Length(0));
        }
        if self.chunked {
            return Ok(Framing::Chunked);
        }
        match self.content_lengths.first() {
            Some(length) if *length > max_body_bytes => Err(HttpError::BodyTooLong),
            Some(length) => Ok(Framing::Length(*length)),
            None if kind == MessageKind::Request => Ok(Framing::Length(0)),
            // A truncated body would look complete here, so this framing is accepted only from a
            // peer that announces that it will close the connection.
            None if message.close => Ok(Framing::UntilClose),
            None => Err(HttpError::BrokenResponse),
        }
    }
}
