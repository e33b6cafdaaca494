//! Idle client connections, in the order in which they are closed when descriptors run short.

use chalkwalk_balancer::admission::may_close_idle_client;
use chalkwalk_time::Span;
use smol::channel::Sender;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Instant;

/// Identifies an idle connection. The order of the fields is the order of closing: connections that
/// never carried a request come first, and among equals the one that has been idle longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdleTicket {
    used: bool,
    number: u64,
}

struct IdleClient {
    idle_since: Instant,
    /// Asks the connection to close.
    close_sender: Sender<()>,
}

impl IdleClient {
    fn may_close(&self, used: bool) -> bool {
        may_close_idle_client(used, Span::from(self.idle_since.elapsed()))
    }
}

/// The client connections that are idle now.
pub(crate) struct IdleClients {
    clients: RefCell<BTreeMap<IdleTicket, IdleClient>>,
    next_number: Cell<u64>,
    max_idle: usize,
}

impl IdleClients {
    /// Creates an empty set. At most `max_idle` connections stay idle; if one more is added, the
    /// first in order is asked to close.
    pub fn new(max_idle: usize) -> IdleClients {
        IdleClients { clients: RefCell::default(), next_number: Cell::new(0), max_idle }
    }

    /// Adds a connection, which can be asked to close through `close_sender`. `used` is whether it
    /// has carried a request.
    pub fn add(&self, close_sender: Sender<()>, used: bool) -> IdleTicket {
        let ticket = IdleTicket { used, number: self.next_number.get() };
        self.next_number.set(ticket.number + 1);
        let client = IdleClient { idle_since: Instant::now(), close_sender };
        self.clients.borrow_mut().insert(ticket, client);
        if self.clients.borrow().len() > self.max_idle {
            self.close_first();
        }
        ticket
    }

    /// Removes a connection that is in use again, or closed.
    pub fn remove(&self, ticket: IdleTicket) {
        self.clients.borrow_mut().remove(&ticket);
    }

    /// Asks the first connection in order that may be closed to close. Returns whether there was
    /// one.
    pub fn close_first(&self) -> bool {
        let mut clients = self.clients.borrow_mut();
        let first = clients.iter().find(|(ticket, client)| client.may_close(ticket.used));
        let first = first.map(|(ticket, _)| *ticket);
        first
            .and_then(|ticket| clients.remove(&ticket))
            .is_some_and(|client| client.close_sender.try_send(()).is_ok())
    }
}
