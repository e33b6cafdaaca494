//! The numbers that captures store for the balancer's enums. A variant's number is its position in
//! an array of this file. The numbers are stored data, so they stay the same when the balancer
//! reorders its variants.

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

/// Returns the number that captures store for an outcome.
pub(crate) fn outcome_number(outcome: AttemptOutcome) -> u8 {
    OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(0) as u8
}

/// Returns the outcome for a number in a capture; `None` if the number is unknown.
pub(crate) fn outcome_from_number(number: u8) -> Option<AttemptOutcome> {
    OUTCOMES.get(usize::from(number)).copied()
}

const STATUSES: [EndpointStatus; 3] = [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Gone];

impl RecordedEndpoint {
    /// Converts an endpoint of the balancer to its form in captures.
    pub(crate) fn from_endpoint(endpoint: &Endpoint) -> RecordedEndpoint {
        let status = STATUSES.iter().position(|known| *known == endpoint.status).unwrap_or(0) as u8;
        RecordedEndpoint {
            server: endpoint.server,
            id: endpoint.id.into(),
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.cell,
            size: endpoint.weight_hundredths,
            status,
            born: endpoint.started_at,
        }
    }

    /// Converts the endpoint back to the balancer's type; `None` if the status number is unknown.
    pub(crate) fn to_endpoint(&self) -> Option<Endpoint<'_>> {
        let status = *STATUSES.get(usize::from(self.status))?;
        let RecordedEndpoint { server, zone, kind, cell, size: weight_hundredths, born: started_at, .. } =
            *self;
        Some(Endpoint { server, id: &self.id, zone, kind, cell, weight_hundredths, status, started_at })
    }
}
