//! What the answers of one server took of late, the last counting most: shows whether the origin answers in the time left.

use crate::snapshot::stored;
use chalkwalk_time::Span;

#[derive(Default)]
pub(crate) struct RecentLatency {
    mean: Span,
}

stored! { RecentLatency { mean } }

impl RecentLatency {
    /// An answer took so long; beyond the target time it makes no difference.
    pub fn record(&mut self, took: Span, target: Span) {
        self.mean = (self.mean * 7 + took.min(target)) / 8;
    }

    /// A second has passed: decays, so that a server which gets no attempts is tried again.
    pub fn decay(&mut self) {
        self.mean -= self.mean / 8;
    }

    pub fn exceeds(&self, span: Span) -> bool {
        self.mean > span
    }
}
