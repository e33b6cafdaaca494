//! First requests, each with what came of all its tries.

use super::share;
use crate::clock::{Micros, SECOND, micros};
use crate::evidence::Id;
use crate::experiment::Experiment;
use crate::oracle::{Outcome, RequestRecord};
use std::collections::HashMap;

/// The windows of which the worst is shown.
const WINDOW: Micros = 5 * SECOND;
/// A window with fewer first requests shows little.
const MIN_WINDOW_REQUESTS: usize = 20;

/// A first request and what came of all its tries: when it was served, if it was.
pub(super) struct FirstRequest<'a> {
    pub record: &'a RequestRecord,
    pub served: Option<Micros>,
    cancelled: bool,
}

impl FirstRequest<'_> {
    /// Whether it was served within the latency objective.
    pub fn is_in_time(&self, experiment: &Experiment) -> bool {
        let target = micros(experiment.classes[self.record.request.class].target_ms / 1e3);
        self.served.is_some_and(|at| at <= self.record.request.due + target)
    }
}

/// First requests in the order in which they were due, without those whose client cancelled.
pub(super) fn first_requests(records: &[RequestRecord]) -> Vec<FirstRequest<'_>> {
    let mut indexes: HashMap<Id, usize> = HashMap::new();
    let mut firsts: Vec<FirstRequest> = Vec::new();
    for record in records {
        let i = *indexes.entry(record.request.first).or_insert_with(|| {
            firsts.push(FirstRequest { record, served: None, cancelled: false });
            firsts.len() - 1
        });
        let first = &mut firsts[i];
        first.served = first.served.or(record.served_at());
        first.cancelled |= record.outcome == Outcome::Cancelled;
    }
    firsts.retain(|first| !first.cancelled);
    firsts
}

/// The share that was served in time.
pub(super) fn in_time_share(experiment: &Experiment, firsts: &[FirstRequest]) -> f64 {
    share(firsts.iter().filter(|first| first.is_in_time(experiment)).count(), firsts.len())
}

#[derive(Default)]
struct Window {
    requests: usize,
    in_time: usize,
}

/// The same in the worst window.
pub(super) fn worst_window(experiment: &Experiment, firsts: &[FirstRequest]) -> f64 {
    let mut windows: HashMap<Micros, Window> = HashMap::new();
    for first in firsts {
        let window = windows.entry(first.record.request.due / WINDOW).or_default();
        window.requests += 1;
        window.in_time += usize::from(first.is_in_time(experiment));
    }
    let full = windows.values().filter(|window| window.requests >= MIN_WINDOW_REQUESTS);
    full.map(|window| share(window.in_time, window.requests)).fold(1.0, f64::min)
}
