//! Addresses: how they are read, and the one of the discovery service, which may move.

use chalkwalk_settings::fields::{FieldError, FieldResult};
use smol::channel::{Receiver, Sender, bounded};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Reads an address with a port; `field` names it in the error.
pub(crate) fn parse_address(text: &str, field: &str) -> FieldResult<SocketAddr> {
    text.parse().map_err(|_| FieldError::Unexpected {
        field: field.to_string(),
        expected: "an address and a port",
        found: format!("\"{text}\""),
    })
}

/// Where the endpoint list is read from. It may move while the proxy serves.
pub struct DiscoveryAddress {
    current: Cell<SocketAddr>,
    moves: Sender<()>,
    moved: Receiver<()>,
}

impl DiscoveryAddress {
    /// A service at this address.
    pub fn new(address: SocketAddr) -> Rc<DiscoveryAddress> {
        // One pending move is as good as many: what counts is the address by the time it is
        // noticed.
        let (moves, moved) = bounded(1);
        Rc::new(DiscoveryAddress { current: Cell::new(address), moves, moved })
    }

    /// Where the service is now.
    pub fn address(&self) -> SocketAddr {
        self.current.get()
    }

    /// The service is elsewhere from now on, and the list is read from there at once.
    pub fn move_to(&self, address: SocketAddr) {
        if self.current.replace(address) != address {
            _ = self.moves.try_send(());
        }
    }

    /// Waits for the next move. `false` where there will be none, as nobody can move it any more.
    pub(crate) async fn wait_for_move(&self) -> bool {
        self.moved.recv().await.is_ok()
    }
}
