//! Stage "relay": the final answer, written to the client.

use crate::servers::seconds;
use chalkwalk_engine::response::{BodyStream, Response, ResponseStatus};
use chalkwalk_http1::reason;
use chalkwalk_sockets::{MemoryReservation, read_more, within, write_all};
use chalkwalk_time::Span;
use smol::Async;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// An answer as a client will read it.
pub struct Reply {
    pub status: u16,
    back_in: Option<Span>,
    kind: String,
    body: Vec<u8>,
    _held: Option<MemoryReservation>,
    flow: Option<Box<BodyStream>>,
}

impl Reply {
    pub fn bare(status: u16) -> Reply {
        Reply { status, back_in: None, kind: String::new(), body: Vec::new(), _held: None, flow: None }
    }
}

impl From<Response> for Reply {
    fn from(answer: Response) -> Reply {
        let (status, back_in) = match answer.status {
            ResponseStatus::Served => (200, None),
            ResponseStatus::Rejected(back_in) => (503, back_in),
            ResponseStatus::Failed => (500, None),
        };
        Reply {
            status,
            back_in,
            kind: answer.content_type,
            body: answer.body,
            _held: answer.memory,
            flow: answer.stream.map(Box::new),
        }
    }
}

/// A client that takes no more for so long has gone: a short body fits into what the system buffers, and of a long one a
/// client that reads 64 kB a second takes several parts.
const SLOWEST: Duration = Duration::from_secs(2);

fn head(answer: &Reply, length: Option<u64>, close: bool) -> String {
    let mut head = format!("HTTP/1.1 {} {}\r\n", answer.status, reason(answer.status));
    if let Some(length) = length {
        head += &format!("Content-Length: {length}\r\n");
    }
    if !answer.kind.is_empty() {
        head += &format!("Content-Type: {}\r\n", answer.kind);
    }
    if let Some(back_in) = answer.back_in {
        head += &format!("Retry-After: {}\r\n", seconds(back_in));
    }
    if close {
        head += "Connection: close\r\n";
    }
    head
}

/// Writes the answer. `close`: the connection ends with it; `old`: the client knows no chunks. Returns whether the connection
/// may carry another.
pub async fn relay(stream: &Async<TcpStream>, mut answer: Reply, close: bool, old: bool) -> bool {
    if let Some(flow) = answer.flow.take() {
        let open_ended = flow.content_length.is_none() && old;
        let whole = relay_flow(stream, &answer, *flow, close || open_ended, open_ended).await;
        if whole.is_none() && open_ended {
            // Ended in order it would look whole.
            _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
            return false;
        }
        if whole.is_some() && !close && !open_ended {
            return true;
        }
        _ = stream.get_ref().shutdown(Shutdown::Write);
        return false;
    }
    let head = head(&answer, Some(answer.body.len() as u64), close) + "\r\n";
    let parts = [head.as_bytes(), &answer.body];
    let written = within(SLOWEST, write_all(stream, &parts)).await;
    let keep = matches!(written, Some(Ok(()))) && !close;
    if !keep {
        _ = stream.get_ref().shutdown(Shutdown::Write);
    }
    keep
}

/// A long answer, part by part; `None` if it broke off, here or at the server.
async fn relay_flow(
    stream: &Async<TcpStream>,
    answer: &Reply,
    flow: BodyStream,
    close: bool,
    open_ended: bool,
) -> Option<()> {
    let chunked = flow.content_length.is_none() && !open_ended;
    let mut head = head(answer, flow.content_length, close);
    head += if chunked { "Transfer-Encoding: chunked\r\n\r\n" } else { "\r\n" };
    let write = async |before: &str, part: &[u8]| {
        let size = if chunked && !part.is_empty() { format!("{:x}\r\n", part.len()) } else { String::new() };
        let end: &[u8] = if size.is_empty() { b"" } else { b"\r\n" };
        let parts = [before.as_bytes(), size.as_bytes(), part, end];
        within(SLOWEST, write_all(stream, &parts)).await?.ok()
    };
    write(&head, &answer.body).await?;
    while let Ok(part) = flow.parts.recv().await {
        write("", &part).await?;
    }
    if !flow.complete.get() {
        return None;
    }
    if chunked { write("0\r\n\r\n", b"").await } else { Some(()) }
}

/// How long, and how much, what a client still sends is read and dropped: closed at once, the connection would
/// be reset and the answer lost with it.
const LINGER: (Duration, usize) = (Duration::from_millis(300), 256 << 10);

/// The answer to what is wrong, and the connection's end.
pub async fn turn_down(stream: &Async<TcpStream>, answer: Reply) {
    relay(stream, answer, true, false).await;
    linger(stream).await;
}

async fn linger(stream: &Async<TcpStream>) {
    let drained = async {
        let (mut dropped, mut buf) = (0, Vec::new());
        while let Ok(n @ 1..) = read_more(stream, &mut buf).await {
            dropped += n;
            buf.clear();
            if dropped > LINGER.1 {
                // No more is read, at no cost; what was answered can be.
                std::future::pending::<()>().await;
            }
        }
    };
    within(LINGER.0, drained).await;
}
