//! The rest of a long reply of a server, which is forwarded while it is still being received.

use chalkwalk_engine::response::{BoxFuture, IncompleteBody, ResponseBody};
use chalkwalk_sockets::{MessageMemory, MessageReservation, read_up_to};
use smol::Async;
use std::net::TcpStream;

/// Maximum length of one read, if memory is free for the parts that are held at a time.
const PART_BYTES: usize = 16 << 10;
/// The same without such memory.
const SMALL_PART_BYTES: usize = 4 << 10;
/// Parts that are held at a time: one being read, one waiting, and one being written.
const MAX_HELD_PARTS: usize = 3;
/// The end of a bulk string.
const BULK_END: &[u8] = b"\r\n";

/// The rest of one bulk string.
pub struct LongReply {
    remaining_bytes: usize,
    max_part_bytes: usize,
    /// The last bytes received, as many as [`BULK_END`] has.
    tail: Vec<u8>,
    _reservation: Option<MessageReservation>,
}

impl LongReply {
    /// The rest of a reply of `total_bytes` bytes, of which `start` was received.
    pub fn new(total_bytes: usize, start: &[u8], memory: &MessageMemory) -> LongReply {
        let reservation = memory.try_reserve(PART_BYTES * MAX_HELD_PARTS);
        let mut reply = LongReply {
            remaining_bytes: total_bytes - start.len(),
            max_part_bytes: if reservation.is_some() { PART_BYTES } else { SMALL_PART_BYTES },
            tail: Vec::new(),
            _reservation: reservation,
        };
        reply.record_tail(start);
        reply
    }

    fn record_tail(&mut self, part: &[u8]) {
        self.tail.extend_from_slice(&part[part.len().saturating_sub(BULK_END.len())..]);
        self.tail.drain(..self.tail.len().saturating_sub(BULK_END.len()));
    }

    async fn read_part(&mut self, stream: &Async<TcpStream>) -> Result<Option<Vec<u8>>, IncompleteBody> {
        if self.remaining_bytes == 0 {
            return if self.tail == BULK_END { Ok(None) } else { Err(IncompleteBody) };
        }
        let mut part = Vec::new();
        let max_bytes = self.max_part_bytes.min(self.remaining_bytes);
        match read_up_to(stream, &mut part, max_bytes).await {
            Ok(read_bytes @ 1..) => self.remaining_bytes -= read_bytes,
            Ok(0) | Err(_) => return Err(IncompleteBody),
        }
        self.record_tail(&part);
        Ok(Some(part))
    }
}

impl ResponseBody for LongReply {
    fn next_part<'a>(
        &'a mut self,
        stream: &'a Async<TcpStream>,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, IncompleteBody>> {
        Box::pin(self.read_part(stream))
    }

    fn content_length(&self) -> Option<u64> {
        None
    }

    fn is_reusable(&self) -> bool {
        self.remaining_bytes == 0
    }
}
