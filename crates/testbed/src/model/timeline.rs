//! What befalls each server, the origin, the list and the links, worked out from the experiment before it is played.

use crate::clock::{Micros, SECOND, micros};
use crate::experiment::{Experiment, FaultKind, Outage};
use crate::model::speed::SpeedProfile;
use std::ops::Range;

/// How something is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    Up,
    /// The process is gone: its connections are reset, and new ones refused.
    Refused,
    /// The machine, or the link to it, is gone: nothing comes, not even an end.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Misbehavior {
    Fails,
    Hangs,
    /// Takes the request and never answers it, while others are answered.
    Loses,
    TurnsAway,
    Resets,
    Half,
    Spoils,
    Interim,
}

/// One process's life.
#[derive(Clone, Debug, PartialEq)]
pub struct Incarnation {
    /// 0: since long ago, and warm.
    pub started: Micros,
    pub ended: Micros,
    pub after: Reachability,
}

#[derive(Clone, Debug, Default)]
pub struct ServerTimeline {
    pub incarnations: Vec<Incarnation>,
    pub speed: SpeedProfile,
    pub misbehaviors: Vec<(Range<Micros>, Misbehavior, f64)>,
    /// Moments at which all that it holds is void.
    pub purges: Vec<Micros>,
}

/// A change of what the list says of a server, and when it tells.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    pub published: Micros,
    pub server: usize,
    pub state: &'static str,
    pub started: Micros,
}

pub const SERVING: &str = "SERVING";
pub const DRAINING: &str = "DRAINING";
pub const DELETED: &str = "DELETED";

#[derive(Clone, Debug, Default)]
pub struct Timelines {
    pub servers: Vec<ServerTimeline>,
    pub origin: SpeedProfile,
    /// The part of what the origin gets that it fails with, quickly.
    pub origin_failures: Vec<(Range<Micros>, f64)>,
    /// Zones cut off from the others.
    pub zone_cuts: Vec<(Range<Micros>, usize)>,
    pub updates: Vec<ListUpdate>,
    pub list_down: Vec<(Range<Micros>, Outage)>,
    pub list_old: Vec<Range<Micros>>,
    /// Moments at which the calls that wait fall silent.
    pub list_silences: Vec<Micros>,
}

/// The list finds out by its own calls that a machine is gone: some of those and a second more.
const DETECTION_DELAY: Micros = 2 * SECOND;

impl ServerTimeline {
    fn ended(&mut self, at: Micros, after: Reachability, returns: Micros) {
        if let Some(incarnation) = self
            .incarnations
            .last_mut()
            .filter(|incarnation| incarnation.started <= at && at < incarnation.ended)
        {
            (incarnation.ended, incarnation.after) = (at, after);
            self.incarnations.push(Incarnation {
                started: returns,
                ended: Micros::MAX,
                after: Reachability::Refused,
            });
        }
    }

    /// The life that goes on at a moment, if one does, or how it is away.
    pub fn at(&self, now: Micros) -> Result<usize, Reachability> {
        let i = self.incarnations.iter().rposition(|incarnation| incarnation.started <= now).unwrap_or(0);
        if now < self.incarnations[i].ended { Ok(i) } else { Err(self.incarnations[i].after) }
    }
}

