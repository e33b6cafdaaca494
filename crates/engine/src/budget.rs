//! One budget of descriptors for clients, attempts and the pool. Idle ones go first.

use chalkwalk_balancer::admission::may_close;
use chalkwalk_sockets::within;
use chalkwalk_time::Span;
use smol::channel::Sender;
use smol::future::FutureExt;
use smol::lock::{Semaphore, SemaphoreGuardArc};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Idle connections are closed one by one, and each has this moment to be gone.
const MAKE_ROOM: Duration = Duration::from_millis(5);

/// What is open besides: standard streams, epoll, its timer and event, the signals' pair, the listener, 11 in all as
/// counted; the list's two connections, which wait for no place; one that waits for its place, and one to spare.
const BESIDES: usize = 15;

pub type Permit = SemaphoreGuardArc;
/// Whether a connection was used, and when it became idle among all.
pub type IdleTicket = (bool, u64);

/// How long a request that came while all were busy waits for a place: most answers take less, and whoever had one is idle
/// a moment later.
const PLACE_SOON: Duration = Duration::from_millis(60);

pub struct DescriptorBudget {
    out: Arc<Semaphore>, // connections to servers
    clients: Arc<Semaphore>,
    both: Arc<Semaphore>,        // for either, as they come
    turned_away: Arc<Semaphore>, // clients that came when all of the others were busy
    // Client connections with nothing to do: those that never had, and then the longest idle first.
    idle: RefCell<BTreeMap<IdleTicket, (Instant, Sender<()>)>>,
    next: Cell<u64>,
    most_idle: usize,
    half: [usize; 3], // of out, of those and clients, and of all three
}

impl DescriptorBudget {
    pub fn new(descriptors: usize) -> DescriptorBudget {
        let all = descriptors.saturating_sub(BESIDES).max(16);
        // A third each, and a third for whoever needs it: each client that waits for an answer needs an attempt out at least,
        // and one that writes slowly, or reads, needs none.
        let (out, both) = (all / 3, all / 3);
        // Held for a moment each, the time it takes to say no; with fewer than four, others wait unseen for it.
        let turned_away = (all / 16).max(4);
        let clients = all - out - both - turned_away;
        DescriptorBudget {
            out: Arc::new(Semaphore::new(out)),
            clients: Arc::new(Semaphore::new(clients)),
            both: Arc::new(Semaphore::new(both)),
            turned_away: Arc::new(Semaphore::new(turned_away)),
            idle: RefCell::default(),
            next: Cell::new(0),
            most_idle: all / 6,
            half: [out / 2, out / 2 + clients / 2, out / 2 + clients / 2 + both / 2],
        }
    }

    /// Takes half of all places as they become free: they are another process's of this proxy, as the two may hold no more
    /// than one. `make_room` closes an idle connection to a server.
    pub async fn lend_half(&self, make_room: impl Fn()) -> Vec<Permit> {
        let mut places = Vec::new();
        for (of, half) in [&self.out, &self.clients, &self.both].into_iter().zip(self.half) {
            while places.len() < half {
                places.extend(of.try_acquire_arc());
                if places.len() < half {
                    if Arc::ptr_eq(of, &self.out) {
                        make_room()
                    } else {
                        _ = self.close_idle()
                    };
                    places.extend(within(MAKE_ROOM, of.acquire_arc()).await);
                }
            }
        }
        places
    }

    /// Waits for a place for a connection to a server; `make_room` closes one that is idle.
    pub async fn acquire_for_server(&self, make_room: impl Fn()) -> Permit {
        loop {
            if let Some(place) = self.out.try_acquire_arc().or_else(|| self.both.try_acquire_arc()) {
                return place;
            }
            make_room();
            // Clients beyond their own places may have it; while they have some left, none that is idle is in the way.
            if self.clients.try_acquire_arc().is_none() {
                self.close_idle();
            }
            if let Some(place) = self.soon(&self.out).await {
                return place;
            }
        }
    }

