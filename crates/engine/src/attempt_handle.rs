//! One attempt as seen from outside its task: how it is cancelled, and what is known of its
//! progress.

use crate::pool::ServerConnection;
use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::net::Shutdown;
use std::rc::Rc;

/// Shared by the request table, which may cancel the attempt, and the task that runs it.
pub struct AttemptHandle {
    /// The connection that the attempt is written to, while it is.
    connection: RefCell<Option<Rc<ServerConnection>>>,
    /// Whether the request is written, to the last byte.
    written: Cell<bool>,
    cancel: Sender<()>,
    cancelled: Receiver<()>,
}

impl AttemptHandle {
    pub(crate) fn new() -> AttemptHandle {
        let (cancel, cancelled) = bounded(1);
        AttemptHandle { connection: RefCell::default(), written: Cell::new(false), cancel, cancelled }
    }

    /// Ends the attempt. Its connection is shut down at once, so that whatever is written next, to
    /// whomever, is written after it.
    pub(crate) fn cancel(&self) {
        if let Some(connection) = self.connection.borrow().as_ref() {
            _ = connection.stream.get_ref().shutdown(Shutdown::Both);
        }
        _ = self.cancel.try_send(());
    }

    /// Returns once the attempt is cancelled.
    pub(crate) async fn cancelled(&self) {
        _ = self.cancelled.recv().await;
    }

    /// The attempt is about to be written to this connection.
    pub(crate) fn set_connection(&self, connection: Rc<ServerConnection>) {
        *self.connection.borrow_mut() = Some(connection);
    }

    /// The attempt has no connection any more.
    pub(crate) fn release_connection(&self) {
        *self.connection.borrow_mut() = None;
    }

    /// The request is written, to the last byte.
    pub(crate) fn set_written(&self) {
        self.written.set(true);
    }

    /// Whether the request is written, to the last byte. While it is not, it has surely not run.
    pub(crate) fn is_written(&self) -> bool {
        self.written.get()
    }
}
