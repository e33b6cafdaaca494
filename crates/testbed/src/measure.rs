//! Figures of a run, and their course over time, from what the judge gathered.

use crate::clock::{MILLI, Micros, SECOND, micros, seconds};
use crate::evidence::Id;
use crate::experiment::Experiment;
use crate::fleet::Sample;
use crate::model::server::Reply;
use crate::oracle::{Outcome, RequestRecord, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;

/// The windows of which the worst is told.
const WINDOW: Micros = 5 * SECOND;
/// A window with fewer first requests says little.
const MIN_WINDOW_REQUESTS: usize = 20;

#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassFigures {
    pub name: String,
    #[serde(rename = "first_lookups")]
    pub first_requests: usize,
    /// The part resolved within the target time.
    pub in_time: f64,
    /// Of what was resolved, from the moment it was due, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p99_9_ms: f64,
}

/// From the first fault's beginning to the last one's end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DuringFaults {
    pub in_time: f64,
    /// All tries of a client together.
    #[serde(rename = "lookups_per_first")]
    pub requests_per_first: f64,
    #[serde(rename = "cache_shots_per_first")]
    pub server_attempts_per_first: f64,
    #[serde(rename = "origin_shots_per_first")]
    pub origin_attempts_per_first: f64,
    /// Seconds from the end until the part in time is as before the beginning; `None` if the run ended first.
    #[serde(rename = "back_s")]
    pub recovered_s: Option<f64>,
}

/// As before: within so much of the part in time before, for so many seconds in a row.
const RECOVERED_WITHIN: f64 = 0.02;
const RECOVERED_SECONDS: usize = 3;

impl DuringFaults {
    fn of(experiment: &Experiment, verdict: &Verdict, firsts: &[FirstRequest]) -> Option<DuringFaults> {
        let spans = || experiment.faults.iter().map(|t| t.get_ref().span());
        let (from, to) = (spans().map(|s| s.start).min()?, spans().map(|s| s.end).max()?);
        if to > micros(experiment.seconds) {
            return None;
        }
        let within = |at: Micros| (from..to).contains(&at);
        let part = |from: Micros, to: Micros| {
            let own = || firsts.iter().filter(|f| (from..to).contains(&f.record.request.due));
            share(own().filter(|f| f.in_time(experiment)).count(), own().count())
        };
        let first = firsts.iter().filter(|f| within(f.record.request.due)).count();
        let attempts = |at_origin: bool| {
            let all = verdict.records.iter().flat_map(|c| &c.attempts).filter(|s| within(s.started));
            all.filter(|s| (usize::from(s.server) == experiment.world.servers) == at_origin).count()
        };
        let requests = verdict
            .records
            .iter()
            .filter(|c| within(c.request.due) && c.outcome != Outcome::NotAccepted)
            .count();
        let before = part(0, from);
        let seconds_after = (micros(experiment.seconds) - to) / SECOND;
        let good: Vec<bool> = (0..seconds_after)
            .map(|s| part(to + s * SECOND, to + (s + 1) * SECOND) >= before - RECOVERED_WITHIN)
            .collect();
        Some(DuringFaults {
            in_time: part(from, to),
            requests_per_first: share(requests, first),
            server_attempts_per_first: share(attempts(false), first),
            origin_attempts_per_first: share(attempts(true), first),
            recovered_s: good.windows(RECOVERED_SECONDS).position(|w| w.iter().all(|g| *g)).map(|s| s as f64),
        })
    }
}

/// How many redirections a request met.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Redirections {
    #[serde(rename = "per_lookup")]
    pub per_request: f64,
    /// Of requests from two seconds after the last fault on.
    #[serde(rename = "settled_lookups")]
    pub settled_requests: usize,
    #[serde(rename = "settled_per_lookup")]
    pub settled_per_request: f64,
}

