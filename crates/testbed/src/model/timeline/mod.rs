//! The states and faults of each server, the origin, the list and the links over a run, computed
//! from the experiment before the run starts.

mod build;

use crate::clock::Micros;
use crate::experiment::Outage;
use crate::model::speed::SpeedProfile;
use std::ops::Range;

/// Whether a peer can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Connections are accepted.
    Up,
    /// The process is gone: its connections are reset, and new ones are refused.
    Refused,
    /// The machine or the link to it is gone: no packets arrive, not even the end of a connection.
    Silent,
}

/// How a running server misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misbehavior {
    /// Answers with an error immediately.
    Fails,
    /// Accepts all requests and answers none.
    Hangs,
    /// Accepts a request and never answers it, while it answers others.
    DropsRequests,
    /// Rejects the request without processing it.
    Rejects,
    /// Resets the connection.
    Resets,
    /// Sends only half of the response.
    Truncates,
    /// Sends bytes that are not a valid response.
    SendsGarbage,
    /// Sends an interim response first.
    Interim,
}

/// A misbehavior, its span, and the share of the attempts that it affects.
#[derive(Clone, Debug)]
pub struct MisbehaviorSpan {
    /// When the server misbehaves.
    pub span: Range<Micros>,
    /// How the server misbehaves.
    pub misbehavior: Misbehavior,
    /// Share of the attempts that are affected, from 0 to 1.
    pub share: f64,
}

/// One process of a server, from its start to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Incarnation {
    /// When it starts; 0 if it started before the run and is past its slow start.
    pub started_at: Micros,
    /// When it ends; `Micros::MAX` if it does not end.
    pub ended_at: Micros,
    /// Whether the server can be reached after the end, until the next process starts.
    pub reachability_after: Reachability,
}

/// The states and faults of one server over a run.
#[derive(Clone, Debug, Default)]
pub struct ServerTimeline {
    /// Its processes, in order of time.
    pub incarnations: Vec<Incarnation>,
    /// How fast it works.
    pub speed: SpeedProfile,
    /// Its misbehaviors.
    pub misbehaviors: Vec<MisbehaviorSpan>,
    /// Times at which its cache is cleared.
    pub purges: Vec<Micros>,
}

/// The status of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// In service.
    Ready,
    /// About to be shut down.
    Draining,
    /// No longer running.
    Gone,
}

impl EndpointStatus {
    /// The status in the platform's list.
    pub fn wire_name(self) -> &'static str {
        match self {
            EndpointStatus::Ready => "SERVING",
            EndpointStatus::Draining => "DRAINING",
            EndpointStatus::Gone => "DELETED",
        }
    }
}

/// A change of a server's entry in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// When the list publishes the change.
    pub published_at: Micros,
    /// The server whose entry changes.
    pub server: usize,
    /// The server's new status.
    pub status: EndpointStatus,
    /// When the server's process started, if its status is ready.
    pub started_at: Micros,
}

/// A span in which the list is down.
#[derive(Clone, Debug)]
pub struct ListOutage {
    /// When the list is down.
    pub span: Range<Micros>,
    /// How the list fails.
    pub outage: Outage,
}

/// A span in which the origin fails a share of its requests.
#[derive(Clone, Debug)]
pub struct OriginFailure {
    /// When the origin fails.
    pub span: Range<Micros>,
    /// Share of the requests that fail, from 0 to 1.
    pub share: f64,
}

/// A span in which a zone is cut off from the others.
#[derive(Clone, Debug)]
pub struct ZoneCut {
    /// When the zone is cut off.
    pub span: Range<Micros>,
    /// The zone's index.
    pub zone: usize,
}

impl ZoneCut {
    /// Whether the cut separates two zones.
    fn separates(&self, zone: usize, other_zone: usize) -> bool {
        zone != other_zone && (self.zone == zone || self.zone == other_zone)
    }
}

