//! The figures of a run over time, in steps of half a second.

use super::firsts::first_requests;
use super::{histogram, quantile_ms};
use crate::clock::{Micros, SECOND};
use crate::experiment::Experiment;
use crate::fleet::Sample;
use crate::oracle::{Outcome, RequestRecord, Verdict};
use hdrhistogram::Histogram;

/// The figures of one step.
#[derive(Clone, Debug, Default)]
pub struct TimeStep {
    /// Number of first requests that were due.
    pub first_requests: usize,
    /// Number of these that were served within the latency objective.
    pub in_time: usize,
    /// Number of requests due in this step that were served.
    pub served: usize,
    /// Number of requests due in this step that were rejected.
    pub rejected: usize,
    /// Number of requests due in this step that failed in any way.
    pub failed: usize,
    /// Number of attempts that started.
    pub attempts: usize,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Attempts in flight at the end of the step, by server; the origin is last.
    pub in_flight: Vec<usize>,
    /// CPU use in cores, by proxy.
    pub cpu: Vec<f64>,
    /// Peak memory in megabytes, by proxy.
    pub memory_mb: Vec<f64>,
}

/// The length of a step: at the usual loads, some dozens of requests are due in half a second.
pub const TIME_STEP: Micros = SECOND / 2;

struct Steps {
    steps: Vec<TimeStep>,
    latencies: Vec<Histogram<u64>>,
}

/// The figures of each step of a run.
pub fn over_time(experiment: &Experiment, verdict: &Verdict, samples: &[Sample]) -> Vec<TimeStep> {
    let mut steps = Steps::new(experiment);
    for first in first_requests(&verdict.records) {
        let step = steps.step_at(first.record.request.due_at);
        step.first_requests += 1;
        step.in_time += usize::from(first.is_in_time(experiment));
    }
    for record in &verdict.records {
        steps.add_outcome(record);
        steps.add_attempts(record);
    }
    for proxy in 0..experiment.fleet.proxies {
        steps.add_usage(proxy, samples);
    }
    steps.finish()
}

impl Steps {
    fn new(experiment: &Experiment) -> Steps {
        let count = (experiment.end_time() / TIME_STEP + 1) as usize;
        let proxies = experiment.fleet.proxies;
        let empty = TimeStep {
            in_flight: vec![0; experiment.world.servers + 1],
            cpu: vec![0.0; proxies],
            memory_mb: vec![0.0; proxies],
            ..TimeStep::default()
        };
        Steps { steps: vec![empty; count], latencies: (0..count).map(|_| histogram()).collect() }
    }

    fn index(&self, at: Micros) -> usize {
        ((at / TIME_STEP) as usize).min(self.steps.len() - 1)
    }

    fn step_at(&mut self, at: Micros) -> &mut TimeStep {
        let i = self.index(at);
        &mut self.steps[i]
    }

    fn add_outcome(&mut self, record: &RequestRecord) {
        let due = record.request.due_at;
        if let Some(served) = record.served_at() {
            let i = self.index(due);
            _ = self.latencies[i].record(served.saturating_sub(due));
        }
        let step = self.step_at(due);
        match record.outcome {
            Outcome::Served => step.served += 1,
            Outcome::Rejected => step.rejected += 1,
            Outcome::Failed | Outcome::Unanswered | Outcome::Killed | Outcome::NotAccepted => {
                step.failed += 1;
            }
            Outcome::InvalidRequest | Outcome::Cancelled => {}
        }
    }

    fn add_attempts(&mut self, record: &RequestRecord) {
        for attempt in &record.attempts {
            self.step_at(attempt.started_at).attempts += 1;
            let end = attempt.end().unwrap_or(attempt.started_at + record.request.time_limit);
            // Counts the attempt in each step at whose end it is in flight.
            for i in self.index(attempt.started_at)..self.index(end) {
                self.steps[i].in_flight[usize::from(attempt.server)] += 1;
            }
        }
    }

    fn add_usage(&mut self, proxy: usize, samples: &[Sample]) {
        let proxy_samples: Vec<&Sample> = samples.iter().filter(|sample| sample.proxy == proxy).collect();
        for pair in proxy_samples.windows(2) {
            let (previous, sample) = (pair[0], pair[1]);
            let step = self.step_at(sample.at);
            step.memory_mb[proxy] = step.memory_mb[proxy].max(sample.memory_kb as f64 / 1024.0);
            step.cpu[proxy] += sample.cpu_us.saturating_sub(previous.cpu_us) as f64 / TIME_STEP as f64;
        }
    }

    fn finish(mut self) -> Vec<TimeStep> {
        for (step, latency) in self.steps.iter_mut().zip(&self.latencies) {
            step.p50_ms = quantile_ms(latency, 0.5);
            step.p99_ms = quantile_ms(latency, 0.99);
        }
        self.steps
    }
}
