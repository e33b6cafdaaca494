//! Figures of a run, and their course over time, from what the judge gathered.

use crate::clock::{MILLI, Micros, SECOND, micros, seconds};
use crate::evidence::Id;
use crate::experiment::Experiment;
use crate::fleet::Sample;
use crate::model::cache::Say;
use crate::oracle::{Course, Outcome, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;

/// The windows of which the worst is told.
const WINDOW: Micros = 5 * SECOND;
/// A window with fewer first lookups says little.
const FEWEST: usize = 20;

#[derive(Clone, Debug, Default, Serialize)]
pub struct OfNamespace {
    pub name: String,
    pub first_lookups: usize,
    /// The part resolved within the target time.
    pub in_time: f64,
    /// Of what was resolved, from the moment it was due, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p99_9_ms: f64,
}

/// From the first trouble's beginning to the last one's end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InTrouble {
    pub in_time: f64,
    /// All tries of a client together.
    pub lookups_per_first: f64,
    pub cache_shots_per_first: f64,
    pub origin_shots_per_first: f64,
    /// Seconds from the end until the part in time is as before the beginning; `None` if the run ended first.
    pub back_s: Option<f64>,
}

/// As before: within so much of the part in time before, for so many seconds in a row.
const AS_BEFORE: f64 = 0.02;
const IN_A_ROW: usize = 3;

impl InTrouble {
    fn of(experiment: &Experiment, verdict: &Verdict, firsts: &[First]) -> Option<InTrouble> {
        let spans = || experiment.troubles.iter().map(|t| t.get_ref().span());
        let (from, to) = (spans().map(|s| s.start).min()?, spans().map(|s| s.end).max()?);
        if to > micros(experiment.seconds) {
            return None;
        }
        let within = |at: Micros| (from..to).contains(&at);
        let part = |from: Micros, to: Micros| {
            let own = || firsts.iter().filter(|f| (from..to).contains(&f.course.ask.due));
            share(own().filter(|f| f.in_time(experiment)).count(), own().count())
        };
        let first = firsts.iter().filter(|f| within(f.course.ask.due)).count();
        let shots = |at_origin: bool| {
            let all = verdict.courses.iter().flat_map(|c| &c.shots).filter(|s| within(s.begun));
            all.filter(|s| (usize::from(s.cache) == experiment.world.caches) == at_origin).count()
        };
        let lookups =
            verdict.courses.iter().filter(|c| within(c.ask.due) && c.outcome != Outcome::NotTaken).count();
        let before = part(0, from);
        let seconds_after = (micros(experiment.seconds) - to) / SECOND;
        let good: Vec<bool> = (0..seconds_after)
            .map(|s| part(to + s * SECOND, to + (s + 1) * SECOND) >= before - AS_BEFORE)
            .collect();
        Some(InTrouble {
            in_time: part(from, to),
            lookups_per_first: share(lookups, first),
            cache_shots_per_first: share(shots(false), first),
            origin_shots_per_first: share(shots(true), first),
            back_s: good.windows(IN_A_ROW).position(|w| w.iter().all(|g| *g)).map(|s| s as f64),
        })
    }
}

/// How many redirections a lookup met.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Redirected {
    pub per_lookup: f64,
    /// Of lookups from two seconds after the last trouble on.
    pub settled_lookups: usize,
    pub settled_per_lookup: f64,
}

impl Redirected {
    fn of(experiment: &Experiment, verdict: &Verdict) -> Option<Redirected> {
        let ends =
            experiment.troubles.iter().map(|t| t.get_ref().span().end).filter(|end| *end < Micros::MAX);
        let settled = ends.max().unwrap_or(0) + 2 * SECOND;
        let part = |from: Micros| {
            let own =
                || verdict.courses.iter().filter(|c| c.ask.due >= from && c.outcome != Outcome::NotTaken);
            let met =
                own().flat_map(|c| &c.shots).filter(|s| s.said.is_some_and(|(_, say)| say == Say::Miss));
            (own().count(), share(met.count(), own().count()))
        };
        let (settled_lookups, settled_per_lookup) = part(settled);
        (experiment.fleet.door == crate::experiment::RESP).then(|| Redirected {
            per_lookup: part(0).1,
            settled_lookups,
            settled_per_lookup,
        })
    }
}

