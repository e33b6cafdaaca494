//! Derives the timelines from an experiment's faults.

use super::{
    EndpointStatus, Incarnation, ListOutage, ListUpdate, Misbehavior, MisbehaviorSpan, OriginFailure,
    Reachability, ServerTimeline, Timelines, ZoneCut,
};
use crate::clock::{Micros, SECOND, micros_from_seconds};
use crate::experiment::{Experiment, Fault, FaultKind};
use std::ops::Range;

/// Time until the discovery service detects with its own health checks that a machine is gone:
/// the time of several checks, and one second more.
const DETECTION_DELAY: Micros = 2 * SECOND;
/// Fallback for a duration that a kind of fault requires; the experiment's check has already
/// rejected a fault without it.
const DEFAULT_SECONDS: f64 = 1.0;

/// A duration of a fault that its kind requires.
fn required_duration(seconds: Option<f64>) -> Micros {
    micros_from_seconds(seconds.unwrap_or(DEFAULT_SECONDS))
}

fn misbehavior(kind: FaultKind) -> Option<Misbehavior> {
    Some(match kind {
        FaultKind::Fails => Misbehavior::Fails,
        FaultKind::Hangs => Misbehavior::Hangs,
        FaultKind::Loses => Misbehavior::DropsRequests,
        FaultKind::TurnsAway => Misbehavior::Rejects,
        FaultKind::Resets => Misbehavior::Resets,
        FaultKind::HalfAnswers => Misbehavior::Truncates,
        FaultKind::Spoils => Misbehavior::SendsGarbage,
        FaultKind::Interim => Misbehavior::Interim,
        _ => return None,
    })
}

impl ServerTimeline {
    /// A single process that started before the run and does not end.
    fn new() -> ServerTimeline {
        let initial_process =
            Incarnation { started_at: 0, ended_at: Micros::MAX, reachability_after: Reachability::Refused };
        ServerTimeline { incarnations: vec![initial_process], ..ServerTimeline::default() }
    }

    /// Ends the process that runs at the given time. The next one starts when the server returns.
    fn end_process(&mut self, at: Micros, reachability_after: Reachability, returns_at: Micros) {
        let running = self.incarnations.last_mut();
        if let Some(running) = running.filter(|process| process.started_at <= at && at < process.ended_at) {
            running.ended_at = at;
            running.reachability_after = reachability_after;
            let next = Incarnation {
                started_at: returns_at,
                ended_at: Micros::MAX,
                reachability_after: Reachability::Refused,
            };
            self.incarnations.push(next);
        }
    }
}

/// A span in which the list publishes changes late.
struct ListDelay {
    span: Range<Micros>,
    delay: Micros,
}

struct Builder<'a> {
    experiment: &'a Experiment,
    timelines: Timelines,
    /// Time from a change until the list publishes it.
    list_delay: Micros,
    list_delays: Vec<ListDelay>,
}

impl Timelines {
    /// Computes the timelines of an experiment.
    pub fn new(experiment: &Experiment) -> Timelines {
        let world = &experiment.world;
        let servers = (0..world.servers).map(|_| ServerTimeline::new()).collect();
        let mut builder = Builder {
            experiment,
            timelines: Timelines { servers, ..Timelines::default() },
            list_delay: micros_from_seconds(world.list_delay_s),
            list_delays: Vec::new(),
        };
        let mut faults: Vec<&Fault> = experiment.faults_in_order().collect();
        faults.sort_by_key(|fault| micros_from_seconds(fault.at));
        for fault in faults {
            builder.apply(fault);
        }
        builder.finish()
    }
}

