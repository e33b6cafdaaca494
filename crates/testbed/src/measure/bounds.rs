//! Checks a run's figures against the bounds that its experiment states.

use super::{Figures, share};
use crate::experiment::Experiment;

/// A bound from the experiment's file, with the measured figure that it limits.
struct Bound {
    name: &'static str,
    stated: Option<f64>,
    measured: f64,
}

fn bound(name: &'static str, stated: Option<f64>, measured: f64) -> Bound {
    Bound { name, stated, measured }
}

impl Figures {
    /// The bounds of the experiment that do not hold, one sentence each.
    pub fn violated_bounds(&self, experiment: &Experiment) -> Vec<String> {
        let stated = &experiment.bounds;
        let request_share = |count: usize| share(count, self.requests);
        let minimums = [
            bound("in_time", stated.min_in_time_share, self.in_time),
            bound("worst_window", stated.min_window_in_time_share, self.worst_window),
        ];
        let maximums = [
            bound("deferred", stated.max_rejected_share, request_share(self.rejected)),
            bound("abandoned", stated.max_failed_share, request_share(self.failed)),
            bound("shots_per_lookup", stated.max_attempts_per_request, self.attempts_per_request),
            bound("memory_mb", stated.memory_mb, self.memory_mb_peak),
            bound("drain_ms", stated.drain_ms, self.drains.max_ms),
            bound("killed_per_thousand", stated.killed_per_thousand, 1000.0 * request_share(self.killed)),
        ];
        let below_minimum = minimums.iter().filter_map(|bound| {
            let min = bound.stated.filter(|min| bound.measured < *min)?;
            Some(format!("{} is {:.3}, below the stated minimum of {min}", bound.name, bound.measured))
        });
        let above_maximum = maximums.iter().filter_map(|bound| {
            let max = bound.stated.filter(|max| bound.measured > *max)?;
            Some(format!("{} is {:.3}, above the stated maximum of {max}", bound.name, bound.measured))
        });
        below_minimum.chain(above_maximum).collect()
    }
}