/// What etcd was asked, and how long proxies were without a watch each time that they lost it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OfEtcd {
    pub calls_a_second: f64,
    pub lost: usize,
    pub back_p50_ms: f64,
    pub back_p99_ms: f64,
    pub back_longest_ms: f64,
}

impl OfEtcd {
    pub fn of(experiment: &Experiment, load: &crate::stand::etcd::Load) -> Option<OfEtcd> {
        let mut took = histogram();
        load.back.iter().for_each(|at| _ = took.record(*at));
        (experiment.fleet.source == crate::experiment::ETCD).then(|| OfEtcd {
            calls_a_second: load.calls as f64 / experiment.seconds,
            lost: load.back.len(),
            back_p50_ms: ms(&took, 0.5),
            back_p99_ms: ms(&took, 0.99),
            back_longest_ms: took.max() as f64 / MILLI as f64,
        })
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Drains {
    pub told: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
}

impl Drains {
    fn of(verdict: &Verdict) -> Drains {
        let mut took = histogram();
        verdict.drains.iter().for_each(|d| _ = took.record(d.last - d.told));
        let longest = took.max() as f64 / MILLI as f64;
        Drains {
            told: verdict.drains.len(),
            p50_ms: ms(&took, 0.5),
            p99_ms: ms(&took, 0.99),
            longest_ms: longest,
        }
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub title: String,
    pub seed: u64,
    pub proxies: usize,
    /// With clients' further tries.
    pub lookups: usize,
    pub first_lookups: usize,
    pub resolved: usize,
    pub deferred: usize,
    pub abandoned: usize,
    pub turned_down: usize,
    pub unanswered: usize,
    /// At a proxy that was killed outright, and told by the connection's end.
    pub killed: usize,
    pub left: usize,
    pub not_taken: usize,
    pub shots: usize,
    pub shots_per_lookup: f64,
    pub origin_shots: usize,
    pub crossing_shots: usize,
    /// Of the shots at caches, the part that the busiest got.
    pub busiest_share: f64,
    pub in_time: f64,
    pub worst_window: f64,
    /// Where troubles have an end: what was done meanwhile, and how long it went on after.
    pub trouble: Option<InTrouble>,
    /// From when a proxy was told that a cache is off to its last new shot there.
    pub drains: Drains,
    /// Where servers redirect.
    pub redirected: Option<Redirected>,
    /// Where the list comes from etcd.
    pub etcd: Option<OfEtcd>,
    pub by_namespace: Vec<OfNamespace>,
    pub by_tenant: Vec<OfNamespace>,
    pub fallen: usize,
    pub breaches: Vec<String>,
    pub breaches_in_all: usize,
    pub cpu_us_per_lookup: f64,
    pub memory_mb_peak: f64,
    /// How late the lab itself sent what was due, at the 99th percentile, in milliseconds.
    pub lab_late_p99_ms: f64,
    pub connects_refused: u64,
    pub sent_again: u64,
}

/// What the lab's own clients counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clients {
    pub late_p99: Micros,
    pub refused: u64,
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

/// A first lookup and what came of all its tries: when it was resolved, if it was.
struct First<'a> {
    course: &'a Course,
    resolved: Option<Micros>,
    left: bool,
}

fn firsts(courses: &[Course]) -> Vec<First<'_>> {
    let mut at: HashMap<Id, usize> = HashMap::new();
    let mut firsts: Vec<First> = Vec::new();
    for course in courses {
        let i = *at.entry(course.ask.first).or_insert_with(|| {
            firsts.push(First { course, resolved: None, left: false });
            firsts.len() - 1
        });
        let resolved = course.answers.first().filter(|_| course.outcome == Outcome::Resolved);
        firsts[i].resolved = firsts[i].resolved.or(resolved.map(|(at, ..)| *at));
        firsts[i].left |= course.outcome == Outcome::Left;
    }
    firsts.retain(|f| !f.left);
    firsts
}

impl First<'_> {
    fn in_time(&self, experiment: &Experiment) -> bool {
        let target = micros(experiment.namespaces[self.course.ask.ns].target_ms / 1e3);
        self.resolved.is_some_and(|at| at <= self.course.ask.due + target)
    }
}

