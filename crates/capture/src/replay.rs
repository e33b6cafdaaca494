//! Replays the calls of a capture against the current balancer and reports decisions that differ.

mod apply;
mod difference;

use crate::event::{CallBlock, CaptureItem, Event, RecordedCall};
use chalkwalk_balancer::Balancer;
use chalkwalk_time::Timestamp;
pub use difference::Difference;
use std::collections::BTreeMap;

/// The result of a replay.
#[derive(Debug, Default)]
pub struct Replay {
    /// The number of calls that were replayed.
    pub calls: u64,
    /// The number of recorded decisions of these calls.
    pub decisions: u64,
    /// The number of starts of the balancer. The replay continues from each with a new balancer.
    pub start_count: u64,
    /// The number of snapshots from which the replay resumed.
    pub resumed_snapshots: u64,
    /// The number of snapshots that were compared with the state that the replay had reached.
    pub compared_snapshots: u64,
    /// The number of calls that could not be replayed: calls before the first start or snapshot, in
    /// a gap, or after a gap up to the next start or snapshot, and calls with an invalid event.
    pub skipped_calls: u64,
    /// The number of gaps in the capture.
    pub gap_count: u64,
    /// The first call whose decisions differ.
    pub first_difference: Option<Difference>,
    /// The number of calls whose decisions differ.
    pub differing_calls: u64,
    /// The number of differing calls by the kind of difference. A kind is named after the first
    /// decision that differs.
    pub difference_kinds: BTreeMap<String, u64>,
    /// When the first block begins.
    pub started_at: Timestamp,
    /// When the last call was made.
    pub last_call_at: Timestamp,
}

/// Replays items in order. The replay continues after a difference. The replayed state then differs
/// from the recorded one, so more differences are likely to follow until the next snapshot, from
/// which the balancer is restored.
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
    /// The number of the next call. Calls are numbered from 0.
    next_call: u64,
    /// Whether the balancer's decisions have differed from the recorded ones since the last start
    /// or snapshot.
    diverged: bool,
}

impl Replayer {
    /// Discards the balancer: the events in a gap are unknown, so only a start or a snapshot can be
    /// replayed after it.
    fn skip_gap(&mut self, calls: u64) {
        self.balancer = None;
        self.report.gap_count += 1;
        self.report.skipped_calls += calls;
        self.next_call += calls;
    }

    fn replay_block(&mut self, block: &CallBlock) {
        let mut called_at = block.from;
        if self.report.started_at == Timestamp::ZERO {
            self.report.started_at = called_at;
        }
        for call in &block.calls {
            called_at += call.after;
            self.report.last_call_at = called_at;
            self.replay_call(called_at, call);
            self.next_call += 1;
        }
    }

    fn replay_call(&mut self, called_at: Timestamp, call: &RecordedCall) {
        let is_start = matches!(call.event, Event::Start { .. });
        let is_snapshot = matches!(call.event, Event::Snapshot { .. });
        if self.diverged && is_snapshot {
            self.balancer = None;
            self.diverged = false;
        }
        let was_running = self.balancer.is_some();
        let Some(replayed) = apply::apply(&mut self.balancer, called_at, &call.event) else {
            self.report.skipped_calls += 1;
            return;
        };
        self.report.calls += 1;
        self.report.decisions += call.decisions.len() as u64;
        if is_start {
            self.report.start_count += 1;
            self.diverged = false;
        }
        if is_snapshot && was_running {
            self.report.compared_snapshots += 1;
        } else if is_snapshot {
            self.report.resumed_snapshots += 1;
        }
        if replayed != call.decisions {
            let event = call.event.clone();
            let recorded = call.decisions.clone();
            self.record_difference(Difference {
                call_number: self.next_call,
                called_at,
                event,
                recorded,
                replayed,
            });
        }
    }

    fn record_difference(&mut self, difference: Difference) {
        self.diverged = true;
        self.report.differing_calls += 1;
        *self.report.difference_kinds.entry(difference.kind()).or_default() += 1;
        self.report.first_difference.get_or_insert(difference);
    }
}
