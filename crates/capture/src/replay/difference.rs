//! A replayed call whose decisions differ from the recorded ones, and the kind of the difference.

use crate::event::{Decision, Event};
use chalkwalk_time::Timestamp;

/// A replayed call whose decisions differ from the recorded ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The call's number in the capture. Calls are numbered from 0, and calls lost in a gap count.
    pub call_number: u64,
    /// When the call was made.
    pub called_at: Timestamp,
    /// What the balancer was notified of.
    pub event: Event,
    /// The decisions that the capture holds.
    pub recorded: Vec<Decision>,
    /// The decisions of the replay.
    pub replayed: Vec<Decision>,
}

impl Difference {
    /// The kind of the difference: the names of the first recorded and replayed decision that
    /// differ.
    pub(super) fn kind(&self) -> String {
        let equal_count = self
            .recorded
            .iter()
            .zip(&self.replayed)
            .take_while(|(recorded, replayed)| recorded == replayed)
            .count();
        let recorded = decision_name(self.recorded.get(equal_count));
        let replayed = decision_name(self.replayed.get(equal_count));
        if recorded == replayed {
            format!("different {recorded}")
        } else {
            format!("{replayed} instead of {recorded}")
        }
    }
}

fn decision_name(decision: Option<&Decision>) -> &'static str {
    match decision {
        None => "nothing",
        Some(Decision::StartAttempt { .. }) => "attempt",
        Some(Decision::CancelAttempt { .. }) => "cancellation",
        Some(Decision::Reject { .. }) => "rejection",
        Some(Decision::Fail(_)) => "failure",
        Some(Decision::CheckHealth(_)) => "health check",
        Some(Decision::ReleaseConnection(_)) => "connection release",
        Some(Decision::SetTimer { .. }) => "timer",
        Some(Decision::WatchEndpoints) => "watch",
        Some(Decision::Log { .. }) => "log",
    }
}
