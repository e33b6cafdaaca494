//! Writes replies in order, and batches those that are ready.

use super::backpressure::{MAX_UNREAD_BYTES, QueuedReply, UnreadBytes};
use super::pending_reply::ResolvedReply;
use chalkwalk_engine::budget::Permit;
use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_sockets::{PacedWriter, WriteError};
use smol::Async;
use smol::channel::Receiver;
use std::net::TcpStream;
use std::time::Duration;

/// How long a client that accepts nothing is waited for. Beyond that, it must read its replies at
/// the minimum rate of [`PacedWriter`], or else it is disconnected.
const WRITE_ALLOWANCE: Duration = Duration::from_secs(10);

/// Replies that are written in one call.
struct Batch {
    reply: ResolvedReply,
    /// The permits of the replies, returned once the replies are written.
    permits: Vec<Permit>,
}

impl Batch {
    async fn resolve(first: QueuedReply) -> Batch {
        Batch { reply: first.reply.resolve().await, permits: vec![first.permit] }
    }

    async fn add(&mut self, next: QueuedReply) {
        let reply = next.reply.resolve().await;
        self.reply.bytes.extend(reply.bytes);
        self.reply.is_last = reply.is_last;
        self.permits.push(next.permit);
    }

    fn is_full(&self) -> bool {
        self.reply.is_last || self.reply.bytes.len() >= MAX_UNREAD_BYTES
    }
}

/// Writes replies until the last one, or until the client no longer reads them.
pub async fn write_replies(
    stream: &Async<TcpStream>,
    queued_replies: Receiver<QueuedReply>,
    unread: &UnreadBytes,
    connection: &ClientConnection,
) {
    let mut writer = PacedWriter::new(stream, WRITE_ALLOWANCE);
    let mut not_ready: Option<QueuedReply> = None;
    loop {
        let first = match not_ready.take() {
            Some(first) => first,
            None => match queued_replies.recv().await {
                Ok(first) => first,
                Err(_) => return,
            },
        };
        let mut batch = Batch::resolve(first).await;
        while !batch.is_full()
            && let Ok(next) = queued_replies.try_recv()
        {
            if !next.reply.is_ready() {
                not_ready = Some(next);
                break;
            }
            batch.add(next).await;
        }
        unread.set(batch.reply.bytes.len());
        let written = writer.write_all(&[&batch.reply.bytes]).await;
        unread.set(0);
        if let Err(WriteError::PeerTooSlow) = written {
            connection.log_slow_client(writer.written_bytes());
        }
        if batch.reply.is_last || written.is_err() {
            return;
        }
    }
}
