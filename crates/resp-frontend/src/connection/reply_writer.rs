//! Writes replies in order, and batches those that are ready.

use super::ClientPresence;
use super::backpressure::{HeldBytes, MAX_UNREAD_BYTES, QueuedReply, UnreadBytes};
use super::encoded_reply::{EncodedReply, ReplyRest};
use chalkwalk_engine::budget::Permit;
use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_sockets::{PacedWriter, WriteError};
use smol::Async;
use smol::channel::Receiver;
use smol::future::FutureExt;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::Duration;

/// How long a client that accepts nothing is waited for. Beyond that, it must read its replies at
/// the minimum rate of [`PacedWriter`], or else it is disconnected.
const WRITE_ALLOWANCE: Duration = Duration::from_secs(10);

/// Replies that are written in one call. All of this is released once they are written.
#[derive(Default)]
struct Batch {
    replies: Vec<EncodedReply>,
    permits: Vec<Permit>,
    held_bytes: Vec<HeldBytes>,
    byte_len: usize,
}

impl Batch {
    async fn add(&mut self, next: QueuedReply, unread: &UnreadBytes) {
        let QueuedReply { reply, permit, held_bytes } = next;
        drop(held_bytes);
        let reply = reply.resolve().await;
        self.held_bytes.push(unread.hold(reply.bytes.len()));
        self.byte_len += reply.bytes.len();
        self.replies.push(reply);
        self.permits.push(permit);
    }

    fn is_last(&self) -> bool {
        self.replies.last().is_some_and(|reply| reply.is_last)
    }

    /// The rest of the last reply, if it is still arriving.
    fn take_rest(&mut self) -> Option<ReplyRest> {
        self.replies.last_mut()?.rest.take()
    }

    fn is_full(&self) -> bool {
        let is_arriving = self.replies.last().is_some_and(|reply| reply.rest.is_some());
        self.is_last() || is_arriving || self.byte_len >= MAX_UNREAD_BYTES
    }

    fn parts(&self) -> Vec<&[u8]> {
        self.replies.iter().map(|reply| reply.bytes.as_slice()).collect()
    }
}

/// Why no further replies are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// All replies were written.
    LastReplyWritten,
    /// The client has gone, or reads too slowly.
    Broken,
}

/// Writes the rest of a reply as it arrives. If the server breaks it off, the connection ends, as the
/// client could not tell the next reply from the missing part.
async fn write_rest(writer: &mut PacedWriter<'_>, rest: ReplyRest) -> Result<(), WriteError> {
    while let Ok(part) = rest.stream.parts.recv().await {
        writer.write_all(&[&part]).await?;
    }
    if rest.stream.complete.get() {
        Ok(())
    } else {
        Err(WriteError::Connection(ErrorKind::UnexpectedEof.into()))
    }
}

/// Writes replies until the last one, or until the client has gone or no longer reads them.
pub async fn write_replies(
    stream: &Async<TcpStream>,
    queued_replies: Receiver<QueuedReply>,
    unread: &UnreadBytes,
    connection: &ClientConnection,
    presence: &ClientPresence,
) -> ConnectionEnd {
    let mut writer = PacedWriter::new(stream, WRITE_ALLOWANCE);
    let mut not_ready: Option<QueuedReply> = None;
    loop {
        let first = match not_ready.take() {
            Some(first) => first,
            None => match queued_replies.recv().await {
                Ok(first) => first,
                Err(_) => return ConnectionEnd::LastReplyWritten,
            },
        };
        let mut batch = Batch::default();
        let first_resolved = async {
            batch.add(first, unread).await;
            true
        };
        let client_reset = async {
            presence.wait_until_reset().await;
            false
        };
        if !first_resolved.or(client_reset).await {
            return ConnectionEnd::Broken;
        }
        while !batch.is_full()
            && let Ok(next) = queued_replies.try_recv()
        {
            if !next.reply.is_ready() {
                not_ready = Some(next);
                break;
            }
            batch.add(next, unread).await;
        }
        let mut written = writer.write_all(&batch.parts()).await;
        if let Some(rest) = batch.take_rest()
            && written.is_ok()
        {
            written = write_rest(&mut writer, rest).await;
        }
        if let Err(WriteError::PeerTooSlow) = written {
            connection.log_slow_client(writer.written_bytes());
        }
        if written.is_err() {
            return ConnectionEnd::Broken;
        }
        if batch.is_last() {
            return ConnectionEnd::LastReplyWritten;
        }
        presence.record_write();
    }
}
