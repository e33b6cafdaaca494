//! HTTP/1.1 framing for simulated services, clients and baseline proxies. Bodies are delimited by
//! Content-Length only, because all of them send it. This module shares no code with the proxy, so
//! that a bug in the proxy's framing cannot hide itself.

use crate::evidence::RequestId;
use smol::Async;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::ops::Range;

/// Maximum message length in bytes: no experiment has longer values.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Maximum number of header fields: a proxy sends a dozen.
const MAX_FIELDS: usize = 48;
/// Maximum length of a message head in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Minimum number of bytes that a read asks for.
const MIN_READ_BYTES: usize = 4096;

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection was closed between two messages.
    #[error("the connection was closed between two messages")]
    Closed,
    /// The connection was closed or failed within a message.
    #[error("the connection was closed or failed within a message")]
    Truncated,
    /// The bytes received are not a valid message.
    #[error("the received bytes are not a valid message")]
    Malformed,
}

/// The positions of a header field's name and value in the message.
struct Field {
    name: Range<usize>,
    value: Range<usize>,
}

/// A message, and the positions of its parts in its bytes.
#[derive(Default)]
pub struct Message {
    /// The whole message.
    pub bytes: Vec<u8>,
    /// The status code of a response; 0 for a request.
    pub status: u16,
    /// Whether the connection is closed after the message.
    pub close: bool,
    body: Range<usize>,
    method: Range<usize>,
    target: Range<usize>,
    fields: Vec<Field>,
}

impl Message {
    fn text(&self, range: &Range<usize>) -> &str {
        std::str::from_utf8(&self.bytes[range.clone()]).unwrap_or("")
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.text(&self.method)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.text(&self.target)
    }

    /// A header field's value.
    pub fn field(&self, name: &str) -> Option<&str> {
        let has_name = |field: &&Field| self.text(&field.name).eq_ignore_ascii_case(name);
        self.fields.iter().find(has_name).map(|field| self.text(&field.value).trim())
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body.clone()]
    }
}

/// The kind of message to parse.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    Request,
    Response,
}

/// A parsed head, with the lengths of the head and the body.
struct Head {
    message: Message,
    length: usize,
    body_length: usize,
}

/// The position of a part of a buffer.
fn range_of(buffer: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).wrapping_sub(buffer.as_ptr() as usize);
    if part.is_empty() { 0..0 } else { start..start + part.len() }
}

/// Parses the head at the start of the buffer; `None` if it is incomplete.
fn parse_head(buffer: &[u8], kind: MessageKind) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut message = Message::default();
    let parsed = match kind {
        MessageKind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let parsed = request.parse(buffer);
            message.method = range_of(buffer, request.method.unwrap_or("").as_bytes());
            message.target = range_of(buffer, request.path.unwrap_or("").as_bytes());
            parsed
        }
        MessageKind::Response => {
            let mut response = httparse::Response::new(&mut headers);
            let parsed = response.parse(buffer);
            message.status = response.code.unwrap_or(0);
            parsed
        }
    };
    let length = match parsed {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(ReadError::Malformed),
    };
    let mut body_length = 0;
    for header in headers.iter().take_while(|header| !header.name.is_empty()) {
        let name = range_of(buffer, header.name.as_bytes());
        message.fields.push(Field { name, value: range_of(buffer, header.value) });
        if header.name.eq_ignore_ascii_case("Content-Length") {
            body_length = content_length(header.value)?;
        } else if header.name.eq_ignore_ascii_case("Transfer-Encoding") {
            return Err(ReadError::Malformed);
        } else if header.name.eq_ignore_ascii_case("Connection") {
            message.close = header.value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok(Some(Head { message, length, body_length }))
}

fn content_length(value: &[u8]) -> Result<usize, ReadError> {
    let length = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok());
    length.filter(|length| *length <= MAX_MESSAGE_BYTES).ok_or(ReadError::Malformed)
}

/// A connection, and the bytes read from it that no message has consumed yet.
pub struct Connection {
    /// The connection's socket.
    pub stream: Async<TcpStream>,
    /// Bytes that were read and not yet consumed by a message.
    pub buffered: Vec<u8>,
    /// The id of the request whose attempt is in progress on the connection.
    pub open_attempt: Option<RequestId>,
}