    /// Waits for a place for a client, and says whether its requests are taken: not where no other is idle.
    pub async fn acquire_for_client(&self) -> (Permit, bool) {
        loop {
            if let Some(place) = self.try_client() {
                return (place, true);
            }
            // Guards requests against waiting unseen, before they are accepted, until their time is over.
            if !self.close_idle()
                && let Some(place) = self.turned_away.try_acquire_arc()
            {
                return (place, false);
            }
            if let Some(place) = self.soon(&self.clients).await {
                return (place, true);
            }
        }
    }

    /// A client's place, if there is one, or one becomes free or idle soon.
    pub async fn acquire_for_client_soon(&self) -> Option<Permit> {
        let end = Instant::now() + PLACE_SOON;
        loop {
            if let Some(place) = self.try_client() {
                return Some(place);
            }
            if !self.close_idle() && Instant::now() >= end {
                return None;
            }
            if let Some(place) = self.soon(&self.clients).await {
                return Some(place);
            }
        }
    }

    pub fn try_client(&self) -> Option<Permit> {
        self.clients.try_acquire_arc().or_else(|| self.both.try_acquire_arc())
    }

    /// A place that becomes free soon. Who waits asks again after that: guards against waiting for ever for what
    /// became idle only meanwhile.
    async fn soon(&self, of: &Arc<Semaphore>) -> Option<Permit> {
        within(MAKE_ROOM, of.acquire_arc().or(self.both.acquire_arc())).await
    }

    /// Puts a client's connection down as idle; closing it is asked for through `close`.
    pub fn mark_idle(&self, close: Sender<()>, used: bool) -> IdleTicket {
        let id = (used, self.next.get());
        self.next.set(id.1 + 1);
        self.idle.borrow_mut().insert(id, (Instant::now(), close));
        // Guards clients against others that ask once and keep their connection: whoever stands between may let
        // only so many be open at once, a third of our descriptors, and half of that is for those that ask.
        if self.idle.borrow().len() > self.most_idle {
            self.close_idle();
        }
        id
    }

    pub fn mark_busy(&self, id: IdleTicket) {
        self.idle.borrow_mut().remove(&id);
    }

    pub fn close_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let may_go = |used: bool, since: Instant| may_close(used, Span::from(since.elapsed()));
        let longest = idle.iter().find(|((used, _), (since, _))| may_go(*used, *since)).map(|(id, _)| *id);
        longest.and_then(|id| idle.remove(&id)).is_some_and(|(_, close)| close.try_send(()).is_ok())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How many places there are for servers, and then for clients.
    fn places(budget: &DescriptorBudget) -> (usize, usize) {
        let out: Vec<Permit> = std::iter::from_fn(|| budget.out.try_acquire_arc()).collect();
        let clients: Vec<Permit> = std::iter::from_fn(|| budget.try_client()).collect();
        (out.len(), clients.len())
    }

    /// Clients that write slowly have the places that no server needs, and two processes of a proxy have half each.
    #[test]
    fn places_are_for_either_side_as_they_come_and_half_of_them_another_processs() {
        let budget = DescriptorBudget::new(192);
        let alone = places(&budget);
        let lent = smol::block_on(budget.lend_half(|| ()));
        let together = places(&budget);
        drop(lent);
        expect_test::expect!["(59, 107) (30, 54) (59, 107)"]
            .assert_eq(&format!("{alone:?} {together:?} {:?}", places(&budget)));
    }

    /// While clients have places of their own left, none that is idle is closed for an attempt that waits.
    #[test]
    fn an_attempt_that_waits_closes_no_client_that_is_not_in_its_way() {
        let budget = DescriptorBudget::new(192);
        let (close, closed) = smol::channel::bounded(1);
        budget.mark_idle(close, false);
        let mut held: Vec<Permit> = (0..118)
            .filter_map(|_| smol::block_on(within(MAKE_ROOM, budget.acquire_for_server(|| ()))))
            .collect();
        let waits = || smol::block_on(within(MAKE_ROOM * 3, budget.acquire_for_server(|| ()))).is_none();
        let before = (waits(), closed.is_empty());
        held.extend(std::iter::from_fn(|| budget.clients.try_acquire_arc()));
        expect_test::expect!["(true, true) (true, false)"]
            .assert_eq(&format!("{before:?} {:?}", (waits(), closed.is_empty())));
    }
}
