//! One budget of descriptors for client connections, connections to servers and the pool. When it
//! runs short, idle connections are closed first.

#[cfg(test)]
mod tests;

use crate::idle_clients::IdleClients;
pub use crate::idle_clients::IdleTicket;
use chalkwalk_sockets::within;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::lock::{Semaphore, SemaphoreGuardArc};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Idle connections are closed one by one, and each is given this long to be gone.
const CLOSE_TIME: Duration = Duration::from_millis(5);

/// Descriptors that are open besides: standard streams, epoll, its timer and event, the signals'
/// pair, the listener, 11 in all as counted; the two connections of the endpoint list, which wait
/// for no permit; one that waits for its permit, and one to spare.
const OTHER_DESCRIPTORS: usize = 15;

/// How long a request that arrived while all connections were busy waits for a permit: most
/// responses take less, and the connection that had one is idle a moment later.
const PERMIT_SOON: Duration = Duration::from_millis(60);

/// One descriptor of the budget, given back on drop.
pub type Permit = SemaphoreGuardArc;

/// The descriptors of the process, in shares.
pub struct DescriptorBudget {
    /// Connections to servers.
    servers: Arc<Semaphore>,
    clients: Arc<Semaphore>,
    /// For clients and servers alike, as they come.
    shared: Arc<Semaphore>,
    /// Clients that came when all other permits were busy; they are only rejected.
    rejecting: Arc<Semaphore>,
    idle_clients: IdleClients,
    half: HalfShares,
}

/// Half of each share: what another process of the proxy gets.
struct HalfShares {
    servers: usize,
    clients: usize,
    shared: usize,
}

impl DescriptorBudget {
    /// Divides so many descriptors.
    pub fn new(descriptors: usize) -> DescriptorBudget {
        let all = descriptors.saturating_sub(OTHER_DESCRIPTORS).max(16);
        // A third each, and a third for either: each client that waits for a response needs at
        // least one attempt in flight, and one that writes or reads slowly needs none.
        let servers = all / 3;
        let shared = all / 3;
        // Held for a moment each, the time that a rejection takes; with fewer than four, others
        // wait unseen for it.
        let rejecting = (all / 16).max(4);
        let clients = all - servers - shared - rejecting;
        DescriptorBudget {
            servers: Arc::new(Semaphore::new(servers)),
            clients: Arc::new(Semaphore::new(clients)),
            shared: Arc::new(Semaphore::new(shared)),
            rejecting: Arc::new(Semaphore::new(rejecting)),
            // Guards clients against others that ask once and keep their connection: a load
            // balancer in front may let only so many be open at once, a third of our descriptors,
            // and half of that is for those that ask.
            idle_clients: IdleClients::new(all / 6),
            half: HalfShares { servers: servers / 2, clients: clients / 2, shared: shared / 2 },
        }
    }

    /// Takes half of all permits as they become free, for another process of this proxy: the two
    /// together may hold no more than one. `close_idle_server` closes an idle connection to a
    /// server.
    pub async fn lend_half(&self, close_idle_server: impl Fn()) -> Vec<Permit> {
        let close_idle_client = || _ = self.close_idle();
        let mut lent = acquire_many(&self.servers, self.half.servers, close_idle_server).await;
        lent.extend(acquire_many(&self.clients, self.half.clients, close_idle_client).await);
        lent.extend(acquire_many(&self.shared, self.half.shared, close_idle_client).await);
        lent
    }

    /// Waits for a permit for a connection to a server; `close_idle_server` closes one that is
    /// idle.
    pub async fn acquire_for_server(&self, close_idle_server: impl Fn()) -> Permit {
        loop {
            if let Some(permit) = self.servers.try_acquire_arc().or_else(|| self.shared.try_acquire_arc()) {
                return permit;
            }
            close_idle_server();
            // Clients beyond their own share may have to give one back; while that share has some
            // left, no idle client is in the way.
            if self.clients.try_acquire_arc().is_none() {
                self.close_idle();
            }
            if let Some(permit) = self.acquire_soon(&self.servers).await {
                return permit;
            }
        }
    }

    /// Waits for a permit for a client, and returns with it whether its requests are admitted: they
    /// are not where no other client is idle.
    pub async fn acquire_for_client(&self) -> (Permit, bool) {
        loop {
            if let Some(permit) = self.try_acquire_for_client() {
                return (permit, true);
            }
            // Guards requests against waiting unseen, before they are accepted, until their time is
            // over.
            if !self.close_idle()
                && let Some(permit) = self.rejecting.try_acquire_arc()
            {
                return (permit, false);
            }
            if let Some(permit) = self.acquire_soon(&self.clients).await {
                return (permit, true);
            }
        }
    }

    /// A client's permit, if there is one now, or one is given back or becomes idle soon.
    pub async fn acquire_for_client_soon(&self) -> Option<Permit> {
        let deadline = Instant::now() + PERMIT_SOON;
        loop {
            if let Some(permit) = self.try_acquire_for_client() {
                return Some(permit);
            }
            if !self.close_idle() && Instant::now() >= deadline {
                return None;
            }
            if let Some(permit) = self.acquire_soon(&self.clients).await {
                return Some(permit);
            }
        }
    }

    fn try_acquire_for_client(&self) -> Option<Permit> {
        self.clients.try_acquire_arc().or_else(|| self.shared.try_acquire_arc())
    }

    /// A permit that is given back soon. The caller looks again after that, which guards against
    /// waiting forever for a connection that became idle only meanwhile.
    async fn acquire_soon(&self, share: &Arc<Semaphore>) -> Option<Permit> {
        within(CLOSE_TIME, share.acquire_arc().or(self.shared.acquire_arc())).await
    }

    /// Marks a client's connection as idle: it may be asked to close through `close`. `used`:
    /// whether it has carried a request.
    pub fn mark_idle(&self, close: Sender<()>, used: bool) -> IdleTicket {
        self.idle_clients.add(close, used)
    }

    /// Marks a client's connection as in use again, or closed.
    pub fn mark_busy(&self, ticket: IdleTicket) {
        self.idle_clients.remove(ticket);
    }

    /// Asks an idle client connection to close; whether there was one.
    pub fn close_idle(&self) -> bool {
        self.idle_clients.close_first()
    }
}

/// Acquires so many permits of a share, closing idle connections one by one while there are too
/// few.
async fn acquire_many(share: &Arc<Semaphore>, count: usize, close_idle: impl Fn()) -> Vec<Permit> {
    let mut permits = Vec::new();
    while permits.len() < count {
        permits.extend(share.try_acquire_arc());
        if permits.len() < count {
            close_idle();
            permits.extend(within(CLOSE_TIME, share.acquire_arc()).await);
        }
    }
    permits
}
