//! The calls of a capture made again to today's balancer, and where it decides otherwise.

mod apply;
mod difference;

use crate::event::{CallBlock, CaptureItem, Event, RecordedCall};
use chalkwalk_balancer::Balancer;
use chalkwalk_time::Timestamp;
pub use difference::Difference;
use std::collections::BTreeMap;

/// What a replay found.
#[derive(Debug, Default)]
pub struct Replay {
    /// Calls that were replayed.
    pub calls: u64,
    /// Recorded decisions of these calls.
    pub decisions: u64,
    /// Starts of the balancer, each replayed from there.
    pub starts: u64,
    /// Snapshots that a replay resumed from.
    pub resumed: u64,
    /// Snapshots that were compared with the state that the replay had reached.
    pub compared: u64,
    /// Calls that could not be replayed: before the first start or snapshot, or behind a gap.
    pub skipped: u64,
    /// Gaps in the capture.
    pub gaps: u64,
    /// The first call that was decided otherwise.
    pub first_difference: Option<Difference>,
    /// How many calls were decided otherwise.
    pub differences: u64,
    /// How many of them are of each kind: the first decisions that differ, as recorded and as replayed.
    pub difference_kinds: BTreeMap<String, u64>,
    /// When the first block begins.
    pub from: Timestamp,
    /// When the last call was made.
    pub to: Timestamp,
}

/// Replays items in their order. It goes on behind a difference: from there on the two states differ, and more differences are
/// likely to follow, up to the next snapshot, from which the balancer goes on as recorded.
pub fn replay<'a>(items: impl Iterator<Item = &'a CaptureItem>) -> Replay {
    let mut replayer = Replayer::default();
    for item in items {
        match item {
            CaptureItem::Calls(block) => replayer.replay_block(block),
            CaptureItem::Gap(calls) => replayer.skip_gap(*calls),
        }
    }
    replayer.report
}

#[derive(Default)]
struct Replayer {
    report: Replay,
    balancer: Option<Balancer>,
    /// The number of the next call, from 0.
    next_call: u64,
    /// The balancer has decided otherwise since the last start or snapshot.
    diverged: bool,
}

impl Replayer {
    /// What the balancer was notified of in a gap is not known: only a start or a snapshot can be replayed behind it.
    fn skip_gap(&mut self, calls: u64) {
        self.balancer = None;
        self.report.gaps += 1;
        self.report.skipped += calls;
        self.next_call += calls;
    }

    fn replay_block(&mut self, block: &CallBlock) {
        let mut at = block.from;
        if self.report.from == Timestamp::ZERO {
            self.report.from = at;
        }
        for call in &block.calls {
            at += call.after;
            self.report.to = at;
            self.replay_call(at, call);
            self.next_call += 1;
        }
    }

    fn replay_call(&mut self, at: Timestamp, call: &RecordedCall) {
        let is_start = matches!(call.event, Event::Start { .. });
        let is_snapshot = matches!(call.event, Event::Snapshot { .. });
        if self.diverged && is_snapshot {
            self.balancer = None;
            self.diverged = false;
        }
        let was_running = self.balancer.is_some();
        let Some(replayed) = apply::apply(&mut self.balancer, at, &call.event) else {
            self.report.skipped += 1;
            return;
        };
        self.report.calls += 1;
        self.report.decisions += call.decisions.len() as u64;
        if is_start {
            self.report.starts += 1;
            self.diverged = false;
        }
        if is_snapshot && was_running {
            self.report.compared += 1;
        } else if is_snapshot {
            self.report.resumed += 1;
        }
        if replayed != call.decisions {
            let event = call.event.clone();
            let recorded = call.decisions.clone();
            self.record_difference(Difference { call: self.next_call, at, event, recorded, replayed });
        }
    }

    fn record_difference(&mut self, difference: Difference) {
        self.diverged = true;
        self.report.differences += 1;
        *self.report.difference_kinds.entry(difference.kind()).or_default() += 1;
        self.report.first_difference.get_or_insert(difference);
    }
}
