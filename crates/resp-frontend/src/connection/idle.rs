//! Idle connections, which are closed when others need their descriptors.

use chalkwalk_engine::budget::IdleTicket;
use chalkwalk_engine::engine::Engine;
use smol::channel::bounded;

/// Marks the connection idle until dropped.
struct IdleGuard<'a> {
    engine: &'a Engine,
    ticket: IdleTicket,
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.engine.budget.mark_busy(self.ticket);
    }
}

/// Waits, with the connection marked idle, until it has to be closed for others. `used`: whether it
/// has sent a command.
pub async fn evicted_while_idle(engine: &Engine, used: bool) {
    let (close, closed) = bounded(1);
    let ticket = engine.budget.mark_idle(close, used);
    let _idle = IdleGuard { engine, ticket };
    _ = closed.recv().await;
}
