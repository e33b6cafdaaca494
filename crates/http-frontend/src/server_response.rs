//! Reads a server's response: the outcome of the attempt, and the body, whole or its start.

use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_engine::response::{
    BoxFuture, IncompleteBody, Response, ResponseBody, ResponseStatus, ServerResponse,
};
use chalkwalk_http1::{self as http1, Message, ResponseReader};
use chalkwalk_sockets::{MessageMemory, MessageReservation, with_deadline};
use smol::Async;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum length of one read of a streamed body.
const PART_BYTES: usize = 16 << 10;
/// Maximum number of parts that a streamed body holds in memory: one being read, one waiting, and
/// one being written.
const MAX_BUFFERED_PARTS: usize = 3;
/// Time to wait for the end of a body of unknown length before the body is streamed. It is short
/// compared to a latency objective, and most bodies are complete by then.
const UNKNOWN_LENGTH_WAIT: Duration = Duration::from_millis(50);

/// Reads a response. A body of up to 64 KiB is read whole, so that the request can be retried on
/// another server if the body is truncated. A longer body is forwarded from its first bytes on, and
/// so is a body of unknown length that is not complete after [`UNKNOWN_LENGTH_WAIT`], or any body
/// for which too little memory is free.
/// Returns `None` if the response is truncated or invalid.
pub(crate) async fn read(
    mut reader: ResponseReader,
    stream: &Async<TcpStream>,
    memory: &MessageMemory,
) -> Option<ServerResponse> {
    let outcome = outcome_of(&reader.message);
    let served = reader.message.status == 200;
    if !is_length_allowed(reader.content_length, served) {
        return None;
    }
    let BodyStart { bytes, complete, reservation } =
        read_body_start(&mut reader, stream, served, memory).await?;
    let reusable = reader.is_reusable();
    if !served {
        return Some(ServerResponse { outcome, response: None, reusable, remaining_body: None });
    }
    let content_type = reader.message.header("Content-Type").unwrap_or("").to_string();
    let bytes_read = bytes.len();
    let response = Response {
        content_type,
        body: bytes,
        memory_reservation: reservation,
        ..Response::empty(ResponseStatus::Served)
    };
    let remaining_body = if complete { None } else { Some(remaining_body(reader, bytes_read, memory)) };
    Some(ServerResponse { outcome, response: Some(response), reusable, remaining_body })
}

/// The outcome of the attempt, according to the head of the response.
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
        // The request itself was invalid, so the response tells nothing about the server's health.
        400..=499 => AttemptOutcome::InvalidRequest,
        _ => AttemptOutcome::ServerError,
    }
}

fn is_long(bytes: usize) -> bool {
    bytes > http1::MAX_BUFFERED_BODY_BYTES
}

/// Whether a response may have a body of this length. A body above the maximum length is invalid,
/// and so is a long body of a response that reports a failure.
fn is_length_allowed(content_length: Option<u64>, served: bool) -> bool {
    content_length
        .is_none_or(|length| length <= http1::MAX_BODY_BYTES as u64 && (served || !is_long(length as usize)))
}

/// The part of a body that is read before the response is forwarded.
struct BodyStart {
    bytes: Vec<u8>,
    complete: bool,
    /// The memory for the bytes, if there are many.
    reservation: Option<MessageReservation>,
}

/// Reads a short body whole, and the first bytes of a body that will be streamed. Nothing is sent
/// to the client before the first byte of the body has arrived, so until then the request can still
/// be retried.
async fn read_body_start(
    reader: &mut ResponseReader,
    stream: &Async<TcpStream>,
    served: bool,
    memory: &MessageMemory,
) -> Option<BodyStart> {
    let length_known = reader.content_length.is_some();
    let reservation = reserve_start(reader.content_length, served, memory);
    // Without memory for the whole body, it is forwarded from its first bytes on.
    let lacks_memory = needs_memory(reader.content_length, served) && reservation.is_none();
    let is_streamed = lacks_memory || reader.content_length.is_some_and(|length| is_long(length as usize));
    let unknown_length_deadline = Instant::now() + UNKNOWN_LENGTH_WAIT;
    let mut start = BodyStart { bytes: Vec::new(), complete: false, reservation };
    let mut received_bytes = 0;
    while !start.complete && (!is_streamed || start.bytes.is_empty()) {
        let part = reader.next_part(stream);
        let may_be_streamed = served && !length_known && !start.bytes.is_empty();
        let part = if may_be_streamed {
            match with_deadline(unknown_length_deadline, part).await {
                Some(part) => part,
                None => break,
            }
        } else {
            part.await
        };
        match part.ok()? {
            Some(part) => {
                received_bytes += part.len();
                // The body of a failure is only read so that the connection can be reused.
                if served {
                    start.bytes.extend(part);
                }
            }
            None => start.complete = true,
        }
        if is_long(received_bytes) {
            return served.then_some(start);
        }
    }
    Some(start)
}

/// Whether a body may become so long before it is forwarded that it needs a reservation.
fn needs_memory(content_length: Option<u64>, served: bool) -> bool {
    let max_start_bytes = content_length.map_or(http1::MAX_BUFFERED_BODY_BYTES, |length| length as usize);
    served && !is_long(max_start_bytes) && max_start_bytes > http1::MAX_UNRESERVED_BYTES
}

fn reserve_start(
    content_length: Option<u64>,
    served: bool,
    memory: &MessageMemory,
) -> Option<MessageReservation> {
    if !needs_memory(content_length, served) {
        return None;
    }
    memory.try_reserve(content_length.map_or(http1::MAX_BUFFERED_BODY_BYTES, |length| length as usize))
}

/// Returns the rest of a long body for streaming. Reserves memory from the budget for long bodies;
/// if too little is free, the body is read in smaller parts.
fn remaining_body(
    mut reader: ResponseReader,
    bytes_read: usize,
    memory: &MessageMemory,
) -> Box<dyn ResponseBody> {
    let memory_reservation = memory.try_reserve(PART_BYTES * MAX_BUFFERED_PARTS);
    if memory_reservation.is_some() {
        reader.max_read_bytes = PART_BYTES;
    }
    let bytes_left = http1::MAX_BODY_BYTES.saturating_sub(bytes_read);
    Box::new(RemainingBody { reader, bytes_left, _memory_reservation: memory_reservation })
}

struct RemainingBody {
    reader: ResponseReader,
    /// How many more bytes the body may have.
    bytes_left: usize,
    _memory_reservation: Option<MessageReservation>,
}

impl RemainingBody {
    async fn read_part(&mut self, stream: &Async<TcpStream>) -> Result<Option<Vec<u8>>, IncompleteBody> {
        let part = self.reader.next_part(stream).await.map_err(|_| IncompleteBody)?;
        // A body of unknown length may never end, so it is aborted once it exceeds the maximum
        // length of a body.
        let length = part.as_ref().map_or(0, Vec::len);
        self.bytes_left = self.bytes_left.checked_sub(length).ok_or(IncompleteBody)?;
        Ok(part)
    }
}

impl ResponseBody for RemainingBody {
    fn next_part<'a>(
        &'a mut self,
        stream: &'a Async<TcpStream>,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, IncompleteBody>> {
        Box::pin(self.read_part(stream))
    }

    fn content_length(&self) -> Option<u64> {
        self.reader.content_length
    }

    fn is_reusable(&self) -> bool {
        self.reader.is_reusable()
    }
}
