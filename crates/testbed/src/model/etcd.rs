//! A cluster of three endpoints over one store: what happens to it over a run, and how each endpoint sees the store.

use crate::clock::{Micros, SECOND, micros};
use crate::experiment::{Experiment, FaultKind};
use std::ops::Range;

/// Endpoints of the cluster.
pub const ENDPOINTS: usize = 3;
/// The endpoint that is behind where one is.
const BEHIND: usize = 2;
/// Calls that need a majority fail after so long where there is none, as the server's own time-out does.
pub const NO_MAJORITY: Micros = 2 * SECOND;

/// Something is late for a time.
#[derive(Clone, Debug)]
struct Lag {
    span: Range<Micros>,
    by: Micros,
}

/// The longest of the lags that are on.
fn longest<'a>(lags: impl Iterator<Item = &'a Lag>, now: Micros) -> Micros {
    lags.filter(|lag| lag.span.contains(&now)).map(|lag| lag.by).max().unwrap_or(0)
}

/// What happens to the cluster.
#[derive(Clone, Debug, Default)]
pub struct EtcdTimeline {
    down: Vec<Range<Micros>>,
    stalls: Vec<Range<Micros>>,
    behind: Vec<Lag>,
    slow_leases: Vec<Lag>,
    /// Moments at which every connection is reset.
    breaks: Vec<Micros>,
    /// What is done to the store, in order of time.
    pub actions: Vec<TimedAction>,
}

/// What is done to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreAction {
    /// Its history goes.
    Compact,
    /// It is restored to its state of so long ago.
    Restore(Micros),
}

/// An action and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAction {
    /// When.
    pub at: Micros,
    /// What.
    pub action: StoreAction,
}

impl EtcdTimeline {
    /// Works out what happens in an experiment.
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

    /// Whether it is down.
    pub fn is_down(&self, now: Micros) -> bool {
        self.down.iter().any(|span| span.contains(&now))
    }

    /// When it goes down or comes up next.
    pub fn next_transition(&self, now: Micros) -> Micros {
        let ends = self.down.iter().flat_map(|span| [span.start, span.end]);
        ends.filter(|at| *at > now).min().unwrap_or(Micros::MAX)
    }

    /// The end of the stall that is on.
    pub fn stalled_until(&self, now: Micros) -> Option<Micros> {
        self.stalls.iter().filter(|span| span.contains(&now)).map(|span| span.end).max()
    }

    /// How far an endpoint lags.
    pub fn lag(&self, endpoint: usize, now: Micros) -> Micros {
        longest(self.behind.iter().filter(|_| endpoint == BEHIND), now)
    }

    /// How long calls about leases wait.
    pub fn lease_lag(&self, now: Micros) -> Micros {
        longest(self.slow_leases.iter(), now)
    }

    /// When connections are reset next.
    pub fn next_break(&self, now: Micros) -> Option<Micros> {
        self.breaks.iter().copied().filter(|at| *at > now).min()
    }
}
