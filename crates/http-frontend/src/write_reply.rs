//! Stage "reply": writes the final response to the client.

use crate::reply::Reply;
use chalkwalk_engine::response::BodyStream;
use chalkwalk_sockets::{LingerLimits, PacedWriter, WriteError, close_after_peer};
use smol::Async;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How long a client that accepts nothing of a reply is waited for. Beyond that, it must read at the
/// minimum rate of [`PacedWriter`], or else it is treated as disconnected.
const WRITE_ALLOWANCE: Duration = Duration::from_secs(2);

/// After an error reply, data that the client still sends is discarded for a moment, so that it
/// receives the reply.
const LINGER_LIMITS: LingerLimits =
    LingerLimits { timeout: Duration::from_millis(300), max_bytes: 256 << 10 };
/// The end of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How a reply is written, depending on the client's connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyOptions {
    /// Whether the connection is closed after the reply.
    pub close: bool,
    /// Whether the client uses HTTP/1.0, which does not support chunked encoding.
    pub is_http10: bool,
}

/// How the writing of a reply ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyOutcome {
    /// The reply is written, and the connection may carry another request.
    KeepOpen,
    /// The reply is written or was cut off by its client or server; the connection is closed.
    Closed,
    /// The proxy cut the reply off because the client took its bytes too slowly.
    ClientTooSlow {
        /// The bytes of the reply that the client's socket had accepted.
        written_bytes: u64,
    },
}

/// Writes a reply.
pub(crate) async fn write_reply(
    stream: &Async<TcpStream>,
    mut reply: Reply,
    options: ReplyOptions,
) -> ReplyOutcome {
    match reply.stream.take() {
        Some(body) => write_streamed(stream, &reply, *body, options).await,
        None => write_whole(stream, &reply, options.close).await,
    }
}

/// Writes the reply to an invalid message and closes the connection.
pub(crate) async fn refuse(stream: &Async<TcpStream>, reply: Reply) {
    write_reply(stream, reply, ReplyOptions { close: true, is_http10: false }).await;
    close_after_peer(stream, LINGER_LIMITS).await;
}

/// Why a reply is cut off.
#[derive(Clone, Copy, Debug)]
enum CutOff {
    /// The client took the bytes of the reply too slowly.
    ClientTooSlow,
    /// The client has disconnected.
    ClientDisconnected,
    /// The server did not send the rest of the body.
    Server,
}

impl CutOff {
    fn outcome(self, written_bytes: u64) -> ReplyOutcome {
        match self {
            CutOff::ClientTooSlow => ReplyOutcome::ClientTooSlow { written_bytes },
            CutOff::ClientDisconnected | CutOff::Server => ReplyOutcome::Closed,
        }
    }
}

impl From<WriteError> for CutOff {
    fn from(error: WriteError) -> CutOff {
        match error {
            WriteError::PeerTooSlow => CutOff::ClientTooSlow,
            WriteError::Connection(_) => CutOff::ClientDisconnected,
        }
    }
}

async fn write_whole(stream: &Async<TcpStream>, reply: &Reply, close: bool) -> ReplyOutcome {
    let head = reply.head(Some(reply.body.len() as u64), close) + "\r\n";
    let mut writer = ReplyWriter::new(stream);
    let written = writer.write(&[head.as_bytes(), &reply.body]).await;
    if written.is_ok() && !close {
        return ReplyOutcome::KeepOpen;
    }
    shutdown_write(stream);
    written.err().map_or(ReplyOutcome::Closed, |cut_off| cut_off.outcome(writer.0.written_bytes()))
}

async fn write_streamed(
    stream: &Async<TcpStream>,
    reply: &Reply,
    body: BodyStream,
    options: ReplyOptions,
) -> ReplyOutcome {
    let framing = Framing::new(body.content_length, options.is_http10);
    let close = options.close || framing == Framing::UntilClose;
    let mut writer = ReplyWriter::new(stream);
    let written = stream_body(&mut writer, reply, body, framing, close).await;
    if written.is_ok() && !close {
        return ReplyOutcome::KeepOpen;
    }
    if written.is_err() && framing == Framing::UntilClose {
        // With an orderly close the body would look complete, so the connection is reset.
        _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
    } else {
        shutdown_write(stream);
    }
    written.err().map_or(ReplyOutcome::Closed, |cut_off| cut_off.outcome(writer.0.written_bytes()))
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

/// Writes a long body part by part.
async fn stream_body(
    writer: &mut ReplyWriter<'_>,
    reply: &Reply,
    body: BodyStream,
    framing: Framing,
    close: bool,
) -> Result<(), CutOff> {
    let head = reply.head(framing.content_length(), close) + framing.end_of_head();
    writer.write_part(&head, &reply.body, framing).await?;
    while let Ok(part) = body.parts.recv().await {
        writer.write_part("", &part, framing).await?;
    }
    if !body.complete.get() {
        return Err(CutOff::Server);
    }
    match framing {
        Framing::Chunked => writer.write(&[LAST_CHUNK]).await,
        Framing::ContentLength(_) | Framing::UntilClose => Ok(()),
    }
}

/// Writes one reply to a client's connection.
struct ReplyWriter<'a>(PacedWriter<'a>);

impl ReplyWriter<'_> {
    fn new(stream: &Async<TcpStream>) -> ReplyWriter<'_> {
        ReplyWriter(PacedWriter::new(stream, WRITE_ALLOWANCE))
    }

    async fn write(&mut self, bytes: &[&[u8]]) -> Result<(), CutOff> {
        self.0.write_all(bytes).await.map_err(CutOff::from)
    }

    /// Writes `prefix` unframed, followed by a part of the body.
    async fn write_part(&mut self, prefix: &str, part: &[u8], framing: Framing) -> Result<(), CutOff> {
        let is_chunk = framing == Framing::Chunked && !part.is_empty();
        let chunk_size_line = if is_chunk { format!("{:x}\r\n", part.len()) } else { String::new() };
        let chunk_end: &[u8] = if is_chunk { b"\r\n" } else { b"" };
        self.write(&[prefix.as_bytes(), chunk_size_line.as_bytes(), part, chunk_end]).await
    }
}
