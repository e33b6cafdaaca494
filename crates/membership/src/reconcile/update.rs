//! What goes into the reconciler and what comes out of it.

use crate::{ListEntry, ListedEndpoint};

/// A change of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// It is listed, anew or in another state.
    Put(ListEntry),
    /// The endpoint with this id is no longer listed.
    Removed(String),
}

/// A change with the revision of the source that it made.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionedChange {
    /// Several changes of one revision came about together.
    pub revision: u64,
    /// What changed.
    pub change: EndpointChange,
}

/// What the engine is to be notified of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListUpdate {
    /// Endpoints that are new or in another state.
    pub endpoints: Vec<ListedEndpoint>,
    /// The first list of this source: whatever else was known is void.
    pub replaces_all: bool,
    /// What the log is to have.
    pub events: Vec<ReconcileEvent>,
}

/// What an operator may want to know of a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconcileEvent {
    /// Several lists in a row were older than the one before: they are accepted, as stale.
    StaleListAccepted,
    /// There are too many endpoints to take in another one.
    EndpointLimitReached,
    /// Too much of the fleet is missing at once; it is retained for a while.
    MassRemovalSuspected,
    /// A drained server is listed as in service again, without a new start.
    DrainRetained {
        /// The server.
        id: String,
    },
    /// A server returned to service too often.
    FlapDamped {
        /// The server.
        id: String,
    },
}

impl ReconcileEvent {
    /// The event's name in the log.
    pub fn message(&self) -> &'static str {
        match self {
            ReconcileEvent::StaleListAccepted => "older list accepted, treated as stale",
            ReconcileEvent::EndpointLimitReached => "too many caches, one ignored",
            ReconcileEvent::MassRemovalSuspected => "mass removal suspected, missing caches retained",
            ReconcileEvent::DrainRetained { .. } => "listed as in service but stays drained",
            ReconcileEvent::FlapDamped { .. } => "flapping, return to service delayed",
        }
    }

    /// The endpoint that it is about, if it is about a single one.
    pub fn endpoint_id(&self) -> Option<&str> {
        match self {
            ReconcileEvent::DrainRetained { id } | ReconcileEvent::FlapDamped { id } => Some(id),
            ReconcileEvent::StaleListAccepted
            | ReconcileEvent::EndpointLimitReached
            | ReconcileEvent::MassRemovalSuspected => None,
        }
    }
}
