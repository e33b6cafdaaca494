//! Writes replies in order, as many at once as are ready.

use super::backpressure::{MAX_UNREAD_BYTES, QueuedReply, UnreadBytes};
use super::pending_reply::ResolvedReply;
use chalkwalk_engine::budget::Permit;
use chalkwalk_sockets::{within, write_all};
use smol::Async;
use smol::channel::Receiver;
use std::net::TcpStream;
use std::time::Duration;

/// A client that does not read its replies is disconnected after so long.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Replies that are written at once.
struct Batch {
    reply: ResolvedReply,
    /// Returned once the replies are written.
    permits: Vec<Permit>,
}

impl Batch {
    async fn resolve(first: QueuedReply) -> Batch {
        Batch { reply: first.reply.resolve().await, permits: vec![first.permit] }
    }

    async fn add(&mut self, next: QueuedReply) {
        let reply = next.reply.resolve().await;
        self.reply.bytes.extend(reply.bytes);
        self.reply.last = reply.last;
        self.permits.push(next.permit);
    }

    fn is_full(&self) -> bool {
        self.reply.last || self.reply.bytes.len() >= MAX_UNREAD_BYTES
    }
}

/// Writes replies until the last, or until the client does not read.
pub async fn write_replies(stream: &Async<TcpStream>, queued: Receiver<QueuedReply>, unread: &UnreadBytes) {
    let mut waiting: Option<QueuedReply> = None;
    loop {
        let first = match waiting.take() {
            Some(first) => first,
            None => match queued.recv().await {
                Ok(first) => first,
                Err(_) => return,
            },
        };
        let mut batch = Batch::resolve(first).await;
        while !batch.is_full()
            && let Ok(next) = queued.try_recv()
        {
            if !next.reply.is_ready() {
                waiting = Some(next);
                break;
            }
            batch.add(next).await;
        }
        unread.set(batch.reply.bytes.len());
        let written = within(STALL_TIMEOUT, write_all(stream, &[&batch.reply.bytes])).await;
        unread.set(0);
        if batch.reply.last || !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}