impl Redirections {
    fn of(experiment: &Experiment, verdict: &Verdict) -> Option<Redirections> {
        let ends = experiment.faults.iter().map(|t| t.get_ref().span().end).filter(|end| *end < Micros::MAX);
        let settled = ends.max().unwrap_or(0) + 2 * SECOND;
        let part = |from: Micros| {
            let own = || {
                verdict.records.iter().filter(|c| c.request.due >= from && c.outcome != Outcome::NotAccepted)
            };
            let met = own()
                .flat_map(|c| &c.attempts)
                .filter(|s| s.reply.is_some_and(|(_, reply)| reply == Reply::Miss));
            (own().count(), share(met.count(), own().count()))
        };
        let (settled_requests, settled_per_request) = part(settled);
        (experiment.fleet.protocol == crate::experiment::PROTOCOL_RESP).then(|| Redirections {
            per_request: part(0).1,
            settled_requests,
            settled_per_request,
        })
    }
}

/// What etcd was asked, and how long proxies were without a watch each time that they lost it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EtcdFigures {
    #[serde(rename = "calls_a_second")]
    pub calls_per_second: f64,
    #[serde(rename = "lost")]
    pub watches_lost: usize,
    #[serde(rename = "back_p50_ms")]
    pub recovery_p50_ms: f64,
    #[serde(rename = "back_p99_ms")]
    pub recovery_p99_ms: f64,
    #[serde(rename = "back_longest_ms")]
    pub recovery_max_ms: f64,
}

impl EtcdFigures {
    pub fn of(experiment: &Experiment, load: &crate::stand::etcd::EtcdLoad) -> Option<EtcdFigures> {
        let mut latency = histogram();
        load.recovery_times.iter().for_each(|at| _ = latency.record(*at));
        (experiment.fleet.source == crate::experiment::SOURCE_ETCD).then(|| EtcdFigures {
            calls_per_second: load.calls as f64 / experiment.seconds,
            watches_lost: load.recovery_times.len(),
            recovery_p50_ms: ms(&latency, 0.5),
            recovery_p99_ms: ms(&latency, 0.99),
            recovery_max_ms: latency.max() as f64 / MILLI as f64,
        })
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct DrainFigures {
    #[serde(rename = "told")]
    pub notified: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    #[serde(rename = "longest_ms")]
    pub max_ms: f64,
}

impl DrainFigures {
    fn of(verdict: &Verdict) -> DrainFigures {
        let mut latency = histogram();
        verdict.drains.iter().for_each(|d| _ = latency.record(d.last - d.notified));
        let longest = latency.max() as f64 / MILLI as f64;
        DrainFigures {
            notified: verdict.drains.len(),
            p50_ms: ms(&latency, 0.5),
            p99_ms: ms(&latency, 0.99),
            max_ms: longest,
        }
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub title: String,
    pub seed: u64,
    pub proxies: usize,
    /// With clients' further tries.
    #[serde(rename = "lookups")]
    pub requests: usize,
    #[serde(rename = "first_lookups")]
    pub first_requests: usize,
    #[serde(rename = "resolved")]
    pub served: usize,
    #[serde(rename = "deferred")]
    pub rejected: usize,
    #[serde(rename = "abandoned")]
    pub failed: usize,
    #[serde(rename = "turned_down")]
    pub invalid: usize,
    pub unanswered: usize,
    /// At a proxy that was killed outright, and told by the connection's end.
    pub killed: usize,
    #[serde(rename = "left")]
    pub cancelled: usize,
    #[serde(rename = "not_taken")]
    pub not_accepted: usize,
    #[serde(rename = "shots")]
    pub attempts: usize,
    #[serde(rename = "shots_per_lookup")]
    pub attempts_per_request: f64,
    #[serde(rename = "origin_shots")]
    pub origin_attempts: usize,
    #[serde(rename = "crossing_shots")]
    pub cross_zone_attempts: usize,
    /// Of the attempts at servers, the part that the busiest got.
    pub busiest_share: f64,
    pub in_time: f64,
    pub worst_window: f64,
    /// Where faults have an end: what was done meanwhile, and how long it went on after.
    #[serde(rename = "trouble")]
    pub fault: Option<DuringFaults>,
    /// From when a proxy was told that a server is off to its last new attempt there.
    pub drains: DrainFigures,
    /// Where servers redirect.
    #[serde(rename = "redirected")]
    pub redirections: Option<Redirections>,
    /// Where the list comes from etcd.
    pub etcd: Option<EtcdFigures>,
    #[serde(rename = "by_namespace")]
    pub by_class: Vec<ClassFigures>,
    pub by_tenant: Vec<ClassFigures>,
    #[serde(rename = "fallen")]
    pub collapsed: usize,
    pub breaches: Vec<String>,
    pub breaches_in_all: usize,
    #[serde(rename = "cpu_us_per_lookup")]
    pub cpu_us_per_request: f64,
    pub memory_mb_peak: f64,
    /// How late the testbed itself sent what was due, at the 99th percentile, in milliseconds.
    #[serde(rename = "lab_late_p99_ms")]
    pub send_delay_p99_ms: f64,
    pub connects_refused: u64,
    pub sent_again: u64,
}

/// What the testbed's own clients counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    pub send_delay_p99: Micros,
    pub connects_refused: u64,
    pub sent_again: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

fn ms(of: &Histogram<u64>, part: f64) -> f64 {
    of.value_at_quantile(part) as f64 / MILLI as f64
}

pub fn share(part: usize, of: usize) -> f64 {
    if of == 0 { 0.0 } else { part as f64 / of as f64 }
}

/// A first request and what came of all its tries: when it was resolved, if it was.
struct FirstRequest<'a> {
    record: &'a RequestRecord,
    served: Option<Micros>,
    cancelled: bool,
}

fn firsts(records: &[RequestRecord]) -> Vec<FirstRequest<'_>> {
    let mut at: HashMap<Id, usize> = HashMap::new();
    let mut firsts: Vec<FirstRequest> = Vec::new();
    for record in records {
        let i = *at.entry(record.request.first).or_insert_with(|| {
            firsts.push(FirstRequest { record, served: None, cancelled: false });
            firsts.len() - 1
        });
        let served = record.answers.first().filter(|_| record.outcome == Outcome::Served);
        firsts[i].served = firsts[i].served.or(served.map(|(at, ..)| *at));
        firsts[i].cancelled |= record.outcome == Outcome::Cancelled;
    }
    firsts.retain(|f| !f.cancelled);
    firsts
}

impl FirstRequest<'_> {
    fn in_time(&self, experiment: &Experiment) -> bool {
        let target = micros(experiment.classes[self.record.request.class].target_ms / 1e3);
        self.served.is_some_and(|at| at <= self.record.request.due + target)
    }
}

