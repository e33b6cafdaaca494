//! Reads whole requests.

use crate::body::{BodyDecoder, Framing};
use crate::head::{Head, MessageKind, read_head};
use crate::{HttpError, MAX_BUFFERED_BODY_BYTES, Message, RequestLimits};
use chalkwalk_sockets::{
    MemoryBudget, MemoryReservation, read_up_to, with_deadline, with_timeout, write_all,
};
use smol::{Async, Timer};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum length of one read of a body.
const MAX_READ_BYTES: usize = 16 << 10;
/// Minimum rate at which a client must send a body. It is half of 64 kB per second, so that a
/// client that sends at 64 kB per second is served with a margin of a factor of two.
const MIN_BODY_BYTES_PER_SECOND: u64 = 32_000;
/// How long a body may lag behind the minimum rate.
const BODY_GRACE: Duration = Duration::from_secs(2);
/// Maximum time that a body waits for memory. After it the request is rejected with status 503, so
/// that the client can retry instead of waiting longer.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a body that waits for memory tries to reserve it again. It is short compared
/// to the time that a long body takes to arrive.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Reads one whole request. `read_ahead` holds the bytes that were read from the stream but belong
/// to no message yet, both on entry and on return. A body that arrives below the minimum rate fails
/// with [`HttpError::Timeout`].
pub async fn read_request(
    stream: &Async<TcpStream>,
    read_ahead: &mut Vec<u8>,
    limits: RequestLimits<'_>,
) -> Result<Message, HttpError> {
    let head = read_head(stream, read_ahead, MessageKind::Request, limits.max_body_bytes);
    let head = with_deadline(limits.head_deadline, head).await.unwrap_or(Err(HttpError::Timeout))?;
    let Head { mut message, framing, expects_continue } = head;
    if let Framing::Length(length) = framing {
        if length > MAX_BUFFERED_BODY_BYTES {
            message.reservations.push(reserve(limits.memory, length).await?);
        }
        message.buf.reserve_exact(length);
    }
    if expects_continue && read_ahead.is_empty() {
        let written = write_all(stream, &[b"HTTP/1.1 100 Continue\r\n\r\n"]).await;
        written.map_err(|_| HttpError::Malformed)?;
    }
    read_body(stream, read_ahead, &limits, framing, &mut message).await?;
    Ok(message)
}

/// Reads the body and appends it to the message's buffer, after the head.
async fn read_body(
    stream: &Async<TcpStream>,
    read_ahead: &mut Vec<u8>,
    limits: &RequestLimits<'_>,
    framing: Framing,
    message: &mut Message,
) -> Result<(), HttpError> {
    let head_len = message.buf.len();
    let mut decoder = BodyDecoder::new(framing);
    let mut started_at = Instant::now();
    // A chunked body does not announce its length, so its memory is reserved step by step; this is
    // the length that the memory suffices for so far.
    let mut covered_bytes = MAX_BUFFERED_BODY_BYTES;
    loop {
        let part = decoder.decode(read_ahead)?;
        message.buf.extend_from_slice(&part);
        let received_bytes = message.buf.len() - head_len;
        if (received_bytes as u64).saturating_add(decoder.announced_bytes()) > limits.max_body_bytes as u64 {
            return Err(HttpError::BodyTooLong);
        }
        if decoder.is_finished() {
            message.body = head_len..message.buf.len();
            return Ok(());
        }
        if !part.is_empty() {
            continue;
        }
        if framing == Framing::Chunked && received_bytes > covered_bytes {
            let waiting_since = Instant::now();
            // The buffer grows by doubling, so it may take twice the length covered so far.
            message.reservations.push(reserve(limits.memory, 2 * covered_bytes).await?);
            covered_bytes *= 2;
            // Time spent waiting for memory does not count against the client's rate.
            started_at += waiting_since.elapsed();
        }
        let time_at_min_rate =
            Duration::from_millis(1000 * received_bytes as u64 / MIN_BODY_BYTES_PER_SECOND);
        let deadline = started_at + BODY_GRACE + time_at_min_rate;
        match with_deadline(deadline, read_up_to(stream, read_ahead, MAX_READ_BYTES)).await {
            Some(Ok(1..)) => {}
            Some(_) => return Err(HttpError::Malformed),
            None => return Err(HttpError::Timeout),
        }
    }
}

/// Reserves memory for a body; waits up to [`MEMORY_TIMEOUT`] until other bodies have released
/// enough.
async fn reserve(memory: &MemoryBudget, bytes: usize) -> Result<MemoryReservation, HttpError> {
    if bytes > memory.capacity() {
        return Err(HttpError::BodyTooLong);
    }
    let reserved = async {
        loop {
            match memory.try_reserve(bytes) {
                Some(reservation) => return reservation,
                None => _ = Timer::after(MEMORY_RETRY_INTERVAL).await,
            }
        }
    };
    with_timeout(MEMORY_TIMEOUT, reserved).await.ok_or(HttpError::NoMemory)
}

#[cfg(test)]
mod tests;
