//! What a source reports, reconciled with what it reported before. A state machine without I/O:
//! each call returns what the engine is to be notified of and what the log is to have, and
//! `next_deadline` when to call `tick`.
//!
//! Drains are always applied at once. What would take servers away unannounced, or bring drained
//! ones back, is applied only where the source can be trusted in it: `history` decides whether a
//! list is stale, `mass_removal` whether too much of the fleet goes at once, `flap_damping` how
//! soon a server may return again. `endpoint_state` combines them for one endpoint.

mod endpoint_state;
mod flap_damping;
mod history;
mod mass_removal;
mod reconciler;
mod update;

pub use reconciler::{ListError, Reconciler};
pub use update::{EndpointChange, ListUpdate, ReconcileEvent, RevisionedChange};

/// Whether what a source reports last is newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// Revisions order it, so what comes later may take a drain back.
    Revisioned,
    /// Somebody puts it together (a file): a writer that still lists a drained server may not know
    /// of the drain. The server is back with a new start, or where it is listed as reinstated.
    Assembled,
}
