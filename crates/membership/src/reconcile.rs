//! Reconciles what a source reports with what it reported before. This is a state machine without
//! I/O: each call returns the endpoint changes for the engine and the events for the log, and
//! `next_deadline` returns when to call `tick`.
//!
//! Drains are always applied immediately. Changes that would remove servers without a drain, or
//! return drained servers to service, are applied only if the source can be trusted: `history`
//! decides whether a list is stale, `mass_removal` whether too much of the fleet is removed at
//! once, and `flap_damping` how soon a server may return to service again. `endpoint_state`
//! combines these decisions for one endpoint.

mod endpoint_state;
mod flap_damping;
mod history;
mod mass_removal;
mod reconciler;
mod update;

pub use reconciler::{ListError, Reconciler};
pub use update::{EndpointChange, ListUpdate, ReconcileEvent, RevisionedChange};

/// Whether the latest report of a source is also its newest state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// The source orders its changes by revisions, so a later change may revoke a drain.
    Revisioned,
    /// A writer assembles the list (a file), and may still list a drained server as in service
    /// because it does not know of the drain. The server returns to service only with a new process
    /// start, or if it is listed as reinstated.
    Unordered,
}
