//! Stage "reply": the final response, written to the client.

use crate::reply::Reply;
use chalkwalk_engine::response::BodyStream;
use chalkwalk_sockets::{read_more, within, write_all};
use smol::Async;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A client that takes no more for so long has gone: a short body fits into what the system
/// buffers, and of a long one a client that reads 64 kB a second takes several parts.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long, and how much, what a client still sends is read and dropped: closed at once, the
/// connection would be reset and the reply lost with it.
const LINGER_TIME: Duration = Duration::from_millis(300);
const LINGER_MAX_BYTES: usize = 256 << 10;

/// What the client's connection allows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyOptions {
    /// The connection ends with the reply.
    pub close: bool,
    /// The client speaks HTTP/1.0, and knows no chunks.
    pub http10: bool,
}

/// Writes the reply. Returns whether the connection may carry another.
pub(crate) async fn write_reply(stream: &Async<TcpStream>, mut reply: Reply, options: ReplyOptions) -> bool {
    match reply.stream.take() {
        Some(body) => write_streamed(stream, &reply, *body, options).await,
        None => write_whole(stream, &reply, options.close).await,
    }
}

/// Writes a reply to what is wrong, and ends the connection.
pub(crate) async fn refuse(stream: &Async<TcpStream>, reply: Reply) {
    write_reply(stream, reply, ReplyOptions { close: true, http10: false }).await;
    linger(stream).await;
}

async fn write_whole(stream: &Async<TcpStream>, reply: &Reply, close: bool) -> bool {
    let head = reply.head(Some(reply.body.len() as u64), close) + "\r\n";
    let parts = [head.as_bytes(), &reply.body];
    let written = within(WRITE_TIMEOUT, write_all(stream, &parts)).await;
    let keep = matches!(written, Some(Ok(()))) && !close;
    if !keep {
        shut_down(stream);
    }
    keep
}

async fn write_streamed(
    stream: &Async<TcpStream>,
    reply: &Reply,
    body: BodyStream,
    options: ReplyOptions,
) -> bool {
    let framing = Framing::new(body.content_length, options.http10);
    let close = options.close || framing == Framing::UntilClose;
    let complete = stream_body(stream, reply, body, framing, close).await.is_some();
    if !complete && framing == Framing::UntilClose {
        // Closed in order, it would look complete: it is reset.
        _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
        return false;
    }
    if complete && !close {
        return true;
    }
    shut_down(stream);
    false
}

fn shut_down(stream: &Async<TcpStream>) {
    _ = stream.get_ref().shutdown(Shutdown::Write);
}

/// How a client knows where a streamed body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    ContentLength(u64),
    Chunked,
    UntilClose,
}

impl Framing {
    fn new(content_length: Option<u64>, http10: bool) -> Framing {
        match content_length {
            Some(length) => Framing::ContentLength(length),
            None if http10 => Framing::UntilClose,
            None => Framing::Chunked,
        }
    }

    fn content_length(self) -> Option<u64> {
        match self {
            Framing::ContentLength(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// The field for it that does not come with every head, and the end of the head.
    fn end_of_head(self) -> &'static str {
        match self {
            Framing::Chunked => "Transfer-Encoding: chunked\r\n\r\n",
            Framing::ContentLength(_) | Framing::UntilClose => "\r\n",
        }
    }
}

/// Writes a long body part by part; `None` if it broke off, here or at the server.
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
    /// Writes a part of the body, and something before it.
    async fn write(&self, before: &str, part: &[u8]) -> Option<()> {
        let is_chunk = self.chunked && !part.is_empty();
        let size = if is_chunk { format!("{:x}\r\n", part.len()) } else { String::new() };
        let end: &[u8] = if is_chunk { b"\r\n" } else { b"" };
        let parts = [before.as_bytes(), size.as_bytes(), part, end];
        within(WRITE_TIMEOUT, write_all(self.stream, &parts)).await?.ok()
    }

    /// Writes the end of a complete body.
    async fn finish(&self) -> Option<()> {
        if self.chunked { self.write("0\r\n\r\n", b"").await } else { Some(()) }
    }
}

async fn linger(stream: &Async<TcpStream>) {
    let drained = async {
        let mut dropped = 0;
        let mut buffer = Vec::new();
        while let Ok(read @ 1..) = read_more(stream, &mut buffer).await {
            dropped += read;
            buffer.clear();
            if dropped > LINGER_MAX_BYTES {
                // No more is read, at no cost; the reply still can be.
                std::future::pending::<()>().await;
            }
        }
    };
    within(LINGER_TIME, drained).await;
}
