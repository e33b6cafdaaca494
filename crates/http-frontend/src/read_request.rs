//! Stage "take in": a message read whole off a client's connection, or the connection's end.

use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_http1::{self as http1, HttpError, Message, RequestLimits};
use chalkwalk_sockets::{is_idle, read_more, wait_until, within};
use smol::Async;
use smol::channel::bounded;
use smol::future::FutureExt;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A connection that says nothing for so long after an answer is closed: longer than clients commonly pause.
const IDLE: Duration = Duration::from_secs(30);
/// For a head from its first byte on, and for the first byte from the accept on: a client that sends nonsense or nothing is
/// to be rid of within 3 s, and one that is slow may take 2 s.
const SLOWEST: Duration = Duration::from_millis(2500);

/// A connection without its first message yet is not idle: closed, its request is lost, as clients send again only
/// what crosses a close between two. Many round trips, and short beside what a silent one may hold up.
const FRESH: Duration = Duration::from_millis(300);

/// `opened` says when the connection was, if nothing has come on it yet.
pub async fn take_in(
    open: &ClientConnection,
    stream: &Async<TcpStream>,
    rest: &mut Vec<u8>,
    opened: Option<Instant>,
) -> Result<Option<Message>, HttpError> {
    if !begins(open, stream, rest, opened).await {
        return Ok(None);
    }
    let engine = &open.engine;
    let longest = engine.classes.longest_body() as usize;
    let taking = RequestLimits {
        head_deadline: Instant::now() + SLOWEST,
        max_body: longest,
        memory: &engine.response_memory,
    };
    http1::read_request(stream, rest, taking).await.map(Some)
}

/// Waits for the first byte of a message; false if the connection is to be closed.
async fn begins(
    open: &ClientConnection,
    stream: &Async<TcpStream>,
    rest: &mut Vec<u8>,
    opened: Option<Instant>,
) -> bool {
    if opened.is_some()
        && let Some(got) = within(FRESH, read_more(stream, rest)).await
    {
        return matches!(got, Ok(1..));
    }
    let (close, closed) = bounded(1);
    let turn = open.engine.budget.mark_idle(close, opened.is_none());
    let end = opened.map_or_else(|| Instant::now() + IDLE, |at| at + SLOWEST);
    let begun = async { matches!(read_more(stream, rest).await, Ok(1..)) };
    let made_way = async {
        _ = closed.recv().await;
        false
    };
    let leaving = async {
        open.close_due().await;
        false
    };
    let begun = wait_until(end, begun.or(made_way).or(leaving)).await.unwrap_or(false);
    open.engine.budget.mark_busy(turn);
    // What has come by the moment of closing is still taken.
    begun || (!is_idle(stream) && matches!(read_more(stream, rest).await, Ok(1..)))
}
