//! A moving average of the latencies of one server, in which the latest answer counts most. Shows
//! whether the origin can answer in the time left.

use crate::snapshot::stored;
use chalkwalk_time::Span;

#[derive(Default)]
pub(crate) struct RecentLatency {
    mean: Span,
}

stored! { RecentLatency { mean } }

impl RecentLatency {
    /// Records the latency of an answer. Latencies above the target time count as the target time.
    pub fn record(&mut self, took: Span, target: Span) {
        self.mean = (self.mean * 7 + took.min(target)) / 8;
    }

    /// Lowers the mean, so that a server that gets no attempts is tried again; called once a
    /// second.
    pub fn decay(&mut self) {
        self.mean -= self.mean / 8;
    }

    pub fn exceeds(&self, span: Span) -> bool {
        self.mean > span
    }
}
