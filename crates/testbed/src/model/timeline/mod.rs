//! What happens to each server, the origin, the list and the links over a run, worked out from the experiment before it is
//! played.

mod build;

use crate::clock::Micros;
use crate::experiment::Outage;
use crate::model::speed::SpeedProfile;
use std::ops::Range;

/// Whether something can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It is there.
    Up,
    /// The process is gone: its connections are reset, and new ones refused.
    Refused,
    /// The machine, or the link to it, is gone: nothing comes, not even an end.
    Silent,
}

/// How a server that is up misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misbehavior {
    /// Answers with an error at once.
    Fails,
    /// Accepts everything and answers nothing.
    Hangs,
    /// Accepts the request and never answers it, while others are answered.
    Loses,
    /// Refuses it unprocessed.
    TurnsAway,
    /// Resets the connection.
    Resets,
    /// Sends half of the response.
    Half,
    /// Sends noise.
    Spoils,
    /// Sends an interim response first.
    Interim,
}

/// A misbehavior, its time, and the share of the attempts that it affects.
#[derive(Clone, Debug)]
pub struct MisbehaviorSpan {
    /// When.
    pub span: Range<Micros>,
    /// Which.
    pub misbehavior: Misbehavior,
    /// From 0 to 1.
    pub share: f64,
}

/// One process of a server, from its start to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Incarnation {
    /// 0: since long ago, and past its slow start.
    pub started: Micros,
    /// When it ends; `Micros::MAX` if it does not.
    pub ended: Micros,
    /// How the server can be reached from then on, until the next one starts.
    pub after: Reachability,
}

/// What happens to one server.
#[derive(Clone, Debug, Default)]
pub struct ServerTimeline {
    /// Its processes, one after the other.
    pub incarnations: Vec<Incarnation>,
    /// How fast it works.
    pub speed: SpeedProfile,
    /// When it misbehaves.
    pub misbehaviors: Vec<MisbehaviorSpan>,
    /// Moments at which all that it caches is dropped.
    pub purges: Vec<Micros>,
}

/// The status of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// In service.
    Ready,
    /// About to end.
    Draining,
    /// Ended.
    Gone,
}

impl EndpointStatus {
    /// As the platform's list has it.
    pub fn wire_name(self) -> &'static str {
        match self {
            EndpointStatus::Ready => "SERVING",
            EndpointStatus::Draining => "DRAINING",
            EndpointStatus::Gone => "DELETED",
        }
    }
}

/// A change of a server's entry in the list, and when the list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// When the list shows it.
    pub published: Micros,
    /// Of which server.
    pub server: usize,
    /// Its status from then on.
    pub status: EndpointStatus,
    /// When its process started, where it is ready.
    pub started: Micros,
}

/// The list is down.
#[derive(Clone, Debug)]
pub struct ListOutage {
    /// When.
    pub span: Range<Micros>,
    /// In which way.
    pub outage: Outage,
}

/// The origin fails a share of what it gets.
#[derive(Clone, Debug)]
pub struct OriginFailure {
    /// When.
    pub span: Range<Micros>,
    /// From 0 to 1.
    pub share: f64,
}

/// A zone is cut off from the others.
#[derive(Clone, Debug)]
pub struct ZoneCut {
    /// When.
    pub span: Range<Micros>,
    /// Which, by number.
    pub zone: usize,
}

impl ZoneCut {
    /// Whether it cuts the link between two zones.
    fn is_between(&self, one: usize, other: usize) -> bool {
        one != other && (self.zone == one || self.zone == other)
    }
}

/// What happens to everything but the proxies.
#[derive(Clone, Debug, Default)]
pub struct Timelines {
    /// To each server.
    pub servers: Vec<ServerTimeline>,
    /// How fast the origin works.
    pub origin: SpeedProfile,
    /// When it fails, at once, a share of what it gets.
    pub origin_failures: Vec<OriginFailure>,
    /// When zones are cut off.
    pub zone_cuts: Vec<ZoneCut>,
    /// Changes of the list, in order of time.
    pub updates: Vec<ListUpdate>,
    /// When the list is down.
    pub list_down: Vec<ListOutage>,
    /// When it answers with an earlier state.
    pub list_old: Vec<Range<Micros>>,
    /// Moments at which the calls that wait there fall silent.
    pub list_silences: Vec<Micros>,
}

impl ServerTimeline {
    /// The process that runs at a moment, by its index, or how the server can be reached without one.
    pub fn at(&self, now: Micros) -> Result<usize, Reachability> {
        let started = |incarnation: &Incarnation| incarnation.started <= now;
        let i = self.incarnations.iter().rposition(started).unwrap_or(0);
        let incarnation = &self.incarnations[i];
        if now < incarnation.ended { Ok(i) } else { Err(incarnation.after) }
    }
}

impl Timelines {
    /// Whether the origin fails what comes now, by its luck from 0 to 1.
    pub fn origin_fails(&self, now: Micros, luck: f64) -> bool {
        self.origin_failures.iter().any(|failure| failure.span.contains(&now) && luck < failure.share)
    }

    /// Whether the link between two zones is cut.
    fn is_cut(&self, one: usize, other: usize, now: Micros) -> bool {
        self.zone_cuts.iter().any(|cut| cut.span.contains(&now) && cut.is_between(one, other))
    }

    /// Whether a server in one zone can be reached by a proxy in another, from that moment until the one that is returned.
    pub fn reachability(&self, server: usize, zones: (usize, usize), now: Micros) -> (Reachability, Micros) {
        let timeline = &self.servers[server];
        let reachability = match timeline.at(now) {
            Ok(_) if self.is_cut(zones.0, zones.1, now) => Reachability::Silent,
            Ok(_) => Reachability::Up,
            Err(reachability) => reachability,
        };
        let own = timeline.incarnations.iter().flat_map(|process| [process.started, process.ended]);
        let next = own.chain(self.cut_transitions(zones.0, zones.1)).filter(|at| *at > now).min();
        (reachability, next.unwrap_or(Micros::MAX))
    }

    /// When the link between two zones is cut or comes back.
    fn cut_transitions(&self, one: usize, other: usize) -> impl Iterator<Item = Micros> + '_ {
        let cuts = self.zone_cuts.iter().filter(move |cut| cut.is_between(one, other));
        cuts.flat_map(|cut| [cut.span.start, cut.span.end])
    }

    /// In which way the list is down at a moment, if it is.
    pub fn list_outage(&self, now: Micros) -> Option<Outage> {
        self.list_down.iter().find(|down| down.span.contains(&now)).map(|down| down.outage)
    }

    /// Like `reachability`, for the origin or the list, which stand in the first zone.
    pub fn origin_reachability(&self, zone: usize, now: Micros) -> (Reachability, Micros) {
        self.zone_reachability(0, zone, now)
    }

    /// Like `reachability`, for what stands in one zone and is called from another, and is never down itself.
    pub fn zone_reachability(&self, stands_in: usize, zone: usize, now: Micros) -> (Reachability, Micros) {
        let is_cut = self.is_cut(stands_in, zone, now);
        let reachability = if is_cut { Reachability::Silent } else { Reachability::Up };
        let next = self.cut_transitions(stands_in, zone).filter(|at| *at > now).min();
        (reachability, next.unwrap_or(Micros::MAX))
    }
}
