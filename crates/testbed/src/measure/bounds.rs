//! Whether the bounds hold that an experiment states.

use super::{Figures, share};
use crate::experiment::Experiment;

/// A bound, and the figure that it is about.
struct Bound {
    name: &'static str,
    stated: Option<f64>,
    measured: f64,
}

fn bound(name: &'static str, stated: Option<f64>, measured: f64) -> Bound {
    Bound { name, stated, measured }
}

impl Figures {
    /// Which of the experiment's own bounds do not hold, each as a plain sentence.
    pub fn out_of_bounds(&self, experiment: &Experiment) -> Vec<String> {
        let stated = &experiment.bounds;
        let part = |count: usize| share(count, self.requests);
        let at_least = [
            bound("in_time", stated.in_time, self.in_time),
            bound("worst_window", stated.worst_window, self.worst_window),
        ];
        let at_most = [
            bound("deferred", stated.rejected, part(self.rejected)),
            bound("abandoned", stated.failed, part(self.failed)),
            bound("shots_per_lookup", stated.attempts_per_request, self.attempts_per_request),
            bound("memory_mb", stated.memory_mb, self.memory_mb_peak),
            bound("drain_ms", stated.drain_ms, self.drains.max_ms),
            bound("killed_per_thousand", stated.killed_per_thousand, 1000.0 * part(self.killed)),
        ];
        let under = at_least.iter().filter_map(|bound| {
            let least = bound.stated.filter(|least| bound.measured < *least)?;
            Some(format!("{} is {:.3}, and {least} at the least was stated", bound.name, bound.measured))
        });
        let over = at_most.iter().filter_map(|bound| {
            let most = bound.stated.filter(|most| bound.measured > *most)?;
            Some(format!("{} is {:.3}, and {most} at the most was stated", bound.name, bound.measured))
        });
        under.chain(over).collect()
    }
}
