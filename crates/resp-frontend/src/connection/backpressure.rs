//! The limits of one connection: how many replies may wait for earlier ones, and how many bytes may
//! wait for the client to read them.

use super::encoded_reply::EncodedReply;
use super::pending_reply::PendingReply;
use chalkwalk_engine::budget::Permit;
use smol::Timer;
use smol::channel::{Receiver, Sender, unbounded};
use smol::lock::Semaphore;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of replies of one connection that wait for an earlier one. It bounds the memory of
/// short replies, which have no reservation.
const MAX_QUEUED_REPLIES: usize = 32;
/// Bytes of replies of one connection that may wait for the client to read them. At this limit no
/// further command is accepted.
pub const MAX_UNREAD_BYTES: usize = 256 << 10;
/// Interval at which the queue and the unread bytes are checked, short compared with any time limit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A reply, and its permit to wait in the queue. The permit is returned once the reply is written.
pub struct QueuedReply {
    /// The reply, which may not be ready yet.
    pub reply: PendingReply,
    /// The permit of the reply.
    pub permit: Permit,
    /// The bytes of the reply, if it was ready when it was queued.
    pub held_bytes: HeldBytes,
}

/// The sending end of the queue that holds the replies of a connection in the order of its
/// commands.
pub struct ReplyQueue {
    sender: Sender<QueuedReply>,
    permits: Arc<Semaphore>,
    unread: UnreadBytes,
}

/// Creates a queue and returns both its ends. Permits bound the queue, as a bounded channel would
/// allocate memory for the maximum number of replies on every idle connection.
pub fn reply_queue(unread: UnreadBytes) -> (ReplyQueue, Receiver<QueuedReply>) {
    let (sender, receiver) = unbounded();
    (ReplyQueue { sender, permits: Arc::new(Semaphore::new(MAX_QUEUED_REPLIES)), unread }, receiver)
}

impl ReplyQueue {
    /// Adds a reply once the queue has space for it. Returns whether further replies may follow.
    pub async fn push(&self, reply: PendingReply) -> bool {
        let is_last = reply.is_last();
        let held_bytes = self.unread.hold(reply.held_bytes());
        let permit = self.permits.acquire_arc().await;
        self.sender.send(QueuedReply { reply, permit, held_bytes }).await.is_ok() && !is_last
    }

    /// Ends the connection after the replies in the queue.
    pub async fn close(&self) {
        self.push(PendingReply::Ready(EncodedReply::last(Vec::new()))).await;
    }

    /// Waits until all replies have been written.
    pub async fn wait_until_empty(&self) {
        // Each permit that has been acquired holds a reference to the semaphore.
        while Arc::strong_count(&self.permits) > 1 {
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

/// The number of bytes of replies that wait for the client to read them, or for an earlier reply.
#[derive(Clone, Default)]
pub struct UnreadBytes(Rc<Cell<usize>>);

/// Bytes of one reply that wait. They no longer count once this is dropped.
pub struct HeldBytes {
    unread: UnreadBytes,
    bytes: usize,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let total = &self.unread.0;
        total.set(total.get() - self.bytes);
    }
}

impl UnreadBytes {
    /// Counts the bytes of a reply until the result is dropped.
    pub fn hold(&self, bytes: usize) -> HeldBytes {
        self.0.set(self.0.get() + bytes);
        HeldBytes { unread: self.clone(), bytes }
    }

    /// Waits until the client has read so much that the number of bytes is below the limit.
    pub async fn wait_below_limit(&self) {
        while self.0.get() >= MAX_UNREAD_BYTES {
            Timer::after(POLL_INTERVAL).await;
        }
    }
}
