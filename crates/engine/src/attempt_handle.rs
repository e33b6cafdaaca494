//! A handle on an attempt for code outside of its task: cancels the attempt and tracks its
//! progress.

use crate::pool::ServerConnection;
use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::net::Shutdown;
use std::rc::Rc;

/// Shared by the request table, which may cancel the attempt, and the task that runs it.
pub struct AttemptHandle {
    /// The connection that the attempt uses, from right before the write until the connection is
    /// released.
    connection: RefCell<Option<Rc<ServerConnection>>>,
    /// Whether the request has been written up to its last byte.
    written: Cell<bool>,
    cancel_sender: Sender<()>,
    cancel_receiver: Receiver<()>,
}

impl AttemptHandle {
    pub(crate) fn new() -> AttemptHandle {
        let (cancel_sender, cancel_receiver) = bounded(1);
        AttemptHandle {
            connection: RefCell::default(),
            written: Cell::new(false),
            cancel_sender,
            cancel_receiver,
        }
    }

    /// Cancels the attempt. Its connection is shut down immediately, so that the shutdown precedes
    /// any later write to any peer.
    pub(crate) fn cancel(&self) {
        if let Some(connection) = self.connection.borrow().as_ref() {
            _ = connection.stream.get_ref().shutdown(Shutdown::Both);
        }
        _ = self.cancel_sender.try_send(());
    }

    /// Returns once the attempt is cancelled.
    pub(crate) async fn cancelled(&self) {
        _ = self.cancel_receiver.recv().await;
    }

    /// Records the connection to which the attempt is about to be written.
    pub(crate) fn set_connection(&self, connection: Rc<ServerConnection>) {
        *self.connection.borrow_mut() = Some(connection);
    }

    /// Drops the reference to the attempt's connection.
    pub(crate) fn release_connection(&self) {
        *self.connection.borrow_mut() = None;
    }

    /// Records that the request has been written up to its last byte.
    pub(crate) fn set_written(&self) {
        self.written.set(true);
    }

    /// Whether the request has been written up to its last byte. Until then it has certainly not
    /// run.
    pub(crate) fn is_written(&self) -> bool {
        self.written.get()
    }
}
