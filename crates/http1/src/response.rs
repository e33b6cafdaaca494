//! Reads responses part by part or whole, and sends the GET requests that the proxy itself
//! originates.

use crate::body::{BodyDecoder, Framing};
use crate::head::{Head, MessageKind, read_head};
use crate::{HttpError, Message};
use chalkwalk_sockets::{read_up_to, write_all};
use smol::Async;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Maximum length of one read of a body, unless the caller sets another.
const DEFAULT_MAX_READ_BYTES: usize = 4096;

/// A response whose head has been read and whose body is read part by part.
pub struct ResponseReader {
    /// The message, with its head only.
    pub message: Message,
    /// The length of the body in bytes, if the head states it.
    pub content_length: Option<u64>,
    /// Maximum length of one read of the body.
    pub max_read_bytes: usize,
    decoder: BodyDecoder,
    /// Bytes that were read from the stream and are not decoded yet.
    read_ahead: Vec<u8>,
    max_body_bytes: usize,
    /// Length of the body decoded so far.
    received_bytes: usize,
}

impl ResponseReader {
    /// Reads the head of the response to the request that was just written.
    pub async fn start(stream: &Async<TcpStream>) -> Result<ResponseReader, HttpError> {
        ResponseReader::start_with_limit(stream, usize::MAX).await
    }

    async fn start_with_limit(
        stream: &Async<TcpStream>,
        max_body_bytes: usize,
    ) -> Result<ResponseReader, HttpError> {
        let mut read_ahead = Vec::new();
        let Head { message, framing, .. } =
            read_head(stream, &mut read_ahead, MessageKind::Response, max_body_bytes, None).await?;
        let content_length = match framing {
            Framing::Length(length) => Some(length as u64),
            Framing::Chunked | Framing::UntilClose => None,
        };
        Ok(ResponseReader {
            message,
            content_length,
            max_read_bytes: DEFAULT_MAX_READ_BYTES,
            decoder: BodyDecoder::new(framing),
            read_ahead,
            max_body_bytes,
            received_bytes: 0,
        })
    }

    /// Returns the next part of the body, or `None` at its end. Cancel-safe: dropping the future
    /// loses no data.
    pub async fn next_part(&mut self, stream: &Async<TcpStream>) -> Result<Option<Vec<u8>>, HttpError> {
        loop {
            let part = self.decoder.decode(&mut self.read_ahead)?;
            self.received_bytes += part.len();
            if (self.received_bytes as u64).saturating_add(self.decoder.announced_bytes())
                > self.max_body_bytes as u64
            {
                return Err(HttpError::BodyTooLong);
            }
            if !part.is_empty() {
                return Ok(Some(part));
            }
            if self.decoder.is_finished() {
                return Ok(None);
            }
            match read_up_to(stream, &mut self.read_ahead, self.max_read_bytes).await {
                Ok(1..) => {}
                Ok(0) if self.decoder.ends_at_close() => self.decoder.handle_close(),
                _ => return Err(HttpError::BrokenResponse),
            }
        }
    }

    /// Whether the connection may carry another request: the response is complete, does not close
    /// the connection, and was not followed by further bytes.
    pub fn is_reusable(&self) -> bool {
        self.decoder.is_finished() && !self.message.close && self.read_ahead.is_empty()
    }

    /// Reads the rest of the body. Sets `close` in the message unless the connection may carry
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

/// Why a GET request failed.
#[derive(Debug, thiserror::Error)]
pub enum GetError {
    /// The request could not be sent.
    #[error("cannot send the request: {0}")]
    Send(io::Error),
    /// The response could not be read.
    #[error("cannot read the response: {0}")]
    Response(HttpError),
}

/// Sends a GET request without reading its response.
pub async fn send_get(stream: &Async<TcpStream>, addr: SocketAddr, target: &str) -> io::Result<()> {
    let host = addr.to_string();
    let parts: [&[u8]; 5] =
        [b"GET ", target.as_bytes(), b" HTTP/1.1\r\nHost: ", host.as_bytes(), b"\r\n\r\n"];
    write_all(stream, &parts).await
}

/// Sends a GET request and reads the whole response. Sets `close` in the response unless the
/// connection may carry another request.
pub async fn get(
    stream: &Async<TcpStream>,
    addr: SocketAddr,
    target: &str,
    max_body_bytes: usize,
) -> Result<Message, GetError> {
    send_get(stream, addr, target).await.map_err(GetError::Send)?;
    let response =
        ResponseReader::start_with_limit(stream, max_body_bytes).await.map_err(GetError::Response)?;
    response.read_whole(stream).await.map_err(GetError::Response)
}

/// The reason phrase of a status code, for the codes that the proxy itself sends.
pub fn reason_phrase(status: u16) -> &'static str {
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
