//! A call that the balancer decides otherwise than recorded, and of what kind the difference is.

use crate::event::{Decision, Event};
use chalkwalk_time::Timestamp;

/// A call that the balancer decides otherwise than it did.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The number among all calls, from 0.
    pub call: u64,
    /// When the call was made.
    pub at: Timestamp,
    /// What the balancer was notified of.
    pub event: Event,
    /// What it decided then.
    pub recorded: Vec<Decision>,
    /// What it decides now.
    pub replayed: Vec<Decision>,
}

impl Difference {
    /// The kind: the first decisions that differ, by their names.
    pub(super) fn kind(&self) -> String {
        let alike = self.recorded.iter().zip(&self.replayed).take_while(|(then, now)| then == now).count();
        let recorded = decision_name(self.recorded.get(alike));
        let replayed = decision_name(self.replayed.get(alike));
        if recorded == replayed {
            format!("another {recorded}")
        } else {
            format!("{replayed} for {recorded}")
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