/// The figures by one kind of part: namespaces or tenants.
fn parts<'a>(
    experiment: &Experiment,
    verdict: &Verdict,
    firsts: &[First],
    names: impl Iterator<Item = &'a String>,
    of: impl Fn(&Course) -> usize,
) -> Vec<OfNamespace> {
    let part = |(i, name): (usize, &String)| {
        let own: Vec<&First> = firsts.iter().filter(|f| of(f.course) == i).collect();
        let mut took = histogram();
        for course in verdict.courses.iter().filter(|c| of(c) == i && c.outcome == Outcome::Resolved) {
            let at = course.answers.first().map_or(0, |(at, ..)| *at);
            _ = took.record(at.saturating_sub(course.ask.due));
        }
        let in_time = own.iter().filter(|f| f.in_time(experiment)).count();
        OfNamespace {
            name: name.clone(),
            first_lookups: own.len(),
            in_time: share(in_time, own.len()),
            p50_ms: ms(&took, 0.5),
            p99_ms: ms(&took, 0.99),
            p99_9_ms: ms(&took, 0.999),
        }
    };
    names.enumerate().map(part).collect()
}

impl Figures {
    pub fn of(experiment: &Experiment, verdict: &Verdict, samples: &[Sample], clients: Clients) -> Figures {
        let firsts = firsts(&verdict.courses);
        let count = |outcome: Outcome| verdict.courses.iter().filter(|c| c.outcome == outcome).count();
        let shots: Vec<_> = verdict.courses.iter().flat_map(|c| &c.shots).collect();
        let origin = experiment.world.caches;
        let zones = experiment.world.zones.len();
        let mut by_cache = vec![0; origin + 1];
        shots.iter().for_each(|s| by_cache[usize::from(s.cache)] += 1);
        let zone = |cache: u16| if usize::from(cache) == origin { 0 } else { usize::from(cache) % zones };
        let at_caches: usize = by_cache[..origin].iter().sum();
        let mut windows: HashMap<Micros, (usize, usize)> = HashMap::new();
        for first in &firsts {
            let window = windows.entry(first.course.ask.due / WINDOW).or_default();
            window.0 += 1;
            window.1 += usize::from(first.in_time(experiment));
        }
        let full = windows.values().filter(|(all, _)| *all >= FEWEST);
        let worst = full.map(|(all, good)| share(*good, *all)).fold(1.0, f64::min);
        let in_time = firsts.iter().filter(|f| f.in_time(experiment)).count();
        let answered = verdict.courses.iter().filter(|c| !c.answers.is_empty()).count();
        let cpu: u64 = (0..experiment.fleet.proxies)
            .map(|p| {
                let own = || samples.iter().filter(move |s| s.proxy == p);
                let before = own().find(|s| s.at > 0).map_or(0, |s| s.cpu_us);
                own().next_back().map_or(0, |s| s.cpu_us).saturating_sub(before)
            })
            .sum();
        let (namespaces, tenants) = (&experiment.namespaces, &experiment.load.tenants);
        Figures {
            title: experiment.title.clone(),
            seed: experiment.seed,
            proxies: experiment.fleet.proxies,
            lookups: verdict.courses.len(),
            first_lookups: firsts.len(),
            resolved: count(Outcome::Resolved),
            deferred: count(Outcome::Deferred),
            abandoned: count(Outcome::Abandoned),
            turned_down: count(Outcome::TurnedDown),
            unanswered: count(Outcome::Unanswered),
            killed: count(Outcome::Killed),
            left: count(Outcome::Left),
            not_taken: count(Outcome::NotTaken),
            shots: shots.len(),
            shots_per_lookup: share(shots.len(), answered),
            origin_shots: by_cache[origin],
            crossing_shots: shots.iter().filter(|s| zone(s.cache) != usize::from(s.proxy) % zones).count(),
            busiest_share: share(by_cache[..origin].iter().copied().max().unwrap_or(0), at_caches),
            in_time: share(in_time, firsts.len()),
            worst_window: worst,
            trouble: InTrouble::of(experiment, verdict, &firsts),
            drains: Drains::of(verdict),
            redirected: Redirected::of(experiment, verdict),
            etcd: None,
            by_namespace: parts(experiment, verdict, &firsts, namespaces.iter().map(|n| &n.name), |c| {
                c.ask.ns
            }),
            by_tenant: parts(experiment, verdict, &firsts, tenants.iter().map(|t| &t.name), |c| c.ask.tenant),
            fallen: verdict.fallen,
            breaches: verdict.breaches.iter().map(|b| b.to_string()).collect(),
            breaches_in_all: verdict.breaches.len() + verdict.more,
            cpu_us_per_lookup: cpu as f64 / answered.max(1) as f64,
            memory_mb_peak: samples.iter().map(|s| s.memory_kb).max().unwrap_or(0) as f64 / 1024.0,
            lab_late_p99_ms: clients.late_p99 as f64 / MILLI as f64,
            connects_refused: clients.refused,
            sent_again: clients.sent_again,
        }
    }

