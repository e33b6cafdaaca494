//! An etcd cluster of three endpoints over one store: its faults over a run, and which state of the
//! store each endpoint sees.

use crate::clock::{Micros, SECOND, micros_from_seconds};
use crate::experiment::{Experiment, FaultKind};
use std::ops::Range;

/// Number of endpoints in the cluster.
pub const ENDPOINT_COUNT: usize = 3;
/// The endpoint that the fault `etcd-behind` makes lag.
const LAGGING_ENDPOINT: usize = 2;
/// Calls that need a quorum fail after this time where there is none, as with the timeout of an
/// etcd server.
pub const QUORUM_TIMEOUT: Micros = 2 * SECOND;

/// A delay that applies within a span.
#[derive(Clone, Debug)]
struct Lag {
    span: Range<Micros>,
    offset: Micros,
}

/// The longest of the delays that apply now.
fn max_lag<'a>(lags: impl Iterator<Item = &'a Lag>, now: Micros) -> Micros {
    lags.filter(|lag| lag.span.contains(&now)).map(|lag| lag.offset).max().unwrap_or(0)
}

/// The faults of the cluster over a run.
#[derive(Clone, Debug, Default)]
pub struct EtcdTimeline {
    outages: Vec<Range<Micros>>,
    stalls: Vec<Range<Micros>>,
    lags: Vec<Lag>,
    lease_delays: Vec<Lag>,
    /// Times at which every connection is reset.
    connection_resets: Vec<Micros>,
    /// Compactions and restores of the store, in order of time.
    pub actions: Vec<TimedAction>,
}

/// An operation on the whole store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreAction {
    /// Drops the store's history.
    Compact,
    /// Restores the store to the state that it had this long ago.
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
        for fault in experiment.faults_in_order() {
            let span = fault.active_time();
            let at = span.start;
            let offset = micros_from_seconds(fault.by.unwrap_or(0.0));
            match fault.kind {
                FaultKind::EtcdDown => timeline.outages.push(span),
                FaultKind::EtcdStall => timeline.stalls.push(span),
                FaultKind::EtcdBehind => timeline.lags.push(Lag { span, offset }),
                FaultKind::EtcdSlowLeases => timeline.lease_delays.push(Lag { span, offset }),
                FaultKind::EtcdBreak => timeline.connection_resets.push(at),
                FaultKind::EtcdCompact => {
                    timeline.actions.push(TimedAction { at, action: StoreAction::Compact });
                }
                FaultKind::EtcdRestore => {
                    timeline.actions.push(TimedAction { at, action: StoreAction::Restore(offset) });
                    timeline.connection_resets.push(at);
                }
                _ => {}
            }
        }
        let outage_starts = timeline.outages.iter().map(|span| span.start);
        timeline.connection_resets.extend(outage_starts);
        timeline.actions.sort_by_key(|timed| timed.at);
        timeline
    }

    /// Whether the cluster is down.
    pub fn is_down(&self, now: Micros) -> bool {
        self.outages.iter().any(|span| span.contains(&now))
    }

    /// The next time at which the cluster goes down or comes up; `Micros::MAX` if there is none.
    pub fn next_transition(&self, now: Micros) -> Micros {
        let transitions = self.outages.iter().flat_map(|span| [span.start, span.end]);
        transitions.filter(|at| *at > now).min().unwrap_or(Micros::MAX)
    }

    /// The end of the current stall, if the cluster stalls.
    pub fn stalled_until(&self, now: Micros) -> Option<Micros> {
        self.stalls.iter().filter(|span| span.contains(&now)).map(|span| span.end).max()
    }

    /// How far the state that an endpoint sees is behind the store.
    pub fn lag(&self, endpoint: usize, now: Micros) -> Micros {
        max_lag(self.lags.iter().filter(|_| endpoint == LAGGING_ENDPOINT), now)
    }

    /// The delay of calls about leases.
    pub fn lease_delay(&self, now: Micros) -> Micros {
        max_lag(self.lease_delays.iter(), now)
    }

    /// The next time at which all connections are reset.
    pub fn next_connection_reset(&self, now: Micros) -> Option<Micros> {
        self.connection_resets.iter().copied().filter(|at| *at > now).min()
    }
}
