//! A cluster of three endpoints over one store: what befalls it over the day, and how each endpoint sees the store.

use crate::clock::{Micros, SECOND, micros};
use crate::experiment::{Experiment, FaultKind};
use std::ops::Range;

pub const ENDPOINTS: usize = 3;
/// The one that is behind where one is.
const BEHIND: usize = 2;

#[derive(Clone, Debug, Default)]
pub struct EtcdTimeline {
    down: Vec<Range<Micros>>,
    stalls: Vec<Range<Micros>>,
    behind: Vec<(Range<Micros>, Micros)>,
    slow_leases: Vec<(Range<Micros>, Micros)>,
    /// Moments at which every connection is reset.
    breaks: Vec<Micros>,
    pub actions: Vec<(Micros, StoreAction)>,
}

/// What is done to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreAction {
    Compact,
    /// To its state of so long ago.
    Restore(Micros),
}

impl EtcdTimeline {
    pub fn new(experiment: &Experiment) -> EtcdTimeline {
        let mut all = EtcdTimeline::default();
        for t in experiment.faults.iter().map(|t| t.get_ref()) {
            let (span, by) = (t.span(), micros(t.by.unwrap_or(0.0)));
            match t.kind {
                FaultKind::EtcdDown => all.down.push(span),
                FaultKind::EtcdStall => all.stalls.push(span),
                FaultKind::EtcdBehind => all.behind.push((span, by)),
                FaultKind::EtcdSlowLeases => all.slow_leases.push((span, by)),
                FaultKind::EtcdBreak => all.breaks.push(span.start),
                FaultKind::EtcdCompact => all.actions.push((span.start, StoreAction::Compact)),
                FaultKind::EtcdRestore => {
                    all.actions.push((span.start, StoreAction::Restore(by)));
                    all.breaks.push(span.start);
                }
                _ => {}
            }
        }
        all.breaks.extend(all.down.iter().map(|span| span.start).collect::<Vec<_>>());
        all.actions.sort_by_key(|(at, _)| *at);
        all
    }

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
        let on = self.behind.iter().filter(|(span, _)| endpoint == BEHIND && span.contains(&now));
        on.map(|(_, by)| *by).max().unwrap_or(0)
    }

    pub fn lease_lag(&self, now: Micros) -> Micros {
        self.slow_leases.iter().filter(|(span, _)| span.contains(&now)).map(|(_, by)| *by).max().unwrap_or(0)
    }

    /// When connections are reset next.
    pub fn next_break(&self, now: Micros) -> Option<Micros> {
        self.breaks.iter().copied().filter(|at| *at > now).min()
    }
}

/// Calls that need a majority fail after so long where there is none, as the server's own time-out does.
pub const NO_MAJORITY: Micros = 2 * SECOND;