impl Connection {
    /// A connection on which nothing has been read yet.
    pub fn new(stream: Async<TcpStream>) -> Connection {
        _ = stream.get_ref().set_nodelay(true);
        Connection { stream, buffered: Vec::new(), open_attempt: None }
    }

    /// Reads more bytes into the buffer; `Ok(0)` is the end of the stream. Cancel safe: a future
    /// that is dropped while it waits has read nothing.
    pub async fn read_more(&mut self) -> io::Result<usize> {
        loop {
            let old_length = self.buffered.len();
            self.buffered.resize(old_length + MIN_READ_BYTES.max(old_length), 0);
            let result = self.stream.get_ref().read(&mut self.buffered[old_length..]);
            self.buffered.truncate(old_length + result.as_ref().copied().unwrap_or(0));
            match result {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.stream.readable().await?,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Reads the next message; interim responses are skipped.
    async fn read_message(&mut self, kind: MessageKind) -> Result<Message, ReadError> {
        loop {
            if let Some(message) = self.buffered_message(kind)? {
                if kind == MessageKind::Response && (100..200).contains(&message.status) {
                    continue;
                }
                return Ok(message);
            }
            let partial = !self.buffered.is_empty();
            if !matches!(self.read_more().await, Ok(1..)) {
                return Err(if partial { ReadError::Truncated } else { ReadError::Closed });
            }
        }
    }

    /// Takes the message at the start of the buffer, if it is complete.
    fn buffered_message(&mut self, kind: MessageKind) -> Result<Option<Message>, ReadError> {
        if self.buffered.is_empty() {
            return Ok(None);
        }
        let Some(head) = parse_head(&self.buffered, kind)? else { return Ok(None) };
        let length = head.length + head.body_length;
        if self.buffered.len() < length {
            return Ok(None);
        }
        let rest = self.buffered.split_off(length);
        let mut message = head.message;
        message.bytes = std::mem::replace(&mut self.buffered, rest);
        message.body = head.length..length;
        Ok(Some(message))
    }

    /// Reads the next request.
    pub async fn read_request(&mut self) -> Result<Message, ReadError> {
        self.read_message(MessageKind::Request).await
    }

    /// Reads the next response; interim responses are skipped.
    pub async fn read_response(&mut self) -> Result<Message, ReadError> {
        self.read_message(MessageKind::Response).await
    }

    /// Writes all parts with vectored writes.
    pub async fn write(&self, parts: &[&[u8]]) -> io::Result<()> {
        let mut slices: Vec<IoSlice> =
            parts.iter().filter(|part| !part.is_empty()).map(|part| IoSlice::new(part)).collect();
        let mut remaining = &mut slices[..];
        while !remaining.is_empty() {
            let written = match self.stream.get_ref().write_vectored(remaining) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                written => written?,
            };
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            IoSlice::advance_slices(&mut remaining, written);
        }
        Ok(())
    }

    /// Whether there is nothing to read: neither unexpected bytes nor the end of the stream.
    pub fn is_idle(&self) -> bool {
        let would_block = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        self.buffered.is_empty() && self.stream.get_ref().peek(&mut [0]).is_err_and(|e| would_block(&e))
    }

    /// Closes the connection with a reset, even if bytes are still to be read or written.
    pub fn reset(self) {
        _ = socket2::SockRef::from(self.stream.get_ref()).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Whether the peer has closed the connection and no bytes are left to be read.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        match self.stream.get_ref().peek(&mut byte) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Waits until the peer closes the connection, or until more than `MAX_MESSAGE_BYTES` are
    /// buffered; bytes that the peer sends meanwhile stay in `buffered`.
    pub async fn wait_closed(&mut self) {
        while matches!(self.read_more().await, Ok(1..)) {
            if self.buffered.len() > MAX_MESSAGE_BYTES {
                return;
            }
        }
    }
}

/// Encodes the head of a response; each line in `extra_lines` ends with a line break.
pub fn response_head(status: u16, length: usize, extra_lines: &str) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Said",
    };
    format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n{extra_lines}\r\n")
}
