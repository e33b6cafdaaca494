//! The state of one endpoint: what the source lists, what the engine was last notified of, and what
//! the engine has to be notified of next.

use super::flap_damping::{FlapDamper, ReturnDecision};
use super::mass_removal::Absence;
use super::{ReconcileEvent, SourceKind};
use crate::{ListEntry, ListedEndpoint};
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::{Span, Timestamp};

/// How long a server that is gone is remembered, so that no old list returns it to service: ten
/// times as long as a list counts as stale.
const GONE_RETENTION: Span = Span::from_secs(600);

/// Determines whether the source can be trusted when it lists a server as in service again.
#[derive(Clone, Copy, Debug)]
pub(super) struct SourceTrust {
    pub kind: SourceKind,
    /// Whether the source's list is stale (see `history`).
    pub stale: bool,
}

/// The state of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointState {
    /// The entry in the source's list, or the last one if the endpoint is no longer listed.
    entry: ListEntry,
    /// Whether the source currently lists the endpoint.
    listed: bool,
    /// The endpoint as the engine was last notified of it.
    published: Option<ListedEndpoint>,
    /// The newest process start that was listed as draining.
    drained_start: Option<Timestamp>,
    /// The newest process start with which the server was out of service, whether it was drained or
    /// missing from the list.
    out_of_service_start: Option<Timestamp>,
    /// Set while the endpoint is not listed although it was in service.
    pub absence: Option<Absence>,
    /// When the endpoint's status became gone; zero before that.
    gone_since: Timestamp,
    flap_damper: FlapDamper,
    /// Whether the log event for a drain that is retained has been emitted.
    drain_retained: bool,
}

impl EndpointState {
    /// Creates the state of an endpoint that is listed for the first time.
    pub fn new(entry: ListEntry) -> EndpointState {
        let drained = entry.endpoint.status != EndpointStatus::Ready;
        EndpointState {
            drained_start: drained.then_some(entry.endpoint.started_at),
            entry,
            listed: true,
            published: None,
            out_of_service_start: None,
            absence: None,
            gone_since: Timestamp::ZERO,
            flap_damper: FlapDamper::default(),
            drain_retained: false,
        }
    }

    /// Records the entry with which the source now lists the endpoint.
    pub fn put(&mut self, entry: ListEntry) {
        self.listed = true;
        if entry.endpoint.status != EndpointStatus::Ready {
            self.drained_start = self.drained_start.max(Some(entry.endpoint.started_at));
        }
        self.entry = entry;
    }

    /// Records that the source does not list the endpoint. Before a list is applied, all endpoints
    /// are marked like this, and `put` then records those that the list contains.
    pub fn mark_unlisted(&mut self) {
        self.listed = false;
    }

    /// Applies a drain from a rejected list, unless it refers to an earlier process of this server.
    pub fn drain(&mut self, start: Timestamp) {
        if self.is_in_service() && self.entry.endpoint.started_at <= start {
            self.entry.endpoint.status = EndpointStatus::Draining;
            self.drained_start = self.drained_start.max(Some(start));
        }
    }

    /// Returns the endpoint as the engine was last notified of it, unless it is gone.
    pub fn published(&self) -> Option<&ListedEndpoint> {
        self.published.as_ref().filter(|endpoint| endpoint.status != EndpointStatus::Gone)
    }

    /// Whether the engine was last notified that the endpoint is in service.
    pub fn is_in_service(&self) -> bool {
        self.published_status() == Some(EndpointStatus::Ready)
    }

    /// Whether this state still has to be kept.
    pub fn is_remembered(&self, now: Timestamp) -> bool {
        let gone = self.published_status() == Some(EndpointStatus::Gone);
        self.listed || !gone || now < self.gone_since + GONE_RETENTION
    }

    /// Whether the endpoint is in service and not listed, and no absence is recorded yet.
    pub fn is_newly_absent(&self) -> bool {
        !self.listed && self.is_in_service() && self.absence.is_none()
    }

