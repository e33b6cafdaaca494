//! Figures by request class, and by tenant.

use super::firsts::FirstRequest;
use super::{histogram, quantile_ms, share};
use crate::experiment::Experiment;
use crate::oracle::{RequestRecord, Verdict};
use serde::Serialize;

/// The figures of one class, or of one tenant.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassFigures {
    /// Which.
    pub name: String,
    /// How many first requests it had.
    #[serde(rename = "first_lookups")]
    pub first_requests: usize,
    /// The share served within the latency objective.
    pub in_time: f64,
    /// The median of what was served, from the moment it was due, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p99_9_ms: f64,
}

/// What is broken down.
pub(super) struct Breakdown<'a> {
    pub experiment: &'a Experiment,
    pub verdict: &'a Verdict,
    pub firsts: &'a [FirstRequest<'a>],
}

impl Breakdown<'_> {
    /// The figures by request class.
    pub fn class(&self) -> Vec<ClassFigures> {
        let names = self.experiment.classes.iter().map(|class| &class.name);
        self.names(names, |record| record.request.class)
    }

    /// The figures by tenant.
    pub fn tenant(&self) -> Vec<ClassFigures> {
        let names = self.experiment.load.tenants.iter().map(|tenant| &tenant.name);
        self.names(names, |record| record.request.tenant)
    }

    /// The figures by names; `number_of` is by which name, by its number, a request counts.
    fn names<'a>(
        &self,
        names: impl Iterator<Item = &'a String>,
        number_of: impl Fn(&RequestRecord) -> usize,
    ) -> Vec<ClassFigures> {
        let figures = |(i, name): (usize, &String)| self.figures(name, |record| number_of(record) == i);
        names.enumerate().map(figures).collect()
    }

    fn figures(&self, name: &str, is_own: impl Fn(&RequestRecord) -> bool) -> ClassFigures {
        let own: Vec<&FirstRequest> = self.firsts.iter().filter(|first| is_own(first.record)).collect();
        let mut latency = histogram();
        for record in self.verdict.records.iter().filter(|record| is_own(record)) {
            if let Some(at) = record.served_at() {
                _ = latency.record(at.saturating_sub(record.request.due));
            }
        }
        let in_time = own.iter().filter(|first| first.is_in_time(self.experiment)).count();
        ClassFigures {
            name: name.to_string(),
            first_requests: own.len(),
            in_time: share(in_time, own.len()),
            p50_ms: quantile_ms(&latency, 0.5),
            p99_ms: quantile_ms(&latency, 0.99),
            p99_9_ms: quantile_ms(&latency, 0.999),
        }
    }
}
