//! Service and load while faults were active, and the time until recovery.

use super::firsts::FirstRequest;
use super::share;
use crate::clock::{Micros, SECOND, micros_from_seconds};
use crate::experiment::Experiment;
use crate::oracle::{Outcome, Verdict};
use serde::Serialize;
use std::ops::Range;

/// Figures of the time from the start of the first fault to the end of the last one.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DuringFaults {
    /// Share of the first requests that was served within the latency objective.
    pub in_time: f64,
    /// Requests, with clients' retries, for each first request.
    #[serde(rename = "lookups_per_first")]
    pub requests_per_first: f64,
    /// Attempts at servers for each first request.
    #[serde(rename = "cache_shots_per_first")]
    pub server_attempts_per_first: f64,
    /// Attempts at the origin for each first request.
    #[serde(rename = "origin_shots_per_first")]
    pub origin_attempts_per_first: f64,
    /// Seconds from the end of the faults until the share in time is back at its level before them;
    /// `None` if the run ended earlier.
    #[serde(rename = "back_s")]
    pub recovered_s: Option<f64>,
}

/// Service counts as recovered if, for `RECOVERED_SECONDS` consecutive seconds, the share in time
/// is at most this much below the share before the faults.
const RECOVERY_TOLERANCE: f64 = 0.02;
/// Number of consecutive seconds for which service has to be back at its earlier level.
const RECOVERED_SECONDS: usize = 3;

impl DuringFaults {
    pub(super) fn measure(
        experiment: &Experiment,
        verdict: &Verdict,
        firsts: &[FirstRequest],
    ) -> Option<DuringFaults> {
        let spans = || experiment.faults_in_order().map(|fault| fault.active_time());
        let start = spans().map(|span| span.start).min()?;
        let end = spans().map(|span| span.end).max()?;
        if end > micros_from_seconds(experiment.seconds) {
            return None;
        }
        let span = start..end;
        let first_count = firsts.iter().filter(|first| span.contains(&first.record.request.due_at)).count();
        let attempts = |at_origin: bool| {
            let all_attempts = verdict.records.iter().flat_map(|record| &record.attempts);
            let attempts_in_span = all_attempts.filter(|attempt| span.contains(&attempt.started_at));
            let is_at_origin = |server: u16| usize::from(server) == experiment.world.servers;
            attempts_in_span.filter(|attempt| is_at_origin(attempt.server) == at_origin).count()
        };
        let accepted = verdict.records.iter().filter(|record| record.outcome != Outcome::NotAccepted);
        let requests = accepted.filter(|record| span.contains(&record.request.due_at)).count();
        Some(DuringFaults {
            in_time: in_time_within(experiment, firsts, &span),
            requests_per_first: share(requests, first_count),
            server_attempts_per_first: share(attempts(false), first_count),
            origin_attempts_per_first: share(attempts(true), first_count),
            recovered_s: recovered_s(experiment, firsts, &span),
        })
    }
}

/// The share of the first requests due within a span that was served in time.
fn in_time_within(experiment: &Experiment, firsts: &[FirstRequest], span: &Range<Micros>) -> f64 {
    let due_in_span = || firsts.iter().filter(|first| span.contains(&first.record.request.due_at));
    share(due_in_span().filter(|first| first.is_in_time(experiment)).count(), due_in_span().count())
}

fn recovered_s(experiment: &Experiment, firsts: &[FirstRequest], faults: &Range<Micros>) -> Option<f64> {
    let share_before = in_time_within(experiment, firsts, &(0..faults.start));
    let seconds_after = (micros_from_seconds(experiment.seconds) - faults.end) / SECOND;
    let is_recovered = |second: u64| {
        let start = faults.end + second * SECOND;
        in_time_within(experiment, firsts, &(start..start + SECOND)) >= share_before - RECOVERY_TOLERANCE
    };
    let recovered_seconds: Vec<bool> = (0..seconds_after).map(is_recovered).collect();
    let recovered = recovered_seconds
        .windows(RECOVERED_SECONDS)
        .position(|window| window.iter().all(|in_tolerance| *in_tolerance));
    recovered.map(|second| second as f64)
}
