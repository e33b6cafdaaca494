//! Figures by request class, and by tenant.

use super::firsts::FirstRequest;
use super::{histogram, quantile_ms, share};
use crate::experiment::Experiment;
use crate::oracle::{RequestRecord, Verdict};
use serde::Serialize;

/// The figures of one class, or of one tenant.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassFigures {
    /// Name of the class or tenant.
    pub name: String,
    /// Number of first requests; a client's retries do not count.
    #[serde(rename = "first_lookups")]
    pub first_requests: usize,
    /// Share of the first requests that was served within the latency objective.
    pub in_time: f64,
    /// Median latency of the served requests, from the time they were due, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the same latency, in milliseconds.
    pub p99_9_ms: f64,
}

/// The results of a run, to be broken down by request class or by tenant.
pub(super) struct Breakdown<'a> {
    pub experiment: &'a Experiment,
    pub verdict: &'a Verdict,
    pub firsts: &'a [FirstRequest<'a>],
}

impl Breakdown<'_> {
    /// The figures of each request class.
    pub fn by_class(&self) -> Vec<ClassFigures> {
        let names = self.experiment.classes.iter().map(|class| &class.name);
        self.by_name(names, |record| record.request.class_index)
    }

    /// The figures of each tenant.
    pub fn by_tenant(&self) -> Vec<ClassFigures> {
        let names = self.experiment.load.tenants.iter().map(|tenant| &tenant.name);
        self.by_name(names, |record| record.request.tenant_index)
    }

    /// The figures of each name; `index_of` returns the index of the name to which a request
    /// belongs.
    fn by_name<'a>(
        &self,
        names: impl Iterator<Item = &'a String>,
        index_of: impl Fn(&RequestRecord) -> usize,
    ) -> Vec<ClassFigures> {
        let figures = |(i, name): (usize, &String)| self.figures(name, |record| index_of(record) == i);
        names.enumerate().map(figures).collect()
    }

    fn figures(&self, name: &str, is_in_group: impl Fn(&RequestRecord) -> bool) -> ClassFigures {
        let group_firsts: Vec<&FirstRequest> =
            self.firsts.iter().filter(|first| is_in_group(first.record)).collect();
        let mut latency = histogram();
        for record in self.verdict.records.iter().filter(|record| is_in_group(record)) {
            if let Some(at) = record.served_at() {
                _ = latency.record(at.saturating_sub(record.request.due_at));
            }
        }
        let in_time = group_firsts.iter().filter(|first| first.is_in_time(self.experiment)).count();
        ClassFigures {
            name: name.to_string(),
            first_requests: group_firsts.len(),
            in_time: share(in_time, group_firsts.len()),
            p50_ms: quantile_ms(&latency, 0.5),
            p99_ms: quantile_ms(&latency, 0.99),
            p99_9_ms: quantile_ms(&latency, 0.999),
        }
    }
}