impl Builder<'_> {
    fn apply(&mut self, fault: &Fault) {
        if let Some(misbehavior) = misbehavior(fault.kind) {
            self.add_misbehavior(fault, misbehavior);
            return;
        }
        let span = fault.active_time();
        match fault.kind {
            FaultKind::StandsStill => self.scale_speed(fault, 0.0),
            FaultKind::Slow => self.scale_speed(fault, 1.0 / fault.factor.unwrap_or(1.0)),
            FaultKind::Vanishes | FaultKind::ZoneLost => {
                let gone_delay = self.list_delay + DETECTION_DELAY;
                for server in self.experiment.target_servers(fault) {
                    self.take_down(server, Reachability::Silent, span.clone(), gone_delay);
                }
            }
            FaultKind::Failover => self.apply_failover(fault),
            FaultKind::Restarts => {
                let returns_at = span.start + required_duration(fault.down);
                for server in self.experiment.target_servers(fault) {
                    self.take_down(server, Reachability::Refused, span.start..returns_at, self.list_delay);
                }
            }
            FaultKind::RollingDeploy => self.apply_rolling_deploy(fault),
            FaultKind::CopiesVoid => {
                for server in self.experiment.target_servers(fault) {
                    self.timelines.servers[server].purges.push(span.start);
                }
            }
            _ => self.apply_to_other_parts(fault),
        }
    }

    /// Applies faults of the origin, the links and the list.
    fn apply_to_other_parts(&mut self, fault: &Fault) {
        let timelines = &mut self.timelines;
        let span = fault.active_time();
        match fault.kind {
            FaultKind::OriginSlow => timelines.origin.scale(span, 1.0 / fault.factor.unwrap_or(1.0)),
            FaultKind::OriginFails => {
                let share = fault.share.unwrap_or(1.0);
                timelines.origin_failures.push(OriginFailure { span, share });
            }
            FaultKind::ZoneCut => {
                let zone_index =
                    |zone: &String| self.experiment.world.zones.iter().position(|name| name == zone);
                let zone = fault.zone.as_ref().and_then(zone_index);
                timelines.zone_cuts.extend(zone.map(|zone| ZoneCut { span, zone }));
            }
            FaultKind::ListDown => {
                let outage = fault.outage.unwrap_or_default();
                timelines.list_outages.push(ListOutage { span, outage });
            }
            FaultKind::ListOld => timelines.stale_list_spans.push(span),
            FaultKind::ListSilent => timelines.list_silences.push(span.start),
            FaultKind::ListLate => {
                self.list_delays
                    .push(ListDelay { span, delay: micros_from_seconds(fault.by.unwrap_or(0.0)) });
            }
            // Faults of proxies, etcd and hash slots are in other timelines.
            _ => {}
        }
    }

    fn add_misbehavior(&mut self, fault: &Fault, misbehavior: Misbehavior) {
        let share = fault.share.unwrap_or(1.0);
        for server in self.experiment.target_servers(fault) {
            let span = MisbehaviorSpan { span: fault.active_time(), misbehavior, share };
            self.timelines.servers[server].misbehaviors.push(span);
        }
    }

    fn scale_speed(&mut self, fault: &Fault, factor: f64) {
        for server in self.experiment.target_servers(fault) {
            self.timelines.servers[server].speed.scale(fault.active_time(), factor);
        }
    }

    /// The list does not publish a failover: which replica takes over is known only to the servers.
    fn apply_failover(&mut self, fault: &Fault) {
        let start = fault.active_time().start;
        let returns_at = start + required_duration(fault.down);
        for server in self.experiment.target_servers(fault) {
            self.timelines.servers[server].end_process(start, Reachability::Refused, returns_at);
        }
    }

    fn apply_rolling_deploy(&mut self, fault: &Fault) {
        let interval = required_duration(fault.every);
        for (i, server) in self.experiment.target_servers(fault).into_iter().enumerate() {
            let drain_start = fault.active_time().start + interval * i as Micros;
            let end = drain_start + required_duration(fault.drain);
            let returns_at = end + required_duration(fault.down);
            self.publish(drain_start + self.list_delay, server, EndpointStatus::Draining, 0);
            self.take_down(server, Reachability::Refused, end..returns_at, self.list_delay);
        }
    }

    fn publish(&mut self, published_at: Micros, server: usize, status: EndpointStatus, started_at: Micros) {
        self.timelines.list_updates.push(ListUpdate { published_at, server, status, started_at });
    }

    /// Takes a server down for a span, after which it returns in slow start. The list publishes
    /// both changes; it publishes the first after `gone_delay`, unless the server has returned by
    /// then.
    fn take_down(
        &mut self,
        server: usize,
        reachability_after: Reachability,
        span: Range<Micros>,
        gone_delay: Micros,
    ) {
        self.timelines.servers[server].end_process(span.start, reachability_after, span.end);
        if span.start + gone_delay < span.end {
            self.publish(span.start + gone_delay, server, EndpointStatus::Gone, 0);
        }
        self.publish(span.end + self.list_delay, server, EndpointStatus::Ready, span.end);
    }

    fn finish(self) -> Timelines {
        let mut timelines = self.timelines;
        for update in &mut timelines.list_updates {
            let delays = self.list_delays.iter().filter(|delay| delay.span.contains(&update.published_at));
            let delay = delays.map(|delay| delay.delay).max();
            update.published_at += delay.unwrap_or(0);
        }
        timelines.list_updates.sort_by_key(|update| (update.published_at, update.server));
        let world = &self.experiment.world;
        for timeline in &mut timelines.servers {
            let starts = timeline.incarnations.iter().map(|process| process.started_at);
            for started_at in starts.filter(|started_at| *started_at > 0) {
                let duration = micros_from_seconds(world.slow_start_s);
                timeline.speed.slow_start(started_at, world.slow_start_share, duration);
            }
        }
        timelines
    }
}
