//! An etcd cluster of three endpoints over one store: its faults over a run, and which state of the
//! store each endpoint sees.

use crate::clock::{Micros, SECOND, micros};
use crate::experiment::{Experiment, FaultKind};
use std::ops::Range;

/// Number of endpoints in the cluster.
pub const ENDPOINTS: usize = 3;
/// The endpoint that lags in a fault that makes one endpoint lag.
const BEHIND: usize = 2;
/// Calls that need a quorum fail after this time where there is none, as with the timeout of an
/// etcd server.
pub const NO_MAJORITY: Micros = 2 * SECOND;

/// A delay that applies within a span.
#[derive(Clone, Debug)]
struct Lag {
    span: Range<Micros>,
    by: Micros,
}

/// The longest of the delays that apply now.
fn longest<'a>(lags: impl Iterator<Item = &'a Lag>, now: Micros) -> Micros {
    lags.filter(|lag| lag.span.contains(&now)).map(|lag| lag.by).max().unwrap_or(0)
}

/// The faults of the cluster over a run.
#[derive(Clone, Debug, Default)]
pub struct EtcdTimeline {
    down: Vec<Range<Micros>>,
    stalls: Vec<Range<Micros>>,
    behind: Vec<Lag>,
    slow_leases: Vec<Lag>,
    /// Times at which every connection is reset.
    breaks: Vec<Micros>,
    /// Compactions and restores of the store, in order of time.
    pub actions: Vec<TimedAction>,
}

/// An operation on the whole store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreAction {
    /// Drops the store's history.
    Compact,
    /// Restores the store to its state of this long ago.
    Restore(Micros),
}

/// An operation on the store and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAction {
    /// The time of the operation.
    pub at: Micros,
    /// The operation.
    pub action: StoreAction,
}

impl EtcdTimeline {
    /// Computes the faults of the cluster from an experiment.
    pub fn new(experiment: &Experiment) -> EtcdTimeline {
        let mut timeline = EtcdTimeline::default();
        for fault in experiment.each_fault() {
            let span = fault.span();
            let at = span.start;
            let by = micros(fault.by.unwrap_or(0.0));
            match fault.kind {
                FaultKind::EtcdDown => timeline.down.push(span),
                FaultKind::EtcdStall => timeline.stalls.push(span),
                FaultKind::EtcdBehind => timeline.behind.push(Lag { span, by }),
                FaultKind::EtcdSlowLeases => timeline.slow_leases.push(Lag { span, by }),
                FaultKind::EtcdBreak => timeline.breaks.push(at),
                FaultKind::EtcdCompact => {
                    timeline.actions.push(TimedAction { at, action: StoreAction::Compact });
                }
                FaultKind::EtcdRestore => {
                    timeline.actions.push(TimedAction { at, action: StoreAction::Restore(by) });
                    timeline.breaks.push(at);
                }
                _ => {}
            }
        }
        let goes_down = timeline.down.iter().map(|span| span.start);
        timeline.breaks.extend(goes_down);
        timeline.actions.sort_by_key(|timed| timed.at);
        timeline
    }

    /// Whether the cluster is down.
    pub fn is_down(&self, now: Micros) -> bool {
        self.down.iter().any(|span| span.contains(&now))
    }

    /// The next time at which the cluster goes down or comes up; `Micros::MAX` if there is none.
    pub fn next_transition(&self, now: Micros) -> Micros {
        let ends = self.down.iter().flat_map(|span| [span.start, span.end]);
        ends.filter(|at| *at > now).min().unwrap_or(Micros::MAX)
    }

    /// The end of the current stall, if the cluster stalls.
    pub fn stalled_until(&self, now: Micros) -> Option<Micros> {
        self.stalls.iter().filter(|span| span.contains(&now)).map(|span| span.end).max()
    }

    /// How far the state that an endpoint sees is behind the store.
    pub fn lag(&self, endpoint: usize, now: Micros) -> Micros {
        longest(self.behind.iter().filter(|_| endpoint == BEHIND), now)
    }

    /// The delay of calls about leases.
    pub fn lease_lag(&self, now: Micros) -> Micros {
        longest(self.slow_leases.iter(), now)
    }

    /// The next time at which all connections are reset.
    pub fn next_break(&self, now: Micros) -> Option<Micros> {
        self.breaks.iter().copied().filter(|at| *at > now).min()
    }
}
