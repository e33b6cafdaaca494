//! Figures of a run, from what the judge gathered. The keys of their JSON are older than the names here, and stay:
//! `serde(rename)` has them.

mod bounds;
mod classes;
mod during_faults;
mod firsts;
mod sources;
mod steps;
mod traffic;

pub use classes::ClassFigures;
pub use during_faults::DuringFaults;
pub use sources::{DrainFigures, EtcdFigures, Redirections};
pub use steps::{TIME_STEP, TimeStep, over_time};

use crate::clock::{MILLI, Micros};
use crate::experiment::Experiment;
use crate::fleet::Sample;
use crate::oracle::{Outcome, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Digits of a histogram's values: latencies are right to a thousandth.
const HISTOGRAM_DIGITS: u8 = 3;
/// A histogram of latencies.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_DIGITS).unwrap_or_else(|_| unreachable!("up to five digits are allowed"))
}

/// A quantile in milliseconds.
fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / MILLI as f64
}

/// The largest value in milliseconds.
fn max_ms(latencies: &Histogram<u64>) -> f64 {
    latencies.max() as f64 / MILLI as f64
}

/// A part of a whole; 0 where there is nothing.
pub fn share(part: usize, whole: usize) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// All figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The experiment's.
    pub title: String,
    /// The experiment's.
    pub seed: u64,
    /// How many.
    pub proxies: usize,
    /// With clients' retries.
    #[serde(rename = "lookups")]
    pub requests: usize,
    /// Without them.
    #[serde(rename = "first_lookups")]
    pub first_requests: usize,
    /// Requests that ended with their value.
    #[serde(rename = "resolved")]
    pub served: usize,
    /// Requests that were refused, to be retried later.
    #[serde(rename = "deferred")]
    pub rejected: usize,
    /// Requests that were given up.
    #[serde(rename = "abandoned")]
    pub failed: usize,
    /// Requests that were refused as wrong.
    #[serde(rename = "turned_down")]
    pub invalid: usize,
    /// Requests without an answer.
    pub unanswered: usize,
    /// Requests at a proxy that was killed outright, which the connection's end showed.
    pub killed: usize,
    /// Requests whose client cancelled.
    #[serde(rename = "left")]
    pub cancelled: usize,
    /// Requests that no proxy accepted.
    #[serde(rename = "not_taken")]
    pub not_accepted: usize,
    /// Attempts in all.
    #[serde(rename = "shots")]
    pub attempts: usize,
    /// Attempts for each request that was answered.
    #[serde(rename = "shots_per_lookup")]
    pub attempts_per_request: f64,
    /// Attempts at the origin.
    #[serde(rename = "origin_shots")]
    pub origin_attempts: usize,
    /// Attempts at another zone than the proxy's.
    #[serde(rename = "crossing_shots")]
    pub cross_zone_attempts: usize,
    /// Of the attempts at servers, the share that the busiest got.
    pub busiest_share: f64,
    /// The share of the first requests that was served within the latency objective, by some try.
    pub in_time: f64,
    /// The same in the worst window of five seconds.
    pub worst_window: f64,
    /// Where faults have an end: what was done meanwhile, and how long it went on after.
    #[serde(rename = "trouble")]
    pub during_faults: Option<DuringFaults>,
    /// From when a proxy was notified that a server is off to its last new attempt there.
    pub drains: DrainFigures,
    /// Where servers redirect.
    #[serde(rename = "redirected")]
    pub redirections: Option<Redirections>,
    /// Where the list comes from etcd.
    pub etcd: Option<EtcdFigures>,
    /// By request class.
    #[serde(rename = "by_namespace")]
    pub by_class: Vec<ClassFigures>,
    /// By tenant.
    pub by_tenant: Vec<ClassFigures>,
    /// Servers that collapsed.
    #[serde(rename = "fallen")]
    pub collapsed: usize,
    /// The first breaches of rules, each as a line.
    pub breaches: Vec<String>,
    /// How many there were.
    pub breaches_in_all: usize,
    /// CPU time of the proxies for each request that was answered.
    #[serde(rename = "cpu_us_per_lookup")]
    pub cpu_us_per_request: f64,
    /// The most memory that any proxy had.
    pub memory_mb_peak: f64,
    /// How late the testbed itself sent what was due, at the 99th percentile, in milliseconds.
    #[serde(rename = "lab_late_p99_ms")]
    pub send_delay_p99_ms: f64,
    /// Connections that proxies refused, or did not accept in time.
    pub connects_refused: u64,
    /// Requests that were sent again, as their connection was being closed.
    pub sent_again: u64,
}

/// What the testbed's own clients counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    /// How late first requests were sent, at the 99th percentile.
    pub send_delay_p99: Micros,
    /// Connections that proxies refused, or did not accept in time.
    pub connects_refused: u64,
    /// Requests that were sent again, as their connection was being closed.
    pub sent_again: u64,
}

impl Figures {
    /// The figures of a run; those of etcd come from its stand-in.
    pub fn measure(
        experiment: &Experiment,
        verdict: &Verdict,
        samples: &[Sample],
        clients: ClientCounts,
    ) -> Figures {
        let firsts = firsts::first_requests(&verdict.records);
        let count = |outcome| verdict.records.iter().filter(|record| record.outcome == outcome).count();
        let answered = verdict.records.iter().filter(|record| !record.answers.is_empty()).count();
        let traffic = traffic::Traffic::measure(experiment, verdict);
        let cpu_us = traffic::cpu_us(experiment.fleet.proxies, samples);
        let by = classes::Breakdown { experiment, verdict, firsts: &firsts };
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
            attempts: traffic.attempts,
            attempts_per_request: share(traffic.attempts, answered),
            origin_attempts: traffic.at_origin,
            cross_zone_attempts: traffic.cross_zone,
            busiest_share: traffic.busiest_share,
            in_time: firsts::in_time_share(experiment, &firsts),
            worst_window: firsts::worst_window(experiment, &firsts),
            during_faults: DuringFaults::measure(experiment, verdict, &firsts),
            drains: DrainFigures::measure(verdict),
            redirections: Redirections::measure(experiment, verdict),
            etcd: None,
            by_class: by.class(),
            by_tenant: by.tenant(),
            collapsed: verdict.collapsed,
            breaches: verdict.breaches.iter().map(ToString::to_string).collect(),
            breaches_in_all: verdict.breaches.len() + verdict.further_breaches,
            cpu_us_per_request: cpu_us as f64 / answered.max(1) as f64,
            memory_mb_peak: traffic::peak_memory_mb(samples),
            send_delay_p99_ms: clients.send_delay_p99 as f64 / MILLI as f64,
            connects_refused: clients.connects_refused,
            sent_again: clients.sent_again,
        }
    }
}