/// The figures by one kind of part: request classes or tenants.
fn parts<'a>(
    experiment: &Experiment,
    verdict: &Verdict,
    firsts: &[FirstRequest],
    names: impl Iterator<Item = &'a String>,
    of: impl Fn(&RequestRecord) -> usize,
) -> Vec<ClassFigures> {
    let part = |(i, name): (usize, &String)| {
        let own: Vec<&FirstRequest> = firsts.iter().filter(|f| of(f.record) == i).collect();
        let mut latency = histogram();
        for record in verdict.records.iter().filter(|c| of(c) == i && c.outcome == Outcome::Served) {
            let at = record.answers.first().map_or(0, |(at, ..)| *at);
            _ = latency.record(at.saturating_sub(record.request.due));
        }
        let in_time = own.iter().filter(|f| f.in_time(experiment)).count();
        ClassFigures {
            name: name.clone(),
            first_requests: own.len(),
            in_time: share(in_time, own.len()),
            p50_ms: ms(&latency, 0.5),
            p99_ms: ms(&latency, 0.99),
            p99_9_ms: ms(&latency, 0.999),
        }
    };
    names.enumerate().map(part).collect()
}

impl Figures {
    pub fn of(
        experiment: &Experiment,
        verdict: &Verdict,
        samples: &[Sample],
        clients: ClientCounts,
    ) -> Figures {
        let firsts = firsts(&verdict.records);
        let count = |outcome: Outcome| verdict.records.iter().filter(|c| c.outcome == outcome).count();
        let attempts: Vec<_> = verdict.records.iter().flat_map(|c| &c.attempts).collect();
        let origin = experiment.world.servers;
        let zones = experiment.world.zones.len();
        let mut by_server = vec![0; origin + 1];
        attempts.iter().for_each(|s| by_server[usize::from(s.server)] += 1);
        let zone = |server: u16| if usize::from(server) == origin { 0 } else { usize::from(server) % zones };
        let at_servers: usize = by_server[..origin].iter().sum();
        let mut windows: HashMap<Micros, (usize, usize)> = HashMap::new();
        for first in &firsts {
            let window = windows.entry(first.record.request.due / WINDOW).or_default();
            window.0 += 1;
            window.1 += usize::from(first.in_time(experiment));
        }
        let full = windows.values().filter(|(all, _)| *all >= MIN_WINDOW_REQUESTS);
        let worst = full.map(|(all, good)| share(*good, *all)).fold(1.0, f64::min);
        let in_time = firsts.iter().filter(|f| f.in_time(experiment)).count();
        let answered = verdict.records.iter().filter(|c| !c.answers.is_empty()).count();
        let cpu: u64 = (0..experiment.fleet.proxies)
            .map(|p| {
                let own = || samples.iter().filter(move |s| s.proxy == p);
                let before = own().find(|s| s.at > 0).map_or(0, |s| s.cpu_us);
                own().next_back().map_or(0, |s| s.cpu_us).saturating_sub(before)
            })
            .sum();
        let (classes, tenants) = (&experiment.classes, &experiment.load.tenants);
        Figures {
            title: experiment.title.clone(),
            seed: experiment.seed,
            proxies: experiment.fleet.proxies,
            requests: verdict.records.len(),
            first_requests: firsts.len(),
            served: count(Outcome::Served),
            rejected: count(Outcome::Rejected),
            failed: count(Outcome::Failed),
            invalid: count(Outcome::InvalidRequest),
            unanswered: count(Outcome::Unanswered),
            killed: count(Outcome::Killed),
            cancelled: count(Outcome::Cancelled),
            not_accepted: count(Outcome::NotAccepted),
            attempts: attempts.len(),
            attempts_per_request: share(attempts.len(), answered),
            origin_attempts: by_server[origin],
            cross_zone_attempts: attempts
                .iter()
                .filter(|s| zone(s.server) != usize::from(s.proxy) % zones)
                .count(),
            busiest_share: share(by_server[..origin].iter().copied().max().unwrap_or(0), at_servers),
            in_time: share(in_time, firsts.len()),
            worst_window: worst,
            fault: DuringFaults::of(experiment, verdict, &firsts),
            drains: DrainFigures::of(verdict),
            redirections: Redirections::of(experiment, verdict),
            etcd: None,
            by_class: parts(experiment, verdict, &firsts, classes.iter().map(|n| &n.name), |c| {
                c.request.class
            }),
            by_tenant: parts(experiment, verdict, &firsts, tenants.iter().map(|t| &t.name), |c| {
                c.request.tenant
            }),
            collapsed: verdict.collapsed,
            breaches: verdict.breaches.iter().map(|b| b.to_string()).collect(),
            breaches_in_all: verdict.breaches.len() + verdict.uncounted,
            cpu_us_per_request: cpu as f64 / answered.max(1) as f64,
            memory_mb_peak: samples.iter().map(|s| s.memory_kb).max().unwrap_or(0) as f64 / 1024.0,
            send_delay_p99_ms: clients.send_delay_p99 as f64 / MILLI as f64,
            connects_refused: clients.connects_refused,
            sent_again: clients.sent_again,
        }
    }

