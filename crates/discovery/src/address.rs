//! Parsing of addresses, and the address of the discovery service, which may change at run time.

use chalkwalk_settings::fields::{FieldError, FieldResult};
use smol::channel::{Receiver, Sender, bounded};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Parses an address with a port; `field` names the field in the error.
pub(crate) fn parse_address(text: &str, field: &str) -> FieldResult<SocketAddr> {
    text.parse().map_err(|_| FieldError::Unexpected {
        field: field.to_string(),
        expected: "an address and a port",
        found: format!("\"{text}\""),
    })
}

/// The address of the discovery service. It may change while the proxy serves.
pub struct DiscoveryAddress {
    current: Cell<SocketAddr>,
    change_sender: Sender<()>,
    change_receiver: Receiver<()>,
}

impl DiscoveryAddress {
    /// Creates the address, with its initial value.
    pub fn new(address: SocketAddr) -> Rc<DiscoveryAddress> {
        // One pending notification is enough for several changes: the receiver reads the address
        // that is current by then.
        let (change_sender, change_receiver) = bounded(1);
        Rc::new(DiscoveryAddress { current: Cell::new(address), change_sender, change_receiver })
    }

    /// The current address of the service.
    pub fn address(&self) -> SocketAddr {
        self.current.get()
    }

    /// Changes the address of the service. The list is requested from there immediately.
    pub fn set_address(&self, address: SocketAddr) {
        if self.current.replace(address) != address {
            _ = self.change_sender.try_send(());
        }
    }

    /// Waits for the next change of the address. Returns `false` if the address can no longer
    /// change, because the channel is closed.
    pub(crate) async fn wait_for_change(&self) -> bool {
        self.change_receiver.recv().await.is_ok()
    }
}
