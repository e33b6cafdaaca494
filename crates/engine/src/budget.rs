//! One budget of file descriptors for client connections and server connections, pooled ones
//! included. When it is exhausted, idle connections are closed first.

#[cfg(test)]
mod tests;

use crate::idle_clients::IdleClients;
pub use crate::idle_clients::IdleTicket;
use chalkwalk_sockets::with_timeout;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::lock::{Semaphore, SemaphoreGuardArc};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long to wait for a permit after an idle connection was asked to close, before the next one
/// is closed.
const IDLE_CLOSE_WAIT: Duration = Duration::from_millis(5);

/// Descriptors outside the budget: standard streams, epoll with its timer and event descriptors,
/// the signal handler's pair of descriptors and the listener, counted as 11 in all; the two
/// connections for the endpoint list, which need no permit; one connection that waits for its
/// permit; and one spare.
const OTHER_DESCRIPTORS: usize = 15;

/// How long a request that arrives while all connections are busy waits for a permit. Most
/// responses take less, and a connection becomes idle right after its response.
const CLIENT_PERMIT_TIMEOUT: Duration = Duration::from_millis(60);

/// A permit for one descriptor, returned to the budget on drop.
pub type Permit = SemaphoreGuardArc;

/// The descriptors of the process, divided into shares.
pub struct DescriptorBudget {
    /// For connections to servers.
    servers: Arc<Semaphore>,
    clients: Arc<Semaphore>,
    /// For clients and servers alike, first come, first served.
    shared: Arc<Semaphore>,
    /// For clients that arrive when all other permits are taken; their requests are only rejected.
    rejection_only: Arc<Semaphore>,
    idle_clients: IdleClients,
    half_shares: HalfShares,
}

/// Half of each share, which is lent to another process of this proxy.
struct HalfShares {
    servers: usize,
    clients: usize,
    shared: usize,
}

impl DescriptorBudget {
    /// Divides the given number of descriptors into shares.
    pub fn new(max_descriptors: usize) -> DescriptorBudget {
        let total = max_descriptors.saturating_sub(OTHER_DESCRIPTORS).max(16);
        // One third for servers, one third for clients, and one third for either: each client that
        // waits for a response needs at least one attempt in flight, and a client that writes or
        // reads slowly needs none.
        let servers = total / 3;
        let shared = total / 3;
        // These permits are held only while a rejection is written. With fewer than four of them,
        // further clients would wait for one unnoticed.
        let rejection_only = (total / 16).max(4);
        let clients = total - servers - shared - rejection_only;
        DescriptorBudget {
            servers: Arc::new(Semaphore::new(servers)),
            clients: Arc::new(Semaphore::new(clients)),
            shared: Arc::new(Semaphore::new(shared)),
            rejection_only: Arc::new(Semaphore::new(rejection_only)),
            // Keeps clients that send one request and then hold their connection from shutting out
            // others. A load balancer in front may limit the open connections to a third of the
            // proxy's descriptors; half of those are for clients that send requests.
            idle_clients: IdleClients::new(total / 6),
            half_shares: HalfShares { servers: servers / 2, clients: clients / 2, shared: shared / 2 },
        }
    }

    /// Acquires half of all permits as they become free, for another process of this proxy: the two
    /// processes together may hold no more than one process alone. `close_idle_server` closes an
    /// idle connection to a server.
    pub async fn reserve_half(&self, close_idle_server: impl Fn()) -> Vec<Permit> {
        let close_idle_client = || _ = self.close_idle();
        let mut lent = acquire_many(&self.servers, self.half_shares.servers, close_idle_server).await;
        lent.extend(acquire_many(&self.clients, self.half_shares.clients, close_idle_client).await);
        lent.extend(acquire_many(&self.shared, self.half_shares.shared, close_idle_client).await);
        lent
    }

    /// Waits for a permit for a connection to a server. `close_idle_server` closes an idle
    /// connection to a server.
    pub async fn acquire_for_server(&self, close_idle_server: impl Fn()) -> Permit {
        loop {
            if let Some(permit) = self.servers.try_acquire_arc().or_else(|| self.shared.try_acquire_arc()) {
                return permit;
            }
            close_idle_server();
            // If the clients' share is used up, clients may hold shared permits, and closing an
            // idle one may return a permit. While the share has free permits, closing an idle
            // client does not help.
            if self.clients.try_acquire_arc().is_none() {
                self.close_idle();
            }
            if let Some(permit) = self.acquire_after_close(&self.servers).await {
                return permit;
            }
        }
    }

    /// Waits for a permit for a client. Returns it along with whether the client's requests are
    /// admitted; they are not if all permits are taken and no other client is idle.
    pub async fn acquire_for_client(&self) -> (Permit, bool) {
        loop {
            if let Some(permit) = self.try_acquire_for_client() {
                return (permit, true);
            }
            // The client's requests are rejected. Otherwise they would wait unread, and so not yet
            // accepted, until their time limit is over.
            if !self.close_idle()
                && let Some(permit) = self.rejection_only.try_acquire_arc()
            {
                return (permit, false);
            }
            if let Some(permit) = self.acquire_after_close(&self.clients).await {
                return (permit, true);
            }
        }
    }

    /// Waits up to `CLIENT_PERMIT_TIMEOUT` for a client's permit to be returned, or for a client to
    /// become idle.
    pub async fn acquire_for_client_with_timeout(&self) -> Option<Permit> {
        let deadline = Instant::now() + CLIENT_PERMIT_TIMEOUT;
        loop {
            if let Some(permit) = self.try_acquire_for_client() {
                return Some(permit);
            }
            if !self.close_idle() && Instant::now() >= deadline {
                return None;
            }
            if let Some(permit) = self.acquire_after_close(&self.clients).await {
                return Some(permit);
            }
        }
    }

    fn try_acquire_for_client(&self) -> Option<Permit> {
        self.clients.try_acquire_arc().or_else(|| self.shared.try_acquire_arc())
    }

    /// Waits up to `IDLE_CLOSE_WAIT` for a permit. The caller then looks for an idle connection
    /// again; a longer wait could block forever on a connection that became idle in the meantime.
    async fn acquire_after_close(&self, share: &Arc<Semaphore>) -> Option<Permit> {
        with_timeout(IDLE_CLOSE_WAIT, share.acquire_arc().or(self.shared.acquire_arc())).await
    }

    /// Marks a client's connection as idle, so that it may be asked to close through
    /// `close_sender`. `used` is whether it has carried a request.
    pub fn mark_idle(&self, close_sender: Sender<()>, used: bool) -> IdleTicket {
        self.idle_clients.add(close_sender, used)
    }

    /// Marks a client's connection as no longer idle: it is in use again, or closed.
    pub fn mark_busy(&self, ticket: IdleTicket) {
        self.idle_clients.remove(ticket);
    }

    /// Asks an idle client connection to close. Returns whether there was one.
    pub fn close_idle(&self) -> bool {
        self.idle_clients.close_first()
    }
}

/// Acquires `count` permits of a share, closing idle connections one by one while there are too
/// few.
async fn acquire_many(share: &Arc<Semaphore>, count: usize, close_idle: impl Fn()) -> Vec<Permit> {
    let mut permits = Vec::new();
    while permits.len() < count {
        permits.extend(share.try_acquire_arc());
        if permits.len() < count {
            close_idle();
            permits.extend(with_timeout(IDLE_CLOSE_WAIT, share.acquire_arc()).await);
        }
    }
    permits
}
