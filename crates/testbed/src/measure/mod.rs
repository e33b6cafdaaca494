//! Computes the figures of a run from the records that the oracle gathered. Some JSON keys are
//! older than the field names: `serde(rename)` keeps them unchanged.

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

use crate::clock::{MILLISECOND, Micros};
use crate::experiment::Experiment;
use crate::fleet::Sample;
use crate::oracle::{Outcome, Verdict};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant digits of a histogram's values: latencies are accurate to one part in a thousand.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;
/// An empty histogram of latencies, in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("a histogram can have up to five significant digits"))
}

/// A quantile of the latencies, in milliseconds.
fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / MILLISECOND as f64
}

/// The maximum latency, in milliseconds.
fn max_ms(latencies: &Histogram<u64>) -> f64 {
    latencies.max() as f64 / MILLISECOND as f64
}

/// `part` divided by `whole`; 0 if `whole` is 0.
pub fn share(part: usize, whole: usize) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

/// All figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Title of the experiment.
    pub title: String,
    /// Seed of the experiment.
    pub seed: u64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of requests, with clients' retries.
    #[serde(rename = "lookups")]
    pub requests: usize,
    /// Number of first requests: those that are not a client's retry, without cancelled ones.
    #[serde(rename = "first_lookups")]
    pub first_requests: usize,
    /// Requests that were answered with their value.
    #[serde(rename = "resolved")]
    pub served: usize,
    /// Requests that were refused with the advice to retry later.
    #[serde(rename = "deferred")]
    pub rejected: usize,
    /// Requests that were answered with a server error.
    #[serde(rename = "abandoned")]
    pub failed: usize,
    /// Requests that were refused as invalid.
    #[serde(rename = "turned_down")]
    pub invalid: usize,
    /// Requests without an answer.
    pub unanswered: usize,
    /// Requests without an answer because their proxy was killed, which the client saw from the end
    /// of the connection.
    pub killed: usize,
    /// Requests that their client cancelled.
    #[serde(rename = "left")]
    pub cancelled: usize,
    /// Requests that no proxy accepted.
    #[serde(rename = "not_taken")]
    pub not_accepted: usize,
    /// Number of attempts.
    #[serde(rename = "shots")]
    pub attempts: usize,
    /// Attempts divided by the requests that were answered.
    #[serde(rename = "shots_per_lookup")]
    pub attempts_per_request: f64,
    /// Attempts at the origin.
    #[serde(rename = "origin_shots")]
    pub origin_attempts: usize,
    /// Attempts at a server, or the origin, in another zone than the proxy's.
    #[serde(rename = "crossing_shots")]
    pub cross_zone_attempts: usize,
    /// Share of the attempts at servers that went to the busiest server.
    pub busiest_share: f64,
    /// Share of the first requests of which some try was served within the latency objective.
    pub in_time: f64,
    /// The same share in the worst window of five seconds.
    pub worst_window: f64,
    /// Service and load while faults were active, and the time until recovery; `None` if the run
    /// has no fault, or one that outlasts it.
    #[serde(rename = "trouble")]
    pub during_faults: Option<DuringFaults>,
    /// Time from when a proxy was notified that a server is off to its last new attempt there.
    pub drains: DrainFigures,
    /// Redirections, if the servers speak RESP.
    #[serde(rename = "redirected")]
    pub redirections: Option<Redirections>,
    /// Use of etcd, if the endpoint list comes from there.
    pub etcd: Option<EtcdFigures>,
    /// The figures of each request class.
    #[serde(rename = "by_namespace")]
    pub by_class: Vec<ClassFigures>,
    /// The figures of each tenant.
    pub by_tenant: Vec<ClassFigures>,
    /// Number of times that a server collapsed.
    #[serde(rename = "fallen")]
    pub collapsed: usize,
    /// The first breaches of rules, one line each.
    pub breaches: Vec<String>,
    /// Number of breaches, with those that are not listed.
    pub breaches_in_all: usize,
    /// CPU time of all proxies divided by the answered requests, in microseconds.
    #[serde(rename = "cpu_us_per_lookup")]
    pub cpu_us_per_request: f64,
    /// Peak memory of the proxy that used the most, in megabytes.
    pub memory_mb_peak: f64,
    /// 99th percentile of the testbed's own delay in sending due requests, in milliseconds.
    #[serde(rename = "lab_late_p99_ms")]
    pub send_delay_p99_ms: f64,
    /// Connections that a proxy refused or did not accept in time.
    pub connects_refused: u64,
    /// Requests that a client sent again because the proxy closed the connection at the same time.
    pub sent_again: u64,
}

/// Counts made by the testbed's own clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    /// 99th percentile of the delay between the time a first request is due and its sending.
    pub send_delay_p99: Micros,
    /// Connections that a proxy refused or did not accept in time.
    pub connects_refused: u64,
    /// Requests that a client sent again because the proxy closed the connection at the same time.
    pub sent_again: u64,
}

impl Figures {
    /// The figures of a run. `etcd` stays `None`: its figures come from the simulated etcd.
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
        let breakdown = classes::Breakdown { experiment, verdict, firsts: &firsts };
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
            origin_attempts: traffic.origin_attempts,
            cross_zone_attempts: traffic.cross_zone_attempts,
            busiest_share: traffic.busiest_share,
            in_time: firsts::in_time_share(experiment, &firsts),
            worst_window: firsts::worst_window(experiment, &firsts),
            during_faults: DuringFaults::measure(experiment, verdict, &firsts),
            drains: DrainFigures::measure(verdict),
            redirections: Redirections::measure(experiment, verdict),
            etcd: None,
            by_class: breakdown.by_class(),
            by_tenant: breakdown.by_tenant(),
            collapsed: verdict.collapsed,
            breaches: verdict.breaches.iter().map(ToString::to_string).collect(),
            breaches_in_all: verdict.breaches.len() + verdict.unlisted_breaches,
            cpu_us_per_request: cpu_us as f64 / answered.max(1) as f64,
            memory_mb_peak: traffic::peak_memory_mb(samples),
            send_delay_p99_ms: clients.send_delay_p99 as f64 / MILLISECOND as f64,
            connects_refused: clients.connects_refused,
            sent_again: clients.sent_again,
        }
    }
}
