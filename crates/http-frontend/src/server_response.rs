//! A server's response: what it says of the attempt, and its body, whole or in part.

use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_engine::response::{
    BoxFuture, BrokenOff, Response, ResponseBody, ResponseStatus, ServerResponse,
};
use chalkwalk_http1::{self as http1, Message, ResponseReader};
use chalkwalk_sockets::{MemoryBudget, MemoryReservation, wait_until};
use smol::Async;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How many bytes of a long body are read at once.
const PART_SIZE: usize = 16 << 10;
/// How many such parts a streamed body holds at most: one that is read, one that waits, one that is
/// written.
const PARTS_HELD: usize = 3;
/// A body of unknown length is waited for so long before it is streamed: short beside a latency
/// objective, and most are complete by then.
const LENGTH_SHOWS: Duration = Duration::from_millis(50);

/// Reads a response. One of up to 64 KiB is read whole, so that one that breaks off can be tried
/// elsewhere; a longer one is passed on from its first bytes on. `None` where it breaks off or
/// makes no sense.
pub(crate) async fn read(
    mut reader: ResponseReader,
    stream: &Async<TcpStream>,
    memory: &MemoryBudget,
) -> Option<ServerResponse> {
    let outcome = outcome_of(&reader.message);
    let served = reader.message.status == 200;
    if !is_length_allowed(reader.content_length, served) {
        return None;
    }
    let BodyStart { bytes, complete } = read_body_start(&mut reader, stream, served).await?;
    let reusable = reader.is_reusable();
    if !served {
        return Some(ServerResponse { outcome, response: None, reusable, remaining_body: None });
    }
    let content_type = reader.message.header("Content-Type").unwrap_or("").to_string();
    let bytes_read = bytes.len();
    let response = Response { content_type, body: bytes, ..Response::empty(ResponseStatus::Served) };
    let remaining_body = if complete { None } else { Some(remaining_body(reader, bytes_read, memory)) };
    Some(ServerResponse { outcome, response: Some(response), reusable, remaining_body })
}

/// What the head of a response says of the attempt.
fn outcome_of(message: &Message) -> AttemptOutcome {
    let unprocessed = message.header("X-Unprocessed").is_some_and(|value| value == "1");
    match message.status {
        200 => match message.header("X-Lookup") {
            Some("hit") => AttemptOutcome::CompletedFromCache,
            Some("miss") => AttemptOutcome::CompletedByFetch,
            _ => AttemptOutcome::Completed,
        },
        404 => AttemptOutcome::CacheMiss,
        503 | 504 if unprocessed => AttemptOutcome::Overloaded,
        // Says nothing about the server: a client requested what can't be had.
        400..=499 => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::ServerError,
    }
}

fn is_long(bytes: usize) -> bool {
    bytes > http1::MAX_BUFFERED_BODY
}

/// A body that is longer than any may be makes no sense, and neither does a long one that reports a
/// failure.
fn is_length_allowed(content_length: Option<u64>, served: bool) -> bool {
    content_length
        .is_none_or(|length| length <= http1::MAX_BODY as u64 && (served || !is_long(length as usize)))
}

/// What of a body is read before the response is passed on.
#[derive(Default)]
struct BodyStart {
    bytes: Vec<u8>,
    complete: bool,
}

/// Reads a short body whole, and of a long one the first bytes: nothing of it is the client's
/// before its first byte is here.
async fn read_body_start(
    reader: &mut ResponseReader,
    stream: &Async<TcpStream>,
    served: bool,
) -> Option<BodyStart> {
    let length_known = reader.content_length.is_some();
    let known_long = reader.content_length.is_some_and(|length| is_long(length as usize));
    let length_shows_by = Instant::now() + LENGTH_SHOWS;
    let mut start = BodyStart::default();
    while !start.complete && (!known_long || start.bytes.is_empty()) {
        let part = reader.next_part(stream);
        let may_be_streamed = served && !length_known && !start.bytes.is_empty();
        let part = if may_be_streamed {
            match wait_until(length_shows_by, part).await {
                Some(part) => part,
                None => break,
            }
        } else {
            part.await
        };
        match part.ok()? {
            Some(part) => start.bytes.extend(part),
            None => start.complete = true,
        }
        if is_long(start.bytes.len()) {
            return served.then_some(start);
        }
    }
    Some(start)
}

/// The rest of a long body, with its share of the memory for them; without one it is read in
/// smaller parts.
fn remaining_body(
    mut reader: ResponseReader,
    bytes_read: usize,
    memory: &MemoryBudget,
) -> Box<dyn ResponseBody> {
    let memory = memory.try_reserve(PART_SIZE * PARTS_HELD);
    if memory.is_some() {
        reader.max_read = PART_SIZE;
    }
    let bytes_left = http1::MAX_BODY.saturating_sub(bytes_read);
    Box::new(RemainingBody { reader, bytes_left, _memory: memory })
}

struct RemainingBody {
    reader: ResponseReader,
    /// How many bytes may still come.
    bytes_left: usize,
    _memory: Option<MemoryReservation>,
}

impl RemainingBody {
    async fn read_part(&mut self, stream: &Async<TcpStream>) -> Result<Option<Vec<u8>>, BrokenOff> {
        let part = self.reader.next_part(stream).await.map_err(|_| BrokenOff)?;
        // A body of unknown length may never end: where it is longer than any may be, it is broken
        // off.
        let length = part.as_ref().map_or(0, Vec::len);
        self.bytes_left = self.bytes_left.checked_sub(length).ok_or(BrokenOff)?;
        Ok(part)
    }
}

impl ResponseBody for RemainingBody {
    fn next_part<'a>(
        &'a mut self,
        stream: &'a Async<TcpStream>,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, BrokenOff>> {
        Box::pin(self.read_part(stream))
    }

    fn content_length(&self) -> Option<u64> {
        self.reader.content_length
    }

    fn is_reusable(&self) -> bool {
        self.reader.is_reusable()
    }
}
