//! Stage "reply": writes the final response to the client.

use crate::reply::Reply;
use chalkwalk_engine::response::BodyStream;
use chalkwalk_sockets::{read_more, with_timeout, write_all};
use smol::Async;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Maximum time to write a whole reply, or one part of a streamed body. A client that takes longer
/// is treated as disconnected. A short body fits into the socket's send buffer, and a client that
/// reads 64 kB per second accepts several parts of a long body in this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// After an error reply, data that the client still sends is read and discarded for up to this time
/// and up to `LINGER_MAX_BYTES`. If the socket were closed immediately, unread data would cause a
/// connection reset, and the client could lose the reply.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of bytes that are discarded during [`LINGER_TIMEOUT`].
const LINGER_MAX_BYTES: usize = 256 << 10;

/// How a reply is written, depending on the client's connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyOptions {
    /// Whether the connection is closed after the reply.
    pub close: bool,
    /// Whether the client uses HTTP/1.0, which does not support chunked encoding.
    pub is_http10: bool,
}

/// Writes a reply. Returns whether the connection may carry another request.
pub(crate) async fn write_reply(stream: &Async<TcpStream>, mut reply: Reply, options: ReplyOptions) -> bool {
    match reply.stream.take() {
        Some(body) => write_streamed(stream, &reply, *body, options).await,
        None => write_whole(stream, &reply, options.close).await,
    }
}

/// Writes the reply to an invalid message and closes the connection.
pub(crate) async fn refuse(stream: &Async<TcpStream>, reply: Reply) {
    write_reply(stream, reply, ReplyOptions { close: true, is_http10: false }).await;
    linger(stream).await;
}

async fn write_whole(stream: &Async<TcpStream>, reply: &Reply, close: bool) -> bool {
    let head = reply.head(Some(reply.body.len() as u64), close) + "\r\n";
    let parts = [head.as_bytes(), &reply.body];
    let written = with_timeout(WRITE_TIMEOUT, write_all(stream, &parts)).await;
    let keep_open = matches!(written, Some(Ok(()))) && !close;
    if !keep_open {
        shutdown_write(stream);
    }
    keep_open
}

async fn write_streamed(
    stream: &Async<TcpStream>,
    reply: &Reply,
    body: BodyStream,
    options: ReplyOptions,
) -> bool {
    let framing = Framing::new(body.content_length, options.is_http10);
    let close = options.close || framing == Framing::UntilClose;
    let complete = stream_body(stream, reply, body, framing, close).await.is_some();
    if !complete && framing == Framing::UntilClose {
        // With an orderly close the body would look complete, so the connection is reset.
        _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
        return false;
    }
    if complete && !close {
        return true;
    }
    shutdown_write(stream);
    false
}

fn shutdown_write(stream: &Async<TcpStream>) {
    _ = stream.get_ref().shutdown(Shutdown::Write);
}

/// How the end of a streamed body is indicated to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    ContentLength(u64),
    Chunked,
    UntilClose,
}

impl Framing {
    fn new(content_length: Option<u64>, is_http10: bool) -> Framing {
        match content_length {
            Some(length) => Framing::ContentLength(length),
            None if is_http10 => Framing::UntilClose,
            None => Framing::Chunked,
        }
    }

    fn content_length(self) -> Option<u64> {
        match self {
            Framing::ContentLength(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// The framing header field that [`Reply::head`] does not write, and the empty line that ends
    /// the head.
    fn end_of_head(self) -> &'static str {
        match self {
            Framing::Chunked => "Transfer-Encoding: chunked\r\n\r\n",
            Framing::ContentLength(_) | Framing::UntilClose => "\r\n",
        }
    }
}

/// Writes a long body part by part. Returns `None` if the body was truncated, because either the
/// write to the client or the read from the server failed.
async fn stream_body(
    stream: &Async<TcpStream>,
    reply: &Reply,
    body: BodyStream,
    framing: Framing,
    close: bool,
) -> Option<()> {
    let head = reply.head(framing.content_length(), close) + framing.end_of_head();
    let writer = PartWriter { stream, chunked: framing == Framing::Chunked };
    writer.write(&head, &reply.body).await?;
    while let Ok(part) = body.parts.recv().await {
        writer.write("", &part).await?;
    }
    if !body.complete.get() {
        return None;
    }
    writer.finish().await
}

struct PartWriter<'a> {
    stream: &'a Async<TcpStream>,
    chunked: bool,
}

impl PartWriter<'_> {
    /// Writes `prefix` unframed, followed by a part of the body.
    async fn write(&self, prefix: &str, part: &[u8]) -> Option<()> {
        let is_chunk = self.chunked && !part.is_empty();
        let chunk_size_line = if is_chunk { format!("{:x}\r\n", part.len()) } else { String::new() };
        let chunk_end: &[u8] = if is_chunk { b"\r\n" } else { b"" };
        let parts = [prefix.as_bytes(), chunk_size_line.as_bytes(), part, chunk_end];
        with_timeout(WRITE_TIMEOUT, write_all(self.stream, &parts)).await?.ok()
    }

    /// Writes the end of the body, if the framing has one.
    async fn finish(&self) -> Option<()> {
        if self.chunked { self.write("0\r\n\r\n", b"").await } else { Some(()) }
    }
}

/// Reads and discards what the client still sends, so that it receives the error reply.
async fn linger(stream: &Async<TcpStream>) {
    let discard_input = async {
        let mut discarded_bytes = 0;
        let mut buffer = Vec::new();
        while let Ok(read_bytes @ 1..) = read_more(stream, &mut buffer).await {
            discarded_bytes += read_bytes;
            buffer.clear();
            if discarded_bytes > LINGER_MAX_BYTES {
                // Reading stops here, which bounds the cost; the client can still read the reply
                // until the timeout.
                std::future::pending::<()>().await;
            }
        }
    };
    with_timeout(LINGER_TIMEOUT, discard_input).await;
}