    /// Which of the experiment's own bounds do not hold, each as a plain sentence.
    pub fn out_of_bounds(&self, experiment: &Experiment) -> Vec<String> {
        let b = &experiment.bounds;
        let part = |n: usize| share(n, self.requests);
        let at_least =
            [("in_time", b.in_time, self.in_time), ("worst_window", b.worst_window, self.worst_window)];
        let at_most = [
            ("deferred", b.rejected, part(self.rejected)),
            ("abandoned", b.failed, part(self.failed)),
            ("shots_per_lookup", b.attempts_per_request, self.attempts_per_request),
            ("memory_mb", b.memory_mb, self.memory_mb_peak),
            ("drain_ms", b.drain_ms, self.drains.max_ms),
            ("killed_per_thousand", b.killed_per_thousand, 1000.0 * part(self.killed)),
        ];
        let under = at_least.iter().filter_map(|(name, bound, is)| {
            bound
                .filter(|bound| is < bound)
                .map(|bound| format!("{name} is {is:.3}, and {bound} at the least was stated"))
        });
        let over = at_most.iter().filter_map(|(name, bound, is)| {
            bound
                .filter(|bound| is > bound)
                .map(|bound| format!("{name} is {is:.3}, and {bound} at the most was stated"))
        });
        under.chain(over).collect()
    }
}