    /// Which of the experiment's own bounds do not hold, each as a plain sentence.
    pub fn out_of_bounds(&self, experiment: &Experiment) -> Vec<String> {
        let b = &experiment.bounds;
        let part = |n: usize| share(n, self.lookups);
        let at_least =
            [("in_time", b.in_time, self.in_time), ("worst_window", b.worst_window, self.worst_window)];
        let at_most = [
            ("deferred", b.deferred, part(self.deferred)),
            ("abandoned", b.abandoned, part(self.abandoned)),
            ("shots_per_lookup", b.shots_per_lookup, self.shots_per_lookup),
            ("memory_mb", b.memory_mb, self.memory_mb_peak),
            ("drain_ms", b.drain_ms, self.drains.longest_ms),
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
pub struct Step {
    pub first: usize,
    pub in_time: usize,
    pub resolved: usize,
    pub deferred: usize,
    pub failed: usize,
    pub shots: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// By cache, the origin last.
    pub in_flight: Vec<usize>,
    /// By proxy: the part of a core.
    pub cpu: Vec<f64>,
    pub memory_mb: Vec<f64>,
}

/// Half a second: some dozens of lookups at the usual loads.
pub const STEP: Micros = SECOND / 2;

/// The course of a run in steps of half a second.
pub fn over_time(experiment: &Experiment, verdict: &Verdict, samples: &[Sample]) -> Vec<Step> {
    let count = (experiment.over() / STEP + 1) as usize;
    let (caches, proxies) = (experiment.world.caches + 1, experiment.fleet.proxies);
    let empty = Step {
        in_flight: vec![0; caches],
        cpu: vec![0.0; proxies],
        memory_mb: vec![0.0; proxies],
        ..Step::default()
    };
    let mut steps = vec![empty; count];
    let index = |at: Micros| ((at / STEP) as usize).min(count - 1);
    for first in firsts(&verdict.courses) {
        let step = &mut steps[index(first.course.ask.due)];
        step.first += 1;
        step.in_time += usize::from(first.in_time(experiment));
    }
    let mut took: Vec<Histogram<u64>> = (0..count).map(|_| histogram()).collect();
    for course in &verdict.courses {
        let i = index(course.ask.due);
        match course.outcome {
            Outcome::Resolved => {
                steps[i].resolved += 1;
                let at = course.answers.first().map_or(0, |(at, ..)| *at);
                _ = took[i].record(at.saturating_sub(course.ask.due));
            }
            Outcome::Deferred => steps[i].deferred += 1,
            Outcome::Abandoned | Outcome::Unanswered | Outcome::Killed | Outcome::NotTaken => {
                steps[i].failed += 1
            }
            _ => {}
        }
        for shot in &course.shots {
            steps[index(shot.begun)].shots += 1;
            let end = shot.end().unwrap_or(shot.begun + course.ask.limit);
            // In flight where a step ends.
            (index(shot.begun)..index(end)).for_each(|s| steps[s].in_flight[usize::from(shot.cache)] += 1);
        }
    }
    for (step, took) in steps.iter_mut().zip(&took) {
        (step.p50_ms, step.p99_ms) = (ms(took, 0.5), ms(took, 0.99));
    }
    for proxy in 0..proxies {
        let own: Vec<&Sample> = samples.iter().filter(|s| s.proxy == proxy).collect();
        for pair in own.windows(2) {
            let (a, b) = (pair[0], pair[1]);
            let step = &mut steps[index(b.at)];
            step.memory_mb[proxy] = step.memory_mb[proxy].max(b.memory_kb as f64 / 1024.0);
            step.cpu[proxy] += b.cpu_us.saturating_sub(a.cpu_us) as f64 / STEP as f64;
        }
    }
    steps
}
