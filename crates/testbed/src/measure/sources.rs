//! Figures of redirections, of etcd and of drains.

use super::{histogram, max_ms, quantile_ms, share};
use crate::clock::{Micros, SECOND};
use crate::experiment::{Experiment, ListSource, Protocol};
use crate::model::server::Reply;
use crate::oracle::{Attempt, Outcome, RequestRecord, Verdict};
use crate::simulated_services::etcd::EtcdLoad;
use serde::Serialize;

/// How long the proxies' slot maps may take to settle after the last fault.
const SLOT_MAP_SETTLING_TIME: Micros = 2 * SECOND;

/// How many times requests were redirected.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Redirections {
    /// Mean number of redirections per request.
    #[serde(rename = "per_lookup")]
    pub per_request: f64,
    /// Number of requests that were due after the slot maps had settled: two seconds or more after
    /// the last fault.
    #[serde(rename = "settled_lookups")]
    pub settled_requests: usize,
    /// Mean number of redirections per request among these.
    #[serde(rename = "settled_per_lookup")]
    pub settled_per_request: f64,
}

impl Redirections {
    pub(super) fn measure(experiment: &Experiment, verdict: &Verdict) -> Option<Redirections> {
        if experiment.fleet.protocol() != Protocol::Resp {
            return None;
        }
        let fault_ends = experiment
            .faults_in_order()
            .map(|fault| fault.active_time().end)
            .filter(|end| *end < Micros::MAX);
        let settled_at = fault_ends.max().unwrap_or(0) + SLOT_MAP_SETTLING_TIME;
        let requests_from = |from: Micros| {
            let is_counted = move |record: &&RequestRecord| {
                record.request.due_at >= from && record.outcome != Outcome::NotAccepted
            };
            verdict.records.iter().filter(is_counted)
        };
        let per_request = |from: Micros| {
            let attempts = requests_from(from).flat_map(|record| &record.attempts);
            share(attempts.filter(|attempt| is_redirection(attempt)).count(), requests_from(from).count())
        };
        Some(Redirections {
            per_request: per_request(0),
            settled_requests: requests_from(settled_at).count(),
            settled_per_request: per_request(settled_at),
        })
    }
}

/// A server that speaks RESP replies with a miss where it redirects.
fn is_redirection(attempt: &Attempt) -> bool {
    attempt.reply.is_some_and(|record| record.reply == Reply::Miss)
}

/// How often the proxies called etcd, and how long they were without a watch each time they lost
/// it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EtcdFigures {
    /// Calls of all proxies together, per second of the load.
    #[serde(rename = "calls_a_second")]
    pub calls_per_second: f64,
    /// Number of watches that were lost and established again.
    #[serde(rename = "lost")]
    pub watches_lost: usize,
    /// Median time without a watch, in milliseconds.
    #[serde(rename = "back_p50_ms")]
    pub recovery_p50_ms: f64,
    /// 99th percentile of the time without a watch, in milliseconds.
    #[serde(rename = "back_p99_ms")]
    pub recovery_p99_ms: f64,
    /// Longest time without a watch, in milliseconds.
    #[serde(rename = "back_longest_ms")]
    pub recovery_max_ms: f64,
}

impl EtcdFigures {
    /// The figures of a run whose endpoint list came from etcd; `None` for other runs.
    pub fn measure(experiment: &Experiment, load: &EtcdLoad) -> Option<EtcdFigures> {
        if experiment.fleet.list_source() != ListSource::Etcd {
            return None;
        }
        let mut recovery_times = histogram();
        for time in &load.recovery_times {
            _ = recovery_times.record(*time);
        }
        Some(EtcdFigures {
            calls_per_second: load.calls as f64 / experiment.seconds,
            watches_lost: load.recovery_times.len(),
            recovery_p50_ms: quantile_ms(&recovery_times, 0.5),
            recovery_p99_ms: quantile_ms(&recovery_times, 0.99),
            recovery_max_ms: max_ms(&recovery_times),
        })
    }
}

/// Time from when a proxy was notified that a server is off to its last new attempt there.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DrainFigures {
    /// Number of times that a proxy was notified.
    #[serde(rename = "told")]
    pub notified: usize,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Maximum, in milliseconds.
    #[serde(rename = "longest_ms")]
    pub max_ms: f64,
}

impl DrainFigures {
    pub(super) fn measure(verdict: &Verdict) -> DrainFigures {
        let mut times = histogram();
        for drain in &verdict.drains {
            _ = times.record(drain.last_attempt_at - drain.notified_at);
        }
        DrainFigures {
            notified: verdict.drains.len(),
            p50_ms: quantile_ms(&times, 0.5),
            p99_ms: quantile_ms(&times, 0.99),
            max_ms: max_ms(&times),
        }
    }
}
