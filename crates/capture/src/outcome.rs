//! The numbers by which captures have the balancer's enums. They never change, whatever the order in the balancer.

use crate::event::RecordedEndpoint;
use chalkwalk_balancer::{AttemptOutcome, Endpoint, EndpointStatus};

const OUTCOMES: [AttemptOutcome; 12] = [
    AttemptOutcome::Completed,
    AttemptOutcome::CompletedFromCache,
    AttemptOutcome::CompletedByFetch,
    AttemptOutcome::CacheMiss,
    AttemptOutcome::InvalidRequest,
    AttemptOutcome::ServerError,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// The number of an outcome in captures.
pub(crate) fn outcome_number(outcome: AttemptOutcome) -> u8 {
    OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(0) as u8
}

/// The outcome with a number of a capture.
pub(crate) fn outcome_of_number(number: u8) -> Option<AttemptOutcome> {
    OUTCOMES.get(usize::from(number)).copied()
}

const STATUSES: [EndpointStatus; 3] = [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Gone];

impl RecordedEndpoint {
    /// An endpoint as captures have it.
    pub(crate) fn of(endpoint: &Endpoint) -> RecordedEndpoint {
        let status = STATUSES.iter().position(|known| *known == endpoint.status).unwrap_or(0) as u8;
        RecordedEndpoint {
            server: endpoint.server,
            id: endpoint.id.into(),
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.cell,
            size: endpoint.size,
            status,
            born: endpoint.born,
        }
    }

    /// The endpoint for the balancer; `None` if the status is unknown.
    pub(crate) fn to_endpoint(&self) -> Option<Endpoint<'_>> {
        let status = *STATUSES.get(usize::from(self.status))?;
        let RecordedEndpoint { server, zone, kind, cell, size, born, .. } = *self;
        Some(Endpoint { server, id: &self.id, zone, kind, cell, size, status, born })
    }
}
