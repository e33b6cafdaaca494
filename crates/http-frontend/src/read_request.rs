//! Stage "read": a message read whole off a client's connection, or the connection's end.

use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_http1::{self as http1, HttpError, Message, RequestLimits};
use chalkwalk_sockets::{is_idle, read_more, wait_until, within};
use smol::Async;
use smol::channel::bounded;
use smol::future::FutureExt;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A connection on which nothing comes for so long after a response is closed: longer than clients
/// commonly pause.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// For a head from its first byte on, and for the first byte from the accept on: a client that
/// sends nonsense or nothing is to be closed within 3 s, and one that is slow may take 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// A new connection without its first message is not idle for so long: if it were closed its
/// request would be lost, as clients send again only what crosses a close between two requests.
/// Many round trips, and short beside what a silent client may hold up.
const FRESH_TIME: Duration = Duration::from_millis(300);

/// Reads the next message; `None` where the connection is to be closed. `opened`: when the
/// connection was, if nothing has come on it yet.
pub(crate) async fn read_request(
    open: &ClientConnection,
    stream: &Async<TcpStream>,
    unread: &mut Vec<u8>,
    opened: Option<Instant>,
) -> Result<Option<Message>, HttpError> {
    if !wait_for_first_byte(open, stream, unread, opened).await {
        return Ok(None);
    }
    let engine = &open.engine;
    let limits = RequestLimits {
        head_deadline: Instant::now() + HEAD_TIMEOUT,
        max_body: engine.classes.longest_body() as usize,
        memory: &engine.response_memory,
    };
    http1::read_request(stream, unread, limits).await.map(Some)
}

/// Waits for the first byte of a message; false if the connection is to be closed.
async fn wait_for_first_byte(
    open: &ClientConnection,
    stream: &Async<TcpStream>,
    unread: &mut Vec<u8>,
    opened: Option<Instant>,
) -> bool {
    if opened.is_some()
        && let Some(read) = within(FRESH_TIME, read_more(stream, unread)).await
    {
        return matches!(read, Ok(1..));
    }
    wait_while_idle(open, stream, unread, opened).await
        // What has come by the moment of closing is still accepted.
        || (!is_idle(stream) && matches!(read_more(stream, unread).await, Ok(1..)))
}

/// Waits for the first byte on a connection that is idle: it may be closed for others' sake, or as
/// the proxy shuts down.
async fn wait_while_idle(
    open: &ClientConnection,
    stream: &Async<TcpStream>,
    unread: &mut Vec<u8>,
    opened: Option<Instant>,
) -> bool {
    let (close, closed) = bounded(1);
    let ticket = open.engine.budget.mark_idle(close, opened.is_none());
    let deadline = opened.map_or_else(|| Instant::now() + IDLE_TIMEOUT, |at| at + HEAD_TIMEOUT);
    let first_byte = async { matches!(read_more(stream, unread).await, Ok(1..)) };
    let closed_for_others = async {
        _ = closed.recv().await;
        false
    };
    let close_due = async {
        open.close_due().await;
        false
    };
    let came = wait_until(deadline, first_byte.or(closed_for_others).or(close_due)).await;
    open.engine.budget.mark_busy(ticket);
    came.unwrap_or(false)
}
