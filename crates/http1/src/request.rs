//! Reads whole requests.

use crate::body::{BodyDecoder, Framing};
use crate::head::{Head, MessageKind, read_head};
use crate::limits::MAX_UNRESERVED_BYTES;
use crate::memory::reserve;
use crate::{HttpError, Message, RequestLimits};
use chalkwalk_sockets::{MessageReservation, read_up_to, with_deadline, with_timeout, write_all};
use smol::Async;
use smol::future::yield_now;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum length of one read of a body.
const MAX_READ_BYTES: usize = 16 << 10;
/// Minimum rate at which a client must send a body. It is half of 64 kB per second, so that a
/// client that sends at 64 kB per second is served with a margin of a factor of two.
const MIN_BODY_BYTES_PER_SECOND: u64 = 32_000;
/// How long a body may lag behind the minimum rate. A client that stops in the middle of a body is
/// owed its error within 3 s, however much it has sent before.
const BODY_GRACE: Duration = Duration::from_secs(2);

/// Reads one whole request. `read_ahead` holds the bytes that were read from the stream but belong
/// to no message yet, both on entry and on return. A body that arrives below the minimum rate fails
/// with [`HttpError::Timeout`].
pub async fn read_request(
    stream: &Async<TcpStream>,
    read_ahead: &mut Vec<u8>,
    limits: RequestLimits<'_>,
) -> Result<Message, HttpError> {
    let mut reservation = limits.memory.empty_reservation();
    let head =
        read_head(stream, read_ahead, MessageKind::Request, limits.max_body_bytes, Some(&mut reservation));
    let head = with_deadline(limits.head_deadline, head).await.unwrap_or(Err(HttpError::Timeout))?;
    let Head { mut message, framing, expects_continue } = head;
    if let Framing::Length(length) = framing {
        if length > MAX_UNRESERVED_BYTES {
            reserve_body(&mut reservation, &limits, length).await?;
        }
        message.buf.reserve_exact(length);
    }
    if expects_continue && read_ahead.is_empty() {
        let written = write_all(stream, &[b"HTTP/1.1 100 Continue\r\n\r\n"]).await;
        written.map_err(|_| HttpError::Malformed)?;
    }
    read_body(stream, read_ahead, &limits, framing, &mut message, &mut reservation).await?;
    message.reservation = (reservation.bytes() > 0).then_some(reservation);
    Ok(message)
}

/// Reads the body and appends it to the message's buffer, after the head.
async fn read_body(
    stream: &Async<TcpStream>,
    read_ahead: &mut Vec<u8>,
    limits: &RequestLimits<'_>,
    framing: Framing,
    message: &mut Message,
    reservation: &mut MessageReservation,
) -> Result<(), HttpError> {
    let head_len = message.buf.len();
    let mut decoder = BodyDecoder::new(framing);
    let mut pace = BodyPace::new();
    // A chunked body does not announce its length, so its memory is reserved step by step; this is
    // the length that the memory suffices for so far.
    let mut covered_bytes = MAX_UNRESERVED_BYTES;
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
        if framing == Framing::Chunked && received_bytes >= covered_bytes {
            covered_bytes *= 2;
            reserve_body(reservation, limits, covered_bytes).await?;
            message.buf.reserve_exact(covered_bytes - received_bytes);
        }
        if !part.is_empty() {
            // A client that sends without a pause leaves the executor to the other connections
            // between its reads.
            yield_now().await;
        }
        let max_read_bytes = match framing {
            Framing::Chunked => MAX_READ_BYTES.min(covered_bytes - received_bytes),
            Framing::Length(_) | Framing::UntilClose => MAX_READ_BYTES,
        };
        pace.read(stream, read_ahead, max_read_bytes).await?;
    }
}

/// Extends the reservation by the length of a body.
async fn reserve_body(
    reservation: &mut MessageReservation,
    limits: &RequestLimits<'_>,
    length: usize,
) -> Result<(), HttpError> {
    if length > limits.memory.long_capacity() {
        return Err(HttpError::BodyTooLong);
    }
    reserve(reservation, length).await
}

/// How long a client may still keep its body waiting. Waiting uses the time up, and bytes that
/// arrive restore it at the minimum rate.
struct BodyPace {
    remaining: Duration,
}

impl BodyPace {
    fn new() -> BodyPace {
        BodyPace { remaining: BODY_GRACE }
    }

    /// Reads further bytes of a body. Fails if they arrive below the minimum rate. Time that the
    /// proxy spends between two reads does not count.
    async fn read(
        &mut self,
        stream: &Async<TcpStream>,
        read_ahead: &mut Vec<u8>,
        max_read_bytes: usize,
    ) -> Result<(), HttpError> {
        let started_at = Instant::now();
        let read = with_timeout(self.remaining, read_up_to(stream, read_ahead, max_read_bytes)).await;
        match read {
            Some(Ok(read_bytes @ 1..)) => {
                let time_at_min_rate =
                    Duration::from_millis(1000 * read_bytes as u64 / MIN_BODY_BYTES_PER_SECOND);
                let used_up = self.remaining.saturating_sub(started_at.elapsed());
                self.remaining = (used_up + time_at_min_rate).min(BODY_GRACE);
                Ok(())
            }
            Some(_) => Err(HttpError::Malformed),
            None => Err(HttpError::Timeout),
        }
    }
}

#[cfg(test)]
mod tests;
