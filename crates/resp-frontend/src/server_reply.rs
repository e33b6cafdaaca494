//! A server's reply to one command.

use crate::message_cost::message_cost;
use chalkwalk_resp::{Frame, FrameKind, ReadLimits, Reader};
use chalkwalk_sockets::{LATER_READ_BYTES, MessageMemory, MessageReservation, read_more};
use smol::Async;
use std::net::TcpStream;

/// Bytes of a reply that are held without a reservation.
const MAX_UNRESERVED_BYTES: usize = 4 << 10;

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

/// A complete message at the start of a buffer.
struct WholeMessage {
    frames: Vec<Frame>,
    len: usize,
}

impl ServerReply {
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
