//! Stage "read": reads one whole message from a client connection, or detects its end.

use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_http1::{self as http1, HttpError, Message, RequestLimits};
use chalkwalk_sockets::{is_idle, read_more, with_deadline, with_timeout};
use smol::Async;
use smol::channel::bounded;
use smol::future::FutureExt;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time after a response for which a connection may stay idle before it is closed. It is longer
/// than clients commonly pause between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time from the first byte of a head to its end, and from the accept of a connection to
/// its first byte. The connection of a client that sends invalid data or nothing must be closed
/// within 3 s, while a slow client may take 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time during which a new connection without its first message does not count as idle and so is
/// not closed to make room for others. Closing it could lose its first request: if a connection
/// closes while a client sends a request, the client resends the request only if an earlier request
/// on that connection was answered. The time spans many round trips, and is short
/// compared to the time for which a silent client may hold a connection.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(300);

/// Reads the next message, or returns `None` if the connection is to be closed. `opened_at` is the
/// time at which the connection was opened, or `None` if a message has been read on it before.
pub(crate) async fn read_request(
    client_connection: &ClientConnection,
    stream: &Async<TcpStream>,
    read_ahead: &mut Vec<u8>,
    opened_at: Option<Instant>,
) -> Result<Option<Message>, HttpError> {
    if !wait_for_first_byte(client_connection, stream, read_ahead, opened_at).await {
        return Ok(None);
    }
    let engine = &client_connection.engine;
    let limits = RequestLimits {
        head_deadline: Instant::now() + HEAD_TIMEOUT,
        max_body_bytes: engine.classes.max_body_bytes() as usize,
        memory: &engine.message_memory,
    };
    http1::read_request(stream, read_ahead, limits).await.map(Some)
}

/// Waits for the first byte of a message. Returns false if the connection is to be closed.
async fn wait_for_first_byte(
    client_connection: &ClientConnection,
    stream: &Async<TcpStream>,
    read_ahead: &mut Vec<u8>,
    opened_at: Option<Instant>,
) -> bool {
    if opened_at.is_some()
        && let Some(read) = with_timeout(NEW_CONNECTION_GRACE, read_more(stream, read_ahead)).await
    {
        return matches!(read, Ok(1..));
    }
    wait_while_idle(client_connection, stream, read_ahead, opened_at).await
        // A message whose first bytes arrived before the close is still accepted.
        || (!is_idle(stream) && matches!(read_more(stream, read_ahead).await, Ok(1..)))
}

/// Waits for the first byte on an idle connection. Returns false if it is to be closed: to make
/// room for another connection, because the proxy shuts down, or because of a timeout.
async fn wait_while_idle(
    client_connection: &ClientConnection,
    stream: &Async<TcpStream>,
    read_ahead: &mut Vec<u8>,
    opened_at: Option<Instant>,
) -> bool {
    let (close_sender, close_receiver) = bounded(1);
    let ticket = client_connection.engine.budget.mark_idle(close_sender, opened_at.is_none());
    let deadline =
        opened_at.map_or_else(|| Instant::now() + IDLE_TIMEOUT, |opened_at| opened_at + HEAD_TIMEOUT);
    let first_byte = async { matches!(read_more(stream, read_ahead).await, Ok(1..)) };
    let evicted = async {
        _ = close_receiver.recv().await;
        false
    };
    let close_due = async {
        client_connection.wait_until_close_due().await;
        false
    };
    let received = with_deadline(deadline, first_byte.or(evicted).or(close_due)).await;
    client_connection.engine.budget.mark_busy(ticket);
    received.unwrap_or(false)
}