impl Timelines {
    pub fn new(experiment: &Experiment) -> Timelines {
        let world = &experiment.world;
        let always = || Incarnation { started: 0, ended: Micros::MAX, after: Reachability::Refused };
        let servers = (0..world.servers)
            .map(|_| ServerTimeline { incarnations: vec![always()], ..ServerTimeline::default() });
        let mut all = Timelines { servers: servers.collect(), ..Timelines::default() };
        let delay = micros(world.list_delay_s);
        let mut faults: Vec<_> = experiment.faults.iter().map(|t| t.get_ref()).collect();
        faults.sort_by_key(|t| micros(t.at));
        let mut delays: Vec<(Range<Micros>, Micros)> = Vec::new();
        for t in faults {
            let (span, targets) = (t.span(), experiment.targets(t));
            let share = t.share.unwrap_or(1.0);
            let misbehavior = match t.kind {
                FaultKind::Fails => Some(Misbehavior::Fails),
                FaultKind::Hangs => Some(Misbehavior::Hangs),
                FaultKind::Loses => Some(Misbehavior::Loses),
                FaultKind::TurnsAway => Some(Misbehavior::TurnsAway),
                FaultKind::Resets => Some(Misbehavior::Resets),
                FaultKind::HalfAnswers => Some(Misbehavior::Half),
                FaultKind::Spoils => Some(Misbehavior::Spoils),
                FaultKind::Interim => Some(Misbehavior::Interim),
                _ => None,
            };
            if let Some(misbehavior) = misbehavior {
                targets
                    .iter()
                    .for_each(|c| all.servers[*c].misbehaviors.push((span.clone(), misbehavior, share)));
                continue;
            }
            let zone = t.zone.as_ref().and_then(|z| world.zones.iter().position(|own| own == z));
            match t.kind {
                FaultKind::StandsStill => {
                    targets.iter().for_each(|c| all.servers[*c].speed.scale(span.clone(), 0.0))
                }
                FaultKind::Slow => {
                    let factor = 1.0 / t.factor.unwrap_or(1.0);
                    targets.iter().for_each(|c| all.servers[*c].speed.scale(span.clone(), factor));
                }
                FaultKind::Vanishes | FaultKind::ZoneLost => {
                    targets.iter().for_each(|c| {
                        all.take_away(*c, Reachability::Silent, span.clone(), delay + DETECTION_DELAY, delay)
                    });
                }
                FaultKind::Failover => {
                    // The list is not told: who took over is the servers' own word.
                    let returns = span.start + micros(t.down.unwrap_or(1.0));
                    targets
                        .iter()
                        .for_each(|c| all.servers[*c].ended(span.start, Reachability::Refused, returns));
                }
                FaultKind::Restarts => {
                    let returns = span.start + micros(t.down.unwrap_or(1.0));
                    targets.iter().for_each(|c| {
                        all.take_away(*c, Reachability::Refused, span.start..returns, delay, delay)
                    });
                }
                FaultKind::RollingDeploy => {
                    for (i, server) in targets.into_iter().enumerate() {
                        let published = span.start + micros(t.every.unwrap_or(1.0)) * i as Micros;
                        let end = published + micros(t.drain.unwrap_or(1.0));
                        let returns = end + micros(t.down.unwrap_or(1.0));
                        all.push_update(published + delay, server, DRAINING, 0);
                        all.take_away(server, Reachability::Refused, end..returns, delay, delay);
                    }
                }
                FaultKind::CopiesVoid => targets.iter().for_each(|c| all.servers[*c].purges.push(span.start)),
                FaultKind::OriginSlow => all.origin.scale(span, 1.0 / t.factor.unwrap_or(1.0)),
                FaultKind::OriginFails => all.origin_failures.push((span, share)),
                FaultKind::ZoneCut => all.zone_cuts.extend(zone.map(|z| (span, z))),
                FaultKind::ListDown => all.list_down.push((span, t.outage.unwrap_or_default())),
                FaultKind::ListOld => all.list_old.push(span),
                FaultKind::ListSilent => all.list_silences.push(span.start),
                FaultKind::ListLate => delays.push((span, micros(t.by.unwrap_or(0.0)))),
                // Proxies are not of this world: the fleet sees to them.
                _ => {}
            }
        }
        for update in &mut all.updates {
            let by =
                delays.iter().filter(|(span, _)| span.contains(&update.published)).map(|(_, by)| by).max();
            update.published += by.copied().unwrap_or(0);
        }
        all.updates.sort_by_key(|n| (n.published, n.server));
        let (cold, lasts) = (world.slow_start_share, micros(world.slow_start_s));
        for timeline in &mut all.servers {
            for started in timeline
                .incarnations
                .iter()
                .map(|incarnation| incarnation.started)
                .filter(|started| *started > 0)
            {
                timeline.speed.slow_start_from(started, cold, lasts);
            }
        }
        all
    }

    fn push_update(&mut self, published: Micros, server: usize, state: &'static str, started: Micros) {
        self.updates.push(ListUpdate { published, server, state, started });
    }

    /// A server is gone for a time, and returns cold; the list tells of both, so much later.
    fn take_away(
        &mut self,
        server: usize,
        how: Reachability,
        span: Range<Micros>,
        gone_delay: Micros,
        return_delay: Micros,
    ) {
        self.servers[server].ended(span.start, how, span.end);
        if span.start + gone_delay < span.end {
            self.push_update(span.start + gone_delay, server, DELETED, 0);
        }
        self.push_update(span.end + return_delay, server, SERVING, span.end);
    }

    /// Whether the origin fails with what comes now, by its luck.
    pub fn origin_fails(&self, now: Micros, luck: f64) -> bool {
        self.origin_failures.iter().any(|(span, share)| span.contains(&now) && luck < *share)
    }

    /// Whether the link between two zones is cut.
    fn is_cut(&self, a: usize, b: usize, now: Micros) -> bool {
        a != b && self.zone_cuts.iter().any(|(span, zone)| span.contains(&now) && (*zone == a || *zone == b))
    }

    /// How a server in one zone stands to a proxy in another, from that moment until the one that is returned.
    pub fn reachability(&self, server: usize, zones: (usize, usize), now: Micros) -> (Reachability, Micros) {
        let timeline = &self.servers[server];
        let own = match timeline.at(now) {
            Ok(_) if self.is_cut(zones.0, zones.1, now) => Reachability::Silent,
            Ok(_) => Reachability::Up,
            Err(how) => how,
        };
        let incarnations =
            timeline.incarnations.iter().flat_map(|incarnation| [incarnation.started, incarnation.ended]);
        let next = incarnations.chain(self.cut_transitions(zones.0, zones.1)).filter(|at| *at > now).min();
        (own, next.unwrap_or(Micros::MAX))
    }

    fn cut_transitions(&self, a: usize, b: usize) -> impl Iterator<Item = Micros> + '_ {
        let between = move |(_, zone): &&(Range<Micros>, usize)| a != b && (*zone == a || *zone == b);
        self.zone_cuts.iter().filter(between).flat_map(|(span, _)| [span.start, span.end])
    }

    /// Until when, and how, the list is down at a moment.
    pub fn list_outage(&self, now: Micros) -> Option<(Micros, Outage)> {
        self.list_down.iter().find(|(span, _)| span.contains(&now)).map(|(span, how)| (span.end, *how))
    }

    /// The same for the origin or the list, which stand in the first zone.
    pub fn origin_reachability(&self, zone: usize, now: Micros) -> (Reachability, Micros) {
        self.zone_reachability(0, zone, now)
    }

    /// The same for what stands in one zone and is asked from another.
    pub fn zone_reachability(&self, stands: usize, zone: usize, now: Micros) -> (Reachability, Micros) {
        let reachability =
            if self.is_cut(stands, zone, now) { Reachability::Silent } else { Reachability::Up };
        (reachability, self.cut_transitions(stands, zone).filter(|at| *at > now).min().unwrap_or(Micros::MAX))
    }
}
