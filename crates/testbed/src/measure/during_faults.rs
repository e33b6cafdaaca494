//! What was done while faults were on, and how long it went on after.

use super::firsts::FirstRequest;
use super::share;
use crate::clock::{Micros, SECOND, micros};
use crate::experiment::Experiment;
use crate::oracle::{Outcome, Verdict};
use serde::Serialize;
use std::ops::Range;

/// From the first fault's beginning to the last one's end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DuringFaults {
    /// The share of the first requests that was served in time.
    pub in_time: f64,
    /// All tries of a client together.
    #[serde(rename = "lookups_per_first")]
    pub requests_per_first: f64,
    /// Attempts at servers.
    #[serde(rename = "cache_shots_per_first")]
    pub server_attempts_per_first: f64,
    /// Attempts at the origin.
    #[serde(rename = "origin_shots_per_first")]
    pub origin_attempts_per_first: f64,
    /// Seconds from the end until the share in time is as before the beginning; `None` if the run ended first.
    #[serde(rename = "back_s")]
    pub recovered_s: Option<f64>,
}

/// As before: within so much of the share in time before ...
const RECOVERED_WITHIN: f64 = 0.02;
/// ... for so many seconds in a row.
const RECOVERED_SECONDS: usize = 3;

impl DuringFaults {
    pub(super) fn measure(
        experiment: &Experiment,
        verdict: &Verdict,
        firsts: &[FirstRequest],
    ) -> Option<DuringFaults> {
        let spans = || experiment.each_fault().map(|fault| fault.span());
        let from = spans().map(|span| span.start).min()?;
        let to = spans().map(|span| span.end).max()?;
        if to > micros(experiment.seconds) {
            return None;
        }
        let span = from..to;
        let first_count = firsts.iter().filter(|first| span.contains(&first.record.request.due)).count();
        let attempts = |at_origin: bool| {
            let all = verdict.records.iter().flat_map(|record| &record.attempts);
            let during = all.filter(|attempt| span.contains(&attempt.started));
            let is_at_origin = |server: u16| usize::from(server) == experiment.world.servers;
            during.filter(|attempt| is_at_origin(attempt.server) == at_origin).count()
        };
        let accepted = verdict.records.iter().filter(|record| record.outcome != Outcome::NotAccepted);
        let requests = accepted.filter(|record| span.contains(&record.request.due)).count();
        Some(DuringFaults {
            in_time: in_time_within(experiment, firsts, &span),
            requests_per_first: share(requests, first_count),
            server_attempts_per_first: share(attempts(false), first_count),
            origin_attempts_per_first: share(attempts(true), first_count),
            recovered_s: recovered_s(experiment, firsts, &span),
        })
    }
}

/// The share in time of the first requests that were due within a span.
fn in_time_within(experiment: &Experiment, firsts: &[FirstRequest], span: &Range<Micros>) -> f64 {
    let own = || firsts.iter().filter(|first| span.contains(&first.record.request.due));
    share(own().filter(|first| first.is_in_time(experiment)).count(), own().count())
}

fn recovered_s(experiment: &Experiment, firsts: &[FirstRequest], faults: &Range<Micros>) -> Option<f64> {
    let before = in_time_within(experiment, firsts, &(0..faults.start));
    let seconds_after = (micros(experiment.seconds) - faults.end) / SECOND;
    let is_as_before = |second: u64| {
        let start = faults.end + second * SECOND;
        in_time_within(experiment, firsts, &(start..start + SECOND)) >= before - RECOVERED_WITHIN
    };
    let as_before: Vec<bool> = (0..seconds_after).map(is_as_before).collect();
    let recovered = as_before.windows(RECOVERED_SECONDS).position(|row| row.iter().all(|good| *good));
    recovered.map(|second| second as f64)
}
