//! The side of the servers: a request written on as it came, what an answer says of the attempt, and probes.

use crate::admit::HttpRequest;
use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_engine::response::{
    BoxFuture, BrokenOff, ClientRequest, HealthCheck, Response, ResponseBody, ResponseStatus, ServerResponse,
};
use chalkwalk_http1::{self as http1, ResponseReader};
use chalkwalk_sockets::{MemoryBudget, MemoryReservation, is_idle, wait_until, write_all};
use chalkwalk_time::{Span, TICKS_PER_SECOND, Timestamp};
use smol::Async;
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Seconds with decimals, as the protocol writes times.
pub(crate) fn seconds(span: Span) -> String {
    format!("{}.{:04}", span.ticks() / TICKS_PER_SECOND, span.ticks() % TICKS_PER_SECOND)
}

impl ClientRequest for HttpRequest {
    fn class(&self) -> usize {
        self.class
    }

    fn attributes(&self) -> Option<chalkwalk_limits::RequestAttributes<'_>> {
        (self.generation == self.door.engine.classes.generation()).then(|| HttpRequest::place(self))
    }

    fn received_at(&self) -> Timestamp {
        self.taken
    }

    fn key(&self) -> &str {
        self.message.text(&self.key)
    }

    fn is_write(&self) -> bool {
        self.write
    }

    fn expires(&self) -> Timestamp {
        self.expires
    }

    /// Nothing comes from a client that waits: its end and what it sends ahead of the answer both end the request.
    fn client_is_waiting(&self) -> bool {
        self.client.upgrade().is_some_and(|client| is_idle(&client))
    }

    fn write_to<'a>(&'a self, stream: &'a Async<TcpStream>, left: Span) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let (m, time_left) = (&self.message, seconds(left));
            let mut parts: Vec<&[u8]> = vec![m.slice(&m.method), b" ", m.slice(&m.target), b" HTTP/1.1\r\n"];
            for name in ["Host", "X-Correlation-Id", "Idempotency-Key", "Content-Type"] {
                if let Some(value) = m.header_bytes(name) {
                    parts.extend([name.as_bytes(), b": ", value, b"\r\n"]);
                }
            }
            parts.extend([&b"X-Time-Left: "[..], time_left.as_bytes(), b"\r\n"]);
            let length = m.body.len().to_string();
            if self.write || !m.body.is_empty() {
                parts.extend([&b"Content-Length: "[..], length.as_bytes(), b"\r\n"]);
            }
            parts.extend([&b"\r\n"[..], m.slice(&m.body)]);
            write_all(stream, &parts).await
        })
    }

    fn read_response<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<ServerResponse>> {
        Box::pin(async move {
            let answering = ResponseReader::start(stream).await.ok()?;
            read(answering, stream, &self.door.engine.response_memory).await
        })
    }
}

/// What is read at once of a long answer, in bytes, and of how many such parts a flow holds at most: read, waiting, written.
const PART: (usize, usize) = (16 << 10, 3);
/// An answer of unknown length is waited for so long before it flows: short beside a target time, and most are whole by then.
const LENGTH_SHOWS: Duration = Duration::from_millis(50);

/// What a server's answer says of the attempt. One of up to 64 KiB is read whole, so that one that breaks off can be asked for
/// elsewhere; a longer one is passed on from its first bytes on.
async fn read(
    mut answering: ResponseReader,
    stream: &Async<TcpStream>,
    room: &MemoryBudget,
) -> Option<ServerResponse> {
    let message = &answering.message;
    let turned_away = message.header("X-Unprocessed").is_some_and(|v| v == "1");
    let outcome = match message.status {
        200 => match message.header("X-Lookup") {
            Some("hit") => AttemptOutcome::CompletedFromCache,
            Some("miss") => AttemptOutcome::CompletedByFetch,
            _ => AttemptOutcome::Completed,
        },
        404 => AttemptOutcome::CacheMiss,
        503 | 504 if turned_away => AttemptOutcome::Overloaded,
        // No word on the server: a client asked for what can't be had.
        400..=499 => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::ServerError,
    };
    let resolved = message.status == 200;
    let long = |n: usize| n > http1::MAX_BUFFERED_BODY;
    let told = answering.content_length.map(|n| long(n as usize));
    // Longer than any is nonsense, and so is a long word on a failure.
    if answering.content_length > Some(http1::MAX_BODY as u64) || (told == Some(true) && !resolved) {
        return None;
    }
    let shows = Instant::now() + LENGTH_SHOWS;
    let mut body = Vec::new();
    let mut whole = false;
    // Nothing of it is the client's before its first byte is here.
    while !whole && (told != Some(true) || body.is_empty()) {
        let part = answering.next_part(stream);
        let part = match told {
            Some(_) => part.await,
            None if resolved && !body.is_empty() => match wait_until(shows, part).await {
                Some(part) => part,
                None => break,
            },
            None => part.await,
        };
        match part.ok()? {
            Some(part) => body.extend(part),
            None => whole = true,
        }
        if long(body.len()) {
            if !resolved {
                return None;
            }
            break;
        }
    }
    let keep = answering.is_reusable();
    if !resolved {
        return Some(ServerResponse { outcome, response: None, reusable: keep, remaining_body: None });
    }
    let kind = answering.message.header("Content-Type").unwrap_or("").to_string();
    let begun = body.len();
    let answer = Some(Response { content_type: kind, body, ..Response::empty(ResponseStatus::Served) });
    if whole {
        return Some(ServerResponse { outcome, response: answer, reusable: keep, remaining_body: None });
    }
    let held = room.try_reserve(PART.0 * PART.1);
    if held.is_some() {
        answering.max_read = PART.0;
    }
    let left = http1::MAX_BODY.saturating_sub(begun);
    let rest: Box<dyn ResponseBody> = Box::new(Flowing { answering, left, _held: held });
    Some(ServerResponse { outcome, response: answer, reusable: keep, remaining_body: Some(rest) })
}

/// The rest of a long answer, with its part of the room for them; without one it is read in smaller parts.
struct Flowing {
    answering: ResponseReader,
    left: usize, // bytes that may still come
    _held: Option<MemoryReservation>,
}

impl ResponseBody for Flowing {
    fn next_part<'a>(
        &'a mut self,
        stream: &'a Async<TcpStream>,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, BrokenOff>> {
        Box::pin(async move {
            let part = self.answering.next_part(stream).await.map_err(|_| BrokenOff)?;
            // One whose length is not told may never end: longer than any, it is broken off.
            self.left = self.left.checked_sub(part.as_ref().map_or(0, Vec::len)).ok_or(BrokenOff)?;
            Ok(part)
        })
    }
    fn content_length(&self) -> Option<u64> {
        self.answering.content_length
    }
    fn is_reusable(&self) -> bool {
        self.answering.is_reusable()
    }
}

/// The platform's probe: `GET /alive`.
pub struct AliveCheck;

impl HealthCheck for AliveCheck {
    fn check<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<bool>> {
        Box::pin(async move {
            let host = stream.get_ref().peer_addr().ok()?;
            let message = http1::get(stream, host, "/alive", http1::MAX_BUFFERED_BODY).await.ok()?;
            (message.status == 200).then_some(!message.close)
        })
    }
}
