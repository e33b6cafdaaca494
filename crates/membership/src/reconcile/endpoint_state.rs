//! What is known of one endpoint: what its source lists, what the engine was notified of, and what
//! it is to be notified of next.

use super::flap_damping::{FlapDamper, ReturnDecision};
use super::mass_removal::Absence;
use super::{ReconcileEvent, SourceKind};
use crate::{ListEntry, ListedEndpoint};
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_time::{Span, Timestamp};

/// A server that is gone is remembered so long, so that no old list brings it back: ten times as
/// long as a list is stale.
const GONE_REMEMBERED_FOR: Span = Span::from_secs(600);

/// How far the source can be trusted that a server is in service again.
#[derive(Clone, Copy, Debug)]
pub(super) struct SourceTrust {
    pub kind: SourceKind,
    /// Whether its list is stale: see `history`.
    pub stale: bool,
}

/// The state of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointState {
    /// As the source lists it, or listed it last.
    entry: ListEntry,
    /// Whether the source lists it now.
    listed: bool,
    /// As the engine was last notified of it.
    published: Option<ListedEndpoint>,
    /// The newest start that was announced to be draining.
    drained_start: Option<Timestamp>,
    /// The newest start with which it was out of service, announced or missing.
    out_of_service_start: Option<Timestamp>,
    /// Set while it is not listed though it was in service.
    pub absence: Option<Absence>,
    gone_since: Timestamp,
    flap_damper: FlapDamper,
    /// Whether it was reported that it stays drained.
    drain_retained: bool,
}

impl EndpointState {
    /// An endpoint that is listed for the first time.
    pub fn new(entry: ListEntry) -> EndpointState {
        let drained = entry.endpoint.status != EndpointStatus::Ready;
        EndpointState {
            drained_start: drained.then_some(entry.endpoint.born),
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

    /// The source lists it like this.
    pub fn put(&mut self, entry: ListEntry) {
        self.listed = true;
        if entry.endpoint.status != EndpointStatus::Ready {
            self.drained_start = self.drained_start.max(Some(entry.endpoint.born));
        }
        self.entry = entry;
    }

    /// The source does not list it, at least not yet.
    pub fn unlist(&mut self) {
        self.listed = false;
    }

    /// Applies a drain out of a list that is rejected, unless it is of an earlier process of this
    /// server.
    pub fn drain(&mut self, start: Timestamp) {
        if self.is_in_service() && self.entry.endpoint.born <= start {
            self.entry.endpoint.status = EndpointStatus::Draining;
            self.drained_start = self.drained_start.max(Some(start));
        }
    }

    /// As the engine was notified of it, unless it is gone.
    pub fn published(&self) -> Option<&ListedEndpoint> {
        self.published.as_ref().filter(|endpoint| endpoint.status != EndpointStatus::Gone)
    }

    /// Whether the engine takes it to be in service.
    pub fn is_in_service(&self) -> bool {
        self.published_status() == Some(EndpointStatus::Ready)
    }

    /// Whether it has to be remembered.
    pub fn is_remembered(&self, now: Timestamp) -> bool {
        let gone = self.published_status() == Some(EndpointStatus::Gone);
        self.listed || !gone || now < self.gone_since + GONE_REMEMBERED_FOR
    }

    /// Whether it is in service and not listed, and that is not known yet.
    pub fn is_newly_absent(&self) -> bool {
        !self.listed && self.is_in_service() && self.absence.is_none()
    }

    /// An absence ends with a new entry, or with a drain.
    pub fn clear_ended_absence(&mut self) {
        if self.listed || self.entry.endpoint.status != EndpointStatus::Ready {
            self.absence = None;
        }
    }

    /// When time alone changes its status.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let retained = self.absence.map(|absence| absence.retained_until);
        let retained = retained.filter(|_| self.is_in_service());
        retained.into_iter().chain(self.flap_damper.delayed_until()).min()
    }

    /// Works out its status, and returns it if the engine is to be notified: because it changed, or
    /// because everything is published anew.
    pub fn publish(
        &mut self,
        now: Timestamp,
        trust: SourceTrust,
        replaces_all: bool,
        events: &mut Vec<ReconcileEvent>,
    ) -> Option<ListedEndpoint> {
        let status = self.next_status(now, self.stays_drained(trust), events);
        if status != EndpointStatus::Ready {
            self.out_of_service_start = self.out_of_service_start.max(Some(self.entry.endpoint.born));
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

    /// Whether it stays out of service though it is listed as in service: it was drained or
    /// missing, and nothing shows that it is another process by now.
    fn stays_drained(&self, trust: SourceTrust) -> bool {
        let same_process =
            |start: Option<Timestamp>| start.is_some_and(|start| self.entry.endpoint.born <= start);
        let drain_holds =
            trust.kind == SourceKind::Assembled && !self.entry.reinstated && same_process(self.drained_start);
        let distrusted = trust.stale && same_process(self.out_of_service_start);
        self.is_listed_as_ready() && (drain_holds || distrusted)
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

    /// Listed as in service: it is so at once, unless it comes back too often.
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
