//! Idle connections, which are closed when other connections need their file descriptors.

use chalkwalk_engine::budget::IdleTicket;
use chalkwalk_engine::engine::Engine;
use smol::channel::bounded;

/// Marks the connection as idle until the guard is dropped.
struct IdleGuard<'a> {
    engine: &'a Engine,
    ticket: IdleTicket,
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.engine.budget.mark_busy(self.ticket);
    }
}

/// Marks the connection as idle and waits until it has to be closed to free its file descriptor.
/// `has_sent_command` states whether the client has sent a command on the connection.
pub async fn wait_for_eviction(engine: &Engine, has_sent_command: bool) {
    let (close_sender, close_receiver) = bounded(1);
    let ticket = engine.budget.mark_idle(close_sender, has_sent_command);
    let _idle_guard = IdleGuard { engine, ticket };
    _ = close_receiver.recv().await;
}
