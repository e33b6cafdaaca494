//! Waits for memory to read a message.

use crate::HttpError;
use chalkwalk_sockets::{MAX_SHORT_MESSAGE_BYTES, MessageReservation, with_timeout};
use std::time::Duration;

/// Maximum time that a long message waits for memory. After it the request is rejected with status
/// 503, so that the client can retry instead of waiting longer.
pub(crate) const LONG_MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The same for a short message, which its client may have sent whole already. Its response is due
/// half a second after the time limit of the request at the latest.
const SHORT_MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Extends the reservation of a message to `bytes` in all, and waits until other messages have
/// released enough.
pub(crate) async fn reserve(reservation: &mut MessageReservation, bytes: usize) -> Result<(), HttpError> {
    let timeout = if bytes > MAX_SHORT_MESSAGE_BYTES { LONG_MESSAGE_TIMEOUT } else { SHORT_MESSAGE_TIMEOUT };
    with_timeout(timeout, reservation.grow_to(bytes)).await.ok_or(HttpError::NoMemory)
}
