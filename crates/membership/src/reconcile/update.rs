//! The input and output types of the reconciler.

use crate::{ListEntry, ListedEndpoint};

/// A change to one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// The endpoint is newly listed, or listed in another state.
    Put(ListEntry),
    /// The endpoint with this id is no longer listed.
    Removed(String),
}

/// A change, with the revision that the source gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionedChange {
    /// The revision. Several changes may share one, because the source made them together.
    pub revision: u64,
    /// What changed.
    pub change: EndpointChange,
}

/// The changes that the engine has to be notified of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListUpdate {
    /// Endpoints that are new or whose state changed.
    pub endpoints: Vec<ListedEndpoint>,
    /// Whether this is the first list of the source, which replaces all endpoints known before.
    pub replaces_all: bool,
    /// The events to log.
    pub events: Vec<ReconcileEvent>,
}

/// A decision of the reconciler that is logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconcileEvent {
    /// Several consecutive lists were older than the current one, so the last of them is accepted
    /// and treated as stale.
    StaleListAccepted,
    /// A change that lists an endpoint was ignored, because the maximum number of remembered
    /// endpoints is reached.
    EndpointLimitReached,
    /// Too much of the fleet is missing at once; the missing servers are retained for a while.
    MassRemovalSuspected,
    /// A drained server is listed as in service again without a new process start, and stays
    /// drained.
    DrainRetained {
        /// The id of the server.
        id: String,
    },
    /// A server returned to service too often, and its return is delayed.
    FlapDamped {
        /// The id of the server.
        id: String,
    },
}

impl ReconcileEvent {
    /// The message of the log event.
    pub fn message(&self) -> &'static str {
        match self {
            ReconcileEvent::StaleListAccepted => "older list accepted, treated as stale",
            ReconcileEvent::EndpointLimitReached => "too many caches, one ignored",
            ReconcileEvent::MassRemovalSuspected => "mass removal suspected, missing caches retained",
            ReconcileEvent::DrainRetained { .. } => "listed as in service but stays drained",
            ReconcileEvent::FlapDamped { .. } => "flapping, return to service delayed",
        }
    }

    /// The id of the endpoint that the event refers to, if it refers to a single one.
    pub fn endpoint_id(&self) -> Option<&str> {
        match self {
            ReconcileEvent::DrainRetained { id } | ReconcileEvent::FlapDamped { id } => Some(id),
            ReconcileEvent::StaleListAccepted
            | ReconcileEvent::EndpointLimitReached
            | ReconcileEvent::MassRemovalSuspected => None,
        }
    }
}