impl std::fmt::Display for crate::oracle::Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let at = seconds(self.at);
        write!(f, "{}: {:.3} s, lookup {:016x}, proxy {}: {}", self.rule, at, self.id, self.proxy, self.seen)
    }
}

/// One step of the course over time.
#[derive(Clone, Debug, Default)]
pub struct TimeStep {
    pub first: usize,
    pub in_time: usize,
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    pub attempts: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// By server, the origin last.
    pub in_flight: Vec<usize>,
    /// By proxy: the part of a core.
    pub cpu: Vec<f64>,
    pub memory_mb: Vec<f64>,
}

/// Half a second: some dozens of requests at the usual loads.
pub const TIME_STEP: Micros = SECOND / 2;

/// The course of a run in steps of half a second.
pub fn over_time(experiment: &Experiment, verdict: &Verdict, samples: &[Sample]) -> Vec<TimeStep> {
    let count = (experiment.ends_at() / TIME_STEP + 1) as usize;
    let (servers, proxies) = (experiment.world.servers + 1, experiment.fleet.proxies);
    let empty = TimeStep {
        in_flight: vec![0; servers],
        cpu: vec![0.0; proxies],
        memory_mb: vec![0.0; proxies],
        ..TimeStep::default()
    };
    let mut steps = vec![empty; count];
    let index = |at: Micros| ((at / TIME_STEP) as usize).min(count - 1);
    for first in firsts(&verdict.records) {
        let step = &mut steps[index(first.record.request.due)];
        step.first += 1;
        step.in_time += usize::from(first.in_time(experiment));
    }
    let mut latency: Vec<Histogram<u64>> = (0..count).map(|_| histogram()).collect();
    for record in &verdict.records {
        let i = index(record.request.due);
        match record.outcome {
            Outcome::Served => {
                steps[i].served += 1;
                let at = record.answers.first().map_or(0, |(at, ..)| *at);
                _ = latency[i].record(at.saturating_sub(record.request.due));
            }
            Outcome::Rejected => steps[i].rejected += 1,
            Outcome::Failed | Outcome::Unanswered | Outcome::Killed | Outcome::NotAccepted => {
                steps[i].failed += 1
            }
            _ => {}
        }
        for attempt in &record.attempts {
            steps[index(attempt.started)].attempts += 1;
            let end = attempt.end().unwrap_or(attempt.started + record.request.limit);
            // In flight where a step ends.
            (index(attempt.started)..index(end))
                .for_each(|s| steps[s].in_flight[usize::from(attempt.server)] += 1);
        }
    }
    for (step, latency) in steps.iter_mut().zip(&latency) {
        (step.p50_ms, step.p99_ms) = (ms(latency, 0.5), ms(latency, 0.99));
    }
    for proxy in 0..proxies {
        let own: Vec<&Sample> = samples.iter().filter(|s| s.proxy == proxy).collect();
        for pair in own.windows(2) {
            let (a, b) = (pair[0], pair[1]);
            let step = &mut steps[index(b.at)];
            step.memory_mb[proxy] = step.memory_mb[proxy].max(b.memory_kb as f64 / 1024.0);
            step.cpu[proxy] += b.cpu_us.saturating_sub(a.cpu_us) as f64 / TIME_STEP as f64;
        }
    }
    steps
}
