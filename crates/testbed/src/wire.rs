//! HTTP/1.1 framing for stand-ins, clients and the baselines: bodies by length only, as all of them write it. It is the
//! lab's own, so that a fault in the proxy's framing cannot hide itself.

use crate::evidence::Id;
use smol::Async;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::ops::Range;

/// Longer messages are refused: no experiment has longer values.
const MAX_MESSAGE: usize = 4 << 20;
const MAX_FIELDS: usize = 48;

#[derive(Debug)]
pub enum ReadError {
    /// The connection ended between two messages.
    Closed,
    /// It ended, or broke, within one.
    Truncated,
    /// What came is no message.
    Malformed,
}

/// One message, and where its parts stand in it.
#[derive(Default)]
pub struct Message {
    pub bytes: Vec<u8>,
    pub body: Range<usize>,
    pub status: u16,
    pub close: bool,
    method: Range<usize>,
    target: Range<usize>,
    fields: Vec<(Range<usize>, Range<usize>)>,
}

impl Message {
    fn text(&self, at: &Range<usize>) -> &str {
        std::str::from_utf8(&self.bytes[at.clone()]).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.text(&self.method)
    }

    pub fn target(&self) -> &str {
        self.text(&self.target)
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let named = |(n, _): &&(Range<usize>, Range<usize>)| self.text(n).eq_ignore_ascii_case(name);
        self.fields.iter().find(named).map(|(_, value)| self.text(value).trim())
    }

    pub fn body(&self) -> &[u8] {
        &self.bytes[self.body.clone()]
    }
}

fn range_of(buf: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).wrapping_sub(buf.as_ptr() as usize);
    if part.is_empty() { 0..0 } else { start..start + part.len() }
}

/// The head at the start of the buffer, its length, and that of the body.
fn head(buf: &[u8], is_request: bool) -> Result<Option<(Message, usize, usize)>, ReadError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut message = Message::default();
    let parsed = if is_request {
        let mut request = httparse::Request::new(&mut lines);
        let parsed = request.parse(buf);
        message.method = range_of(buf, request.method.unwrap_or("").as_bytes());
        message.target = range_of(buf, request.path.unwrap_or("").as_bytes());
        parsed
    } else {
        let mut response = httparse::Response::new(&mut lines);
        let parsed = response.parse(buf);
        message.status = response.code.unwrap_or(0);
        parsed
    };
    let len = match parsed {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) if buf.len() < 64 << 10 => return Ok(None),
        _ => return Err(ReadError::Malformed),
    };
    let headers = lines.iter().take_while(|l| !l.name.is_empty());
    message.fields = headers.map(|l| (range_of(buf, l.name.as_bytes()), range_of(buf, l.value))).collect();
    let mut length = 0;
    for line in lines.iter().take_while(|l| !l.name.is_empty()) {
        if line.name.eq_ignore_ascii_case("Content-Length") {
            let headers = std::str::from_utf8(line.value).ok().and_then(|v| v.trim().parse().ok());
            length = headers.filter(|n| *n <= MAX_MESSAGE).ok_or(ReadError::Malformed)?;
        } else if line.name.eq_ignore_ascii_case("Transfer-Encoding") {
            return Err(ReadError::Malformed);
        } else if line.name.eq_ignore_ascii_case("Connection") {
            message.close = line.value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok(Some((message, len, length)))
}

/// A connection and what was read from it ahead.
pub struct Connection {
    pub stream: Async<TcpStream>,
    pub buffered: Vec<u8>,
    /// The request whose attempt is open on it.
    pub open_attempt: Option<Id>,
}

impl Connection {
    pub fn new(stream: Async<TcpStream>) -> Connection {
        _ = stream.get_ref().set_nodelay(true);
        Connection { stream, buffered: Vec::new(), open_attempt: None }
    }

    /// Reads some more; `Ok(0)` is the end. Dropped while it waits, it has read nothing.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            let old = self.buffered.len();
            self.buffered.resize(old + 4096.max(old), 0);
            let got = self.stream.get_ref().read(&mut self.buffered[old..]);
            self.buffered.truncate(old + got.as_ref().copied().unwrap_or(0));
            match got {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.stream.readable().await?,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                got => return got,
            }
        }
    }

    async fn message(&mut self, is_request: bool) -> Result<Message, ReadError> {
        loop {
            if !self.buffered.is_empty()
                && let Some((mut message, len, length)) = head(&self.buffered, is_request)?
                && self.buffered.len() >= len + length
            {
                let rest = self.buffered.split_off(len + length);
                message.bytes = std::mem::replace(&mut self.buffered, rest);
                message.body = len..len + length;
                if !is_request && (100..200).contains(&message.status) {
                    continue;
                }
                return Ok(message);
            }
            let partial = !self.buffered.is_empty();
            if !matches!(self.fill().await, Ok(1..)) {
                return Err(if partial { ReadError::Truncated } else { ReadError::Closed });
            }
        }
    }

    pub async fn read_request(&mut self) -> Result<Message, ReadError> {
        self.message(true).await
    }

    /// The next answer; interim ones are passed over.
    pub async fn read_response(&mut self) -> Result<Message, ReadError> {
        self.message(false).await
    }

    /// Writes all parts, gathered.
    pub async fn write(&self, parts: &[&[u8]]) -> io::Result<()> {
        let mut slices: Vec<IoSlice> =
            parts.iter().filter(|p| !p.is_empty()).map(|p| IoSlice::new(p)).collect();
        let mut left = &mut slices[..];
        while !left.is_empty() {
            let wrote = match self.stream.get_ref().write_vectored(left) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                wrote => wrote?,
            };
            if wrote == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            IoSlice::advance_slices(&mut left, wrote);
        }
        Ok(())
    }

    /// Whether nothing has come that should not have, its end included.
    pub fn is_idle(&self) -> bool {
        let nothing = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        self.buffered.is_empty() && self.stream.get_ref().peek(&mut [0]).is_err_and(|e| nothing(&e))
    }

    /// Ends it with a reset, whatever is still to be read or written.
    pub fn reset(self) {
        _ = socket2::SockRef::from(self.stream.get_ref()).set_linger(Some(std::time::Duration::ZERO));
    }

    /// Whether the other side has ended the connection by now, and sent nothing before that.
    pub fn is_closed(&self) -> bool {
        let mut one = [0];
        match self.stream.get_ref().peek(&mut one) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Comes to an end when the other side ends the connection; what it sends meanwhile stays in `buffered`.
    pub async fn wait_closed(&mut self) {
        while matches!(self.fill().await, Ok(1..)) {
            if self.buffered.len() > MAX_MESSAGE {
                return;
            }
        }
    }
}

/// An answer's head; `extra` lines end with a line break each.
pub fn response_head(status: u16, length: usize, extra: &str) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Said",
    };
    format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n{extra}\r\n")
}