/// The states and faults of everything except the proxies.
#[derive(Clone, Debug, Default)]
pub struct Timelines {
    /// Indexed by server.
    pub servers: Vec<ServerTimeline>,
    /// The origin's speed.
    pub origin: SpeedProfile,
    /// When the origin fails a share of its requests immediately.
    pub origin_failures: Vec<OriginFailure>,
    /// When zones are cut off.
    pub zone_cuts: Vec<ZoneCut>,
    /// Changes of the list, in order of publication.
    pub list_updates: Vec<ListUpdate>,
    /// When the list is down.
    pub list_outages: Vec<ListOutage>,
    /// When the list answers with an earlier state.
    pub stale_list_spans: Vec<Range<Micros>>,
    /// Times at which the list stops answering the calls that wait there.
    pub list_silences: Vec<Micros>,
}

impl ServerTimeline {
    /// The index of the process that runs at a point in time. Where none runs, the error says how
    /// connections to the server fail.
    pub fn incarnation_at(&self, now: Micros) -> Result<usize, Reachability> {
        let has_started = |incarnation: &Incarnation| incarnation.started_at <= now;
        let i = self.incarnations.iter().rposition(has_started).unwrap_or(0);
        let incarnation = &self.incarnations[i];
        if now < incarnation.ended_at { Ok(i) } else { Err(incarnation.reachability_after) }
    }
}

impl Timelines {
    /// Whether the origin fails a request that arrives now; `sample` is the request's random number
    /// from 0 to 1.
    pub fn origin_fails(&self, now: Micros, sample: f64) -> bool {
        self.origin_failures.iter().any(|failure| failure.span.contains(&now) && sample < failure.share)
    }

    /// Whether the link between two zones is cut.
    fn is_cut(&self, zone: usize, other_zone: usize, now: Micros) -> bool {
        self.zone_cuts.iter().any(|cut| cut.span.contains(&now) && cut.separates(zone, other_zone))
    }

    /// Whether a server in the first of the two zones can be reached by a proxy in the second one,
    /// and until when this holds.
    pub fn reachability(&self, server: usize, zones: (usize, usize), now: Micros) -> (Reachability, Micros) {
        let timeline = &self.servers[server];
        let reachability = match timeline.incarnation_at(now) {
            Ok(_) if self.is_cut(zones.0, zones.1, now) => Reachability::Silent,
            Ok(_) => Reachability::Up,
            Err(reachability) => reachability,
        };
        let process_transitions =
            timeline.incarnations.iter().flat_map(|process| [process.started_at, process.ended_at]);
        let next =
            process_transitions.chain(self.cut_transitions(zones.0, zones.1)).filter(|at| *at > now).min();
        (reachability, next.unwrap_or(Micros::MAX))
    }

    /// Times at which the link between two zones is cut or restored.
    fn cut_transitions(&self, zone: usize, other_zone: usize) -> impl Iterator<Item = Micros> + '_ {
        let cuts = self.zone_cuts.iter().filter(move |cut| cut.separates(zone, other_zone));
        cuts.flat_map(|cut| [cut.span.start, cut.span.end])
    }

    /// How the list fails at a point in time, if it is down.
    pub fn list_outage(&self, now: Micros) -> Option<Outage> {
        self.list_outages.iter().find(|outage| outage.span.contains(&now)).map(|outage| outage.outage)
    }

    /// Like `reachability`, for the origin or the list, which are in the first zone.
    pub fn origin_reachability(&self, zone: usize, now: Micros) -> (Reachability, Micros) {
        self.zone_reachability(0, zone, now)
    }

    /// Like `reachability`, for a peer in one zone that is called from another and has no outages
    /// of its own.
    pub fn zone_reachability(&self, peer_zone: usize, zone: usize, now: Micros) -> (Reachability, Micros) {
        let is_cut = self.is_cut(peer_zone, zone, now);
        let reachability = if is_cut { Reachability::Silent } else { Reachability::Up };
        let next = self.cut_transitions(peer_zone, zone).filter(|at| *at > now).min();
        (reachability, next.unwrap_or(Micros::MAX))
    }
}
