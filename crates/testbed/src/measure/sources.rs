//! Figures of redirections, of etcd and of drains.

use super::{histogram, max_ms, quantile_ms, share};
use crate::clock::{Micros, SECOND};
use crate::experiment::{Experiment, ListSource, Protocol};
use crate::model::server::Reply;
use crate::oracle::{Attempt, Outcome, RequestRecord, Verdict};
use crate::stand_ins::etcd::EtcdLoad;
use serde::Serialize;

/// After the last fault slot maps settle within so much.
const SETTLING_TIME: Micros = 2 * SECOND;

/// How many redirections a request met.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Redirections {
    /// In the mean.
    #[serde(rename = "per_lookup")]
    pub per_request: f64,
    /// How many requests came once the map had settled: from two seconds after the last fault on.
    #[serde(rename = "settled_lookups")]
    pub settled_requests: usize,
    /// The mean of these.
    #[serde(rename = "settled_per_lookup")]
    pub settled_per_request: f64,
}

impl Redirections {
    pub(super) fn measure(experiment: &Experiment, verdict: &Verdict) -> Option<Redirections> {
        if experiment.fleet.protocol() != Protocol::Resp {
            return None;
        }
        let ends = experiment.each_fault().map(|fault| fault.span().end).filter(|end| *end < Micros::MAX);
        let settled = ends.max().unwrap_or(0) + SETTLING_TIME;
        let requests_from = |from: Micros| {
            let is_own = move |record: &&RequestRecord| {
                record.request.due >= from && record.outcome != Outcome::NotAccepted
            };
            verdict.records.iter().filter(is_own)
        };
        let per_request = |from: Micros| {
            let attempts = requests_from(from).flat_map(|record| &record.attempts);
            share(attempts.filter(|attempt| is_miss(attempt)).count(), requests_from(from).count())
        };
        Some(Redirections {
            per_request: per_request(0),
            settled_requests: requests_from(settled).count(),
            settled_per_request: per_request(settled),
        })
    }
}

fn is_miss(attempt: &Attempt) -> bool {
    attempt.reply.is_some_and(|answered| answered.reply == Reply::Miss)
}

/// How often etcd was called, and how long proxies were without a watch each time that they lost it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EtcdFigures {
    /// Calls of all proxies.
    #[serde(rename = "calls_a_second")]
    pub calls_per_second: f64,
    /// Watches that were lost and came back.
    #[serde(rename = "lost")]
    pub watches_lost: usize,
    /// The median time without one.
    #[serde(rename = "back_p50_ms")]
    pub recovery_p50_ms: f64,
    /// Its 99th percentile.
    #[serde(rename = "back_p99_ms")]
    pub recovery_p99_ms: f64,
    /// The longest.
    #[serde(rename = "back_longest_ms")]
    pub recovery_max_ms: f64,
}

impl EtcdFigures {
    /// Of a run whose list came from etcd.
    pub fn measure(experiment: &Experiment, load: &EtcdLoad) -> Option<EtcdFigures> {
        if experiment.fleet.list_source() != ListSource::Etcd {
            return None;
        }
        let mut recovery = histogram();
        for time in &load.recovery_times {
            _ = recovery.record(*time);
        }
        Some(EtcdFigures {
            calls_per_second: load.calls as f64 / experiment.seconds,
            watches_lost: load.recovery_times.len(),
            recovery_p50_ms: quantile_ms(&recovery, 0.5),
            recovery_p99_ms: quantile_ms(&recovery, 0.99),
            recovery_max_ms: max_ms(&recovery),
        })
    }
}

/// From when a proxy was notified that a server is off to its last new attempt there.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DrainFigures {
    /// How often a proxy was notified.
    #[serde(rename = "told")]
    pub notified: usize,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest.
    #[serde(rename = "longest_ms")]
    pub max_ms: f64,
}

impl DrainFigures {
    pub(super) fn measure(verdict: &Verdict) -> DrainFigures {
        let mut times = histogram();
        for drain in &verdict.drains {
            _ = times.record(drain.last - drain.notified);
        }
        DrainFigures {
            notified: verdict.drains.len(),
            p50_ms: quantile_ms(&times, 0.5),
            p99_ms: quantile_ms(&times, 0.99),
            max_ms: max_ms(&times),
        }
    }
}