    /// Clears the absence if the endpoint is listed again or is draining.
    pub fn clear_ended_absence(&mut self) {
        if self.listed || self.entry.endpoint.status != EndpointStatus::Ready {
            self.absence = None;
        }
    }

    /// When the status next changes through the passage of time alone.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let retained_until = self.absence.map(|absence| absence.retained_until);
        let retained_until = retained_until.filter(|_| self.is_in_service());
        retained_until.into_iter().chain(self.flap_damper.delayed_until()).min()
    }

    /// Determines the status, and returns the endpoint if the engine has to be notified of it,
    /// because it changed or because all endpoints are published again.
    pub fn publish(
        &mut self,
        now: Timestamp,
        trust: SourceTrust,
        replaces_all: bool,
        events: &mut Vec<ReconcileEvent>,
    ) -> Option<ListedEndpoint> {
        let status = self.next_status(now, self.stays_drained(trust), events);
        if status != EndpointStatus::Ready {
            self.out_of_service_start = self.out_of_service_start.max(Some(self.entry.endpoint.started_at));
        }
        if status == EndpointStatus::Gone && self.published_status() != Some(EndpointStatus::Gone) {
            self.gone_since = now;
        }
        let endpoint = ListedEndpoint { status, ..self.entry.endpoint.clone() };
        let known = self.published.is_some() || status != EndpointStatus::Gone;
        let changed = self.published.as_ref() != Some(&endpoint);
        if !known || !(replaces_all || changed) {
            return None;
        }
        self.published = Some(endpoint.clone());
        Some(endpoint)
    }

    fn published_status(&self) -> Option<EndpointStatus> {
        self.published.as_ref().map(|endpoint| endpoint.status)
    }

    fn is_listed_as_ready(&self) -> bool {
        self.listed && self.entry.endpoint.status == EndpointStatus::Ready
    }

    /// Whether the server stays out of service although it is listed as in service: it was drained
    /// or missing, and nothing shows that it has been restarted since.
    fn stays_drained(&self, trust: SourceTrust) -> bool {
        let is_same_process =
            |start: Option<Timestamp>| start.is_some_and(|start| self.entry.endpoint.started_at <= start);
        let drain_applies = trust.kind == SourceKind::Unordered
            && !self.entry.reinstated
            && is_same_process(self.drained_start);
        let stale_list_applies = trust.stale && is_same_process(self.out_of_service_start);
        self.is_listed_as_ready() && (drain_applies || stale_list_applies)
    }

    fn next_status(
        &mut self,
        now: Timestamp,
        stays_drained: bool,
        events: &mut Vec<ReconcileEvent>,
    ) -> EndpointStatus {
        if stays_drained && !self.drain_retained {
            events.push(ReconcileEvent::DrainRetained { id: self.entry.endpoint.id.clone() });
        }
        self.drain_retained = stays_drained;
        if self.is_listed_as_ready() && !stays_drained {
            return self.return_to_service(now, events);
        }
        self.flap_damper.cancel_delay();
        if stays_drained {
            return EndpointStatus::Draining;
        }
        match self.absence {
            Some(absence) if now < absence.retained_until => EndpointStatus::Ready,
            _ if self.listed => self.entry.endpoint.status,
            _ => EndpointStatus::Gone,
        }
    }

    /// Returns the status of a server that is listed as in service. It enters service immediately,
    /// unless it has returned too often.
    fn return_to_service(&mut self, now: Timestamp, events: &mut Vec<ReconcileEvent>) -> EndpointStatus {
        if self.published.is_none() || self.is_in_service() {
            return EndpointStatus::Ready;
        }
        match self.flap_damper.try_return(now) {
            ReturnDecision::Admitted => {
                self.drained_start = None;
                self.out_of_service_start = None;
                EndpointStatus::Ready
            }
            ReturnDecision::NewlyDelayed => {
                events.push(ReconcileEvent::FlapDamped { id: self.entry.endpoint.id.clone() });
                EndpointStatus::Draining
            }
            ReturnDecision::Delayed => EndpointStatus::Draining,
        }
    }
}
