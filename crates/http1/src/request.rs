//! Requests, read whole.

use crate::body::{BodyDecoder, Framing};
use crate::head::{Head, MessageKind, read_head};
use crate::{HttpError, MAX_BUFFERED_BODY, Message, RequestLimits};
use chalkwalk_sockets::{MemoryBudget, MemoryReservation, read_up_to, wait_until, within, write_all};
use smol::{Async, Timer};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// What one read of a body asks for, in bytes.
const MAX_READ: usize = 16 << 10;
/// The slowest pace of a body, in bytes a second: a client that writes 64 kB a second is served,
/// with as much again to spare.
const MIN_BODY_RATE: u64 = 32_000;
/// How far a body may fall behind that pace.
const BODY_GRACE: Duration = Duration::from_secs(2);
/// A body waits for memory no longer: its client had better come again.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a body that waits for memory tries again: short beside what a long body takes to come.
const MEMORY_RETRY: Duration = Duration::from_millis(5);

/// Reads one request whole. `unread` holds what was read of the stream and belongs to no message
/// yet, before and after. A body that comes too slowly ends it with [`HttpError::Timeout`].
pub async fn read_request(
    stream: &Async<TcpStream>,
    unread: &mut Vec<u8>,
    limits: RequestLimits<'_>,
) -> Result<Message, HttpError> {
    let head = read_head(stream, unread, MessageKind::Request, limits.max_body);
    let head = wait_until(limits.head_deadline, head).await.unwrap_or(Err(HttpError::Timeout))?;
    let Head { mut message, framing, expects_continue } = head;
    if let Framing::Length(length) = framing {
        if length > MAX_BUFFERED_BODY {
            message.reservations.push(reserve(limits.memory, length).await?);
        }
        message.buf.reserve_exact(length);
    }
    if expects_continue && unread.is_empty() {
        let written = write_all(stream, &[b"HTTP/1.1 100 Continue\r\n\r\n"]).await;
        written.map_err(|_| HttpError::Malformed)?;
    }
    read_body(stream, unread, &limits, framing, &mut message).await?;
    Ok(message)
}

/// Reads the body behind the message's head.
async fn read_body(
    stream: &Async<TcpStream>,
    unread: &mut Vec<u8>,
    limits: &RequestLimits<'_>,
    framing: Framing,
    message: &mut Message,
) -> Result<(), HttpError> {
    let head_len = message.buf.len();
    let mut decoder = BodyDecoder::new(framing);
    let mut started = Instant::now();
    // Up to where a chunked body has memory: it comes without its length.
    let mut covered = MAX_BUFFERED_BODY;
    loop {
        let part = decoder.decode(unread)?;
        message.buf.extend_from_slice(&part);
        let received = message.buf.len() - head_len;
        if (received as u64).saturating_add(decoder.announced()) > limits.max_body as u64 {
            return Err(HttpError::BodyTooLong);
        }
        if decoder.is_finished() {
            message.body = head_len..message.buf.len();
            return Ok(());
        }
        if !part.is_empty() {
            continue;
        }
        if framing == Framing::Chunked && received > covered {
            let waiting_since = Instant::now();
            // Twice what is there, as a buffer grows by doubling.
            message.reservations.push(reserve(limits.memory, 2 * covered).await?);
            covered *= 2;
            // The client wasn't slow meanwhile.
            started += waiting_since.elapsed();
        }
        let at_min_rate = Duration::from_millis(1000 * received as u64 / MIN_BODY_RATE);
        let deadline = started + BODY_GRACE + at_min_rate;
        match wait_until(deadline, read_up_to(stream, unread, MAX_READ)).await {
            Some(Ok(1..)) => {}
            Some(_) => return Err(HttpError::Malformed),
            None => return Err(HttpError::Timeout),
        }
    }
}

/// Reserves memory for a body, waiting for others to release theirs.
async fn reserve(memory: &MemoryBudget, bytes: usize) -> Result<MemoryReservation, HttpError> {
    if bytes > memory.capacity() {
        return Err(HttpError::BodyTooLong);
    }
    let reserved = async {
        loop {
            match memory.try_reserve(bytes) {
                Some(reservation) => return reservation,
                None => _ = Timer::after(MEMORY_RETRY).await,
            }
        }
    };
    within(MEMORY_TIMEOUT, reserved).await.ok_or(HttpError::NoMemory)
}

#[cfg(test)]
mod tests;
