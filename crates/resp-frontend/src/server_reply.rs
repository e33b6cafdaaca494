//! A server's reply to one command.

use crate::message_cost::message_cost;
use chalkwalk_resp::{Frame, FrameKind, ReadLimits, Reader};
use chalkwalk_sockets::{
    LATER_READ_BYTES, MAX_SHORT_MESSAGE_BYTES, MessageMemory, MessageReservation, read_more, read_up_to,
};
use smol::Async;
use std::net::TcpStream;

/// Bytes of a reply that are held without a reservation.
const MAX_UNRESERVED_BYTES: usize = 4 << 10;

/// Bytes in which the length of a bulk string is found, if the reply is one.
const MAX_HEADER_BYTES: usize = 32;

/// A complete reply.
pub struct ServerReply {
    frames: Vec<Frame>,
    /// The reply as received.
    pub bytes: Vec<u8>,
    /// Whether the connection can be reused for another command. It can't if further bytes follow
    /// the reply, as these belong to no command.
    pub reusable: bool,
    /// The memory that the reply has reserved, if it is long.
    pub reservation: Option<MessageReservation>,
}

/// What was read of a reply.
pub enum ReplyStart {
    /// The whole reply.
    Whole(ServerReply),
    /// The start of a bulk string that is too long to be read whole.
    Long {
        /// The bytes received so far.
        start: Vec<u8>,
        /// The length of the whole reply.
        total_bytes: usize,
    },
}

/// A complete message at the start of a buffer.
struct WholeMessage {
    frames: Vec<Frame>,
    len: usize,
}

impl ServerReply {
    /// Like [`ServerReply::read`], but returns the start of a long bulk string as soon as there is
    /// one, so that the rest can be forwarded while it arrives.
    pub async fn read_start(
        stream: &Async<TcpStream>,
        skip_first_reply: bool,
        memory: &MessageMemory,
    ) -> Option<ReplyStart> {
        let mut bytes = Vec::new();
        let mut reservation = memory.empty_reservation();
        if skip_first_reply {
            let skipped = read_message(stream, &mut bytes, &mut reservation).await?;
            bytes.drain(..skipped.len);
        }
        while bytes.len() < MAX_HEADER_BYTES && !is_whole(&bytes) {
            if read_up_to(stream, &mut bytes, MAX_UNRESERVED_BYTES).await.ok()? == 0 {
                return None;
            }
        }
        if let Some(total_bytes) = long_bulk_len(&bytes) {
            return Some(ReplyStart::Long { start: bytes, total_bytes });
        }
        ServerReply::read_rest(stream, bytes, reservation).await.map(ReplyStart::Whole)
    }

    /// Reads a reply. Returns `None` if the connection fails or the bytes are not valid RESP. With
    /// `skip_first_reply`, the reply to a preceding command is read and discarded first. While too
    /// little memory is free for the rest of a reply, it is not read on; the attempt's time limit
    /// bounds this wait.
    pub async fn read(
        stream: &Async<TcpStream>,
        skip_first_reply: bool,
        memory: &MessageMemory,
    ) -> Option<ServerReply> {
        let mut bytes = Vec::new();
        let mut reservation = memory.empty_reservation();
        if skip_first_reply {
            let skipped = read_message(stream, &mut bytes, &mut reservation).await?;
            bytes.drain(..skipped.len);
        }
        ServerReply::read_rest(stream, bytes, reservation).await
    }

    /// Reads the rest of a reply of which `bytes` were received.
    async fn read_rest(
        stream: &Async<TcpStream>,
        mut bytes: Vec<u8>,
        mut reservation: MessageReservation,
    ) -> Option<ServerReply> {
        let message = read_message(stream, &mut bytes, &mut reservation).await?;
        let reusable = bytes.len() == message.len;
        let reservation = (reservation.bytes() > 0).then_some(reservation);
        Some(ServerReply { frames: message.frames, bytes, reusable, reservation })
    }

    /// The type of the reply.
    pub fn kind(&self) -> FrameKind {
        self.frames[0].kind
    }

    /// The text of the reply, if the reply is an error.
    pub fn error_text(&self) -> Option<String> {
        match &self.frames[..] {
            [Frame { kind: FrameKind::SimpleError, range, .. }] => {
                Some(String::from_utf8_lossy(&self.bytes[range.clone()]).to_string())
            }
            _ => None,
        }
    }
}

/// Whether the bytes begin with a whole reply, or with bytes that are not valid RESP.
fn is_whole(bytes: &[u8]) -> bool {
    !matches!(Reader::new(ReadLimits::default()).next_message(bytes), Ok(None))
}

/// The length of the bulk string that the bytes begin with, if it is too long to be read whole and
/// the first byte of its body has arrived.
fn long_bulk_len(bytes: &[u8]) -> Option<usize> {
    let line_end = bytes.iter().position(|byte| *byte == b'\n')?;
    if bytes[0] != b'$' || bytes.len() <= line_end + 1 {
        return None;
    }
    let mut reader = Reader::new(ReadLimits::default());
    let is_incomplete = matches!(reader.next_message(bytes), Ok(None));
    let total_bytes = reader.announced_bytes();
    (is_incomplete && total_bytes > MAX_SHORT_MESSAGE_BYTES).then_some(total_bytes)
}

/// Reads until the message at the start of the buffer is complete.
async fn read_message(
    stream: &Async<TcpStream>,
    buf: &mut Vec<u8>,
    reservation: &mut MessageReservation,
) -> Option<WholeMessage> {
    let mut reader = Reader::new(ReadLimits::default());
    loop {
        if let Some((frames, len)) = reader.next_message(buf).ok()? {
            return Some(WholeMessage { frames, len });
        }
        let announced = reader.announced_bytes().max(buf.len());
        let needed = message_cost(announced + LATER_READ_BYTES, reader.parsed_frames());
        if needed > MAX_UNRESERVED_BYTES + LATER_READ_BYTES {
            reservation.grow_to(needed).await;
            buf.reserve_exact(announced + LATER_READ_BYTES - buf.len());
        }
        if read_more(stream, buf).await.ok()? == 0 {
            return None;
        }
    }
}
