//! Responses, part by part or whole, and the simple requests that chalkwalk itself sends.

use crate::body::{BodyDecoder, Framing};
use crate::head::{Head, MessageKind, read_head};
use crate::{HttpError, Message};
use chalkwalk_sockets::{read_up_to, write_all};
use smol::Async;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// What one read of a body asks for unless the caller sets more, in bytes.
const DEFAULT_MAX_READ: usize = 4096;

/// A response whose head is there and whose body is still to come.
pub struct ResponseReader {
    /// The head.
    pub message: Message,
    /// The body's length in bytes, where the head has it.
    pub content_length: Option<u64>,
    /// What one read of the body asks for, in bytes.
    pub max_read: usize,
    decoder: BodyDecoder,
    /// Read of the stream, and not decoded yet.
    unread: Vec<u8>,
    max_body: usize,
    /// Bytes of the body so far.
    received: usize,
}

impl ResponseReader {
    /// Reads the head of the response to what was just written.
    pub async fn start(stream: &Async<TcpStream>) -> Result<ResponseReader, HttpError> {
        ResponseReader::start_with_limit(stream, usize::MAX).await
    }

    async fn start_with_limit(
        stream: &Async<TcpStream>,
        max_body: usize,
    ) -> Result<ResponseReader, HttpError> {
        let mut unread = Vec::new();
        let Head { message, framing, .. } =
            read_head(stream, &mut unread, MessageKind::Response, max_body).await?;
        let content_length = match framing {
            Framing::Length(length) => Some(length as u64),
            Framing::Chunked | Framing::UntilClose => None,
        };
        Ok(ResponseReader {
            message,
            content_length,
            max_read: DEFAULT_MAX_READ,
            decoder: BodyDecoder::new(framing),
            unread,
            max_body,
            received: 0,
        })
    }

    /// The next part of the body, `None` at its end. A dropped future has lost nothing.
    pub async fn next_part(&mut self, stream: &Async<TcpStream>) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            let part = self.decoder.decode(&mut self.unread)?;
            self.received += part.len();
            if (self.received as u64).saturating_add(self.decoder.announced()) > self.max_body as u64 {
                return Err(HttpError::BodyTooLong);
            }
            if !part.is_empty() {
                return Ok(Some(part));
            }
            if self.decoder.is_finished() {
                return Ok(None);
            }
            match read_up_to(stream, &mut self.unread, self.max_read).await {
                Ok(1..) => {}
                Ok(0) if self.decoder.ends_at_close() => self.decoder.close(),
                _ => return Err(HttpError::BrokenResponse),
            }
        }
    }

    /// Whether the connection may carry another request: the response has ended, and nothing came
    /// beyond it.
    pub fn is_reusable(&self) -> bool {
        self.decoder.is_finished() && !self.message.close && self.unread.is_empty()
    }

    /// Reads the body to its end. The message's `close` is set unless the connection may carry
    /// another request.
    async fn read_whole(mut self, stream: &Async<TcpStream>) -> Result<Message, HttpError> {
        let head_len = self.message.buf.len();
        while let Some(part) = self.next_part(stream).await? {
            self.message.buf.extend_from_slice(&part);
        }
        self.message.body = head_len..self.message.buf.len();
        self.message.close = !self.is_reusable();
        Ok(self.message)
    }
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum GetError {
    /// The request could not be written.
    #[error("not written: {0}")]
    Send(io::Error),
    /// The response could not be read.
    #[error("a broken response")]
    Response(HttpError),
}

/// Sends a GET; its response is still to be read.
pub async fn send_get(stream: &Async<TcpStream>, addr: SocketAddr, target: &str) -> io::Result<()> {
    let host = addr.to_string();
    let parts: [&[u8]; 5] =
        [b"GET ", target.as_bytes(), b" HTTP/1.1\r\nHost: ", host.as_bytes(), b"\r\n\r\n"];
    write_all(stream, &parts).await
}

/// Sends a GET and reads the response whole. `close` of the response says whether the connection is
/// of no further use.
pub async fn get(
    stream: &Async<TcpStream>,
    addr: SocketAddr,
    target: &str,
    max_body: usize,
) -> Result<Message, GetError> {
    send_get(stream, addr, target).await.map_err(GetError::Send)?;
    let response = ResponseReader::start_with_limit(stream, max_body).await.map_err(GetError::Response)?;
    response.read_whole(stream).await.map_err(GetError::Response)
}

/// The reason phrase of a status, for those that chalkwalk itself responds with.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
