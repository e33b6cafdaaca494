//! The bounds of one connection: how many replies may wait for earlier ones, and how many bytes for
//! the client to read them.

use super::pending_reply::PendingReply;
use chalkwalk_engine::budget::Permit;
use smol::Timer;
use smol::channel::{Receiver, Sender, unbounded};
use smol::lock::Semaphore;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Replies of one connection that wait for an earlier one.
const MAX_QUEUED_REPLIES: usize = 128;
/// Bytes of replies of one connection that wait for the client to read them; beyond that no further
/// command is accepted.
pub const MAX_UNREAD_BYTES: usize = 256 << 10;
/// How often it is looked whether the client has read: short compared with any time limit.
const UNREAD_POLL: Duration = Duration::from_millis(20);

/// A reply, and its permit among those that may wait. The permit is returned once the reply is
/// written.
pub struct QueuedReply {
    /// The reply, ready or not.
    pub reply: PendingReply,
    /// Its permit.
    pub permit: Permit,
}

/// The replies of a connection in the order of its commands, at the end where they are added.
pub struct ReplyQueue {
    sender: Sender<QueuedReply>,
    permits: Arc<Semaphore>,
}

/// Both ends of a new queue. It is bounded by permits, not by the channel: that would hold memory
/// for all replies on every idle connection.
pub fn reply_queue() -> (ReplyQueue, Receiver<QueuedReply>) {
    let (sender, receiver) = unbounded();
    (ReplyQueue { sender, permits: Arc::new(Semaphore::new(MAX_QUEUED_REPLIES)) }, receiver)
}

impl ReplyQueue {
    /// Adds a reply once the queue has space for it. Returns whether more may follow.
    pub async fn push(&self, reply: PendingReply) -> bool {
        let last = matches!(reply, PendingReply::Last(_));
        let permit = self.permits.acquire_arc().await;
        self.sender.send(QueuedReply { reply, permit }).await.is_ok() && !last
    }

    /// Ends the connection after the replies so far.
    pub async fn close(&self) {
        self.push(PendingReply::Last(Vec::new())).await;
    }

    /// Whether all replies have been written.
    pub fn is_empty(&self) -> bool {
        // Each permit that is out holds a reference.
        Arc::strong_count(&self.permits) == 1
    }
}

/// How many bytes of replies wait for the client to read them.
#[derive(Clone, Default)]
pub struct UnreadBytes(Rc<Cell<usize>>);

impl UnreadBytes {
    /// Sets how many bytes wait now.
    pub fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }

    /// Waits until the client has read enough for further replies.
    pub async fn below_limit(&self) {
        while self.0.get() >= MAX_UNREAD_BYTES {
            Timer::after(UNREAD_POLL).await;
        }
    }
}
