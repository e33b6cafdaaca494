//! First requests, each with the combined result of the client's tries.

use super::share;
use crate::clock::{Micros, SECOND, micros_from_seconds};
use crate::evidence::RequestId;
use crate::experiment::Experiment;
use crate::oracle::{Outcome, RequestRecord};
use std::collections::HashMap;

/// Length of the windows; the worst window is reported.
const WINDOW_LENGTH: Micros = 5 * SECOND;
/// Windows with fewer first requests are left out, because a share of so few requests is mostly
/// random.
const MIN_WINDOW_REQUESTS: usize = 20;

/// A first request with the combined result of the client's tries: when one of them was served, if
/// any.
pub(super) struct FirstRequest<'a> {
    pub record: &'a RequestRecord,
    pub served_at: Option<Micros>,
    cancelled: bool,
}

impl FirstRequest<'_> {
    /// Whether one of the tries was served within the latency objective.
    pub fn is_in_time(&self, experiment: &Experiment) -> bool {
        let target = micros_from_seconds(experiment.classes[self.record.request.class_index].target_ms / 1e3);
        self.served_at.is_some_and(|at| at <= self.record.request.due_at + target)
    }
}

/// First requests in the order of their due times, without those that their client cancelled.
pub(super) fn first_requests(records: &[RequestRecord]) -> Vec<FirstRequest<'_>> {
    let mut index_by_id: HashMap<RequestId, usize> = HashMap::new();
    let mut firsts: Vec<FirstRequest> = Vec::new();
    for record in records {
        let i = *index_by_id.entry(record.request.first_id).or_insert_with(|| {
            firsts.push(FirstRequest { record, served_at: None, cancelled: false });
            firsts.len() - 1
        });
        let first = &mut firsts[i];
        first.served_at = first.served_at.or(record.served_at());
        first.cancelled |= record.outcome == Outcome::Cancelled;
    }
    firsts.retain(|first| !first.cancelled);
    firsts
}

/// The share of the first requests that was served within the latency objective.
pub(super) fn in_time_share(experiment: &Experiment, firsts: &[FirstRequest]) -> f64 {
    share(firsts.iter().filter(|first| first.is_in_time(experiment)).count(), firsts.len())
}

#[derive(Default)]
struct Window {
    requests: usize,
    in_time: usize,
}

/// The same share in the worst window, or 1 if no window has enough first requests.
pub(super) fn worst_window(experiment: &Experiment, firsts: &[FirstRequest]) -> f64 {
    let mut windows: HashMap<Micros, Window> = HashMap::new();
    for first in firsts {
        let window = windows.entry(first.record.request.due_at / WINDOW_LENGTH).or_default();
        window.requests += 1;
        window.in_time += usize::from(first.is_in_time(experiment));
    }
    let counted = windows.values().filter(|window| window.requests >= MIN_WINDOW_REQUESTS);
    counted.map(|window| share(window.in_time, window.requests)).fold(1.0, f64::min)
}
