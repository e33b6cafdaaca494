//! Calls put together into blocks on the proxy's own thread; what takes the blocks may be slow, and then they are counted as lost.

use crate::format::{
    CallBlock, CaptureItem, Decision, Event, RecordedCall, RecordedEndpoint, encode_item, outcome_number,
};
use chalkwalk_balancer::{AttemptOutcome, Endpoint, Snapshot};
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

/// A block goes out once it holds so many calls, or its first is so old: a crash loses what is in one.
const MOST_CALLS: usize = 128;
const OLDEST: Span = Span::from_millis(200);

/// From one snapshot of the balancer to the next: some kilobytes each, and a replay of an evening's middle begins within that.
const SNAPSHOTS: Span = Span::from_secs(60);

/// Takes a block's bytes, or says that there is no room.
pub type Sink = Box<dyn FnMut(Vec<u8>) -> bool>;

pub struct Recorder {
    block: CallBlock,
    at: Timestamp,
    lost: u64,
    sink: Sink,
    keys: bool,
    snapshot_at: Timestamp,
    each: Span,
}

impl Recorder {
    /// `keys`: whether the texts of keys are kept.
    pub fn new(sink: Sink, keys: bool) -> Recorder {
        Recorder {
            block: CallBlock::default(),
            at: Timestamp::ZERO,
            lost: 0,
            sink,
            keys,
            snapshot_at: Timestamp::ZERO,
            each: SNAPSHOTS,
        }
    }

    /// From one snapshot to the next so long.
    pub fn snapshots_each(mut self, each: Span) -> Recorder {
        self.each = each;
        self
    }

    /// A call begins; what it decides follows by `done`.
    pub fn record_event(&mut self, now: Timestamp, event: Event) {
        if self.block.calls.len() >= MOST_CALLS || now > self.block.from + OLDEST {
            self.flush();
        }
        if self.block.calls.is_empty() {
            (self.block.from, self.at) = (now, now);
        }
        self.block.calls.push(RecordedCall {
            after: now.saturating_since(self.at),
            event,
            decisions: Vec::new(),
        });
        self.at = self.at.max(now);
    }

    pub fn record_decision(&mut self, decision: Decision) {
        if let Some(call) = self.block.calls.last_mut() {
            call.decisions.push(decision);
        }
    }

    /// Whether the balancer's state is to be written down now: once in a while, and behind a gap.
    pub fn wants_snapshot(&self, now: Timestamp) -> bool {
        now >= self.snapshot_at
    }

    pub fn snapshot(&mut self, now: Timestamp, settings: &BTreeMap<String, String>, state: Snapshot) {
        self.snapshot_at = now + self.each;
        let Snapshot { words, texts } = state;
        self.record_event(now, Event::Snapshot { settings: settings.clone(), words, texts });
    }

    pub fn request_accepted(
        &mut self,
        now: Timestamp,
        class: usize,
        key: &str,
        write: bool,
        expires: Timestamp,
        order: Option<&[usize]>,
    ) {
        let point = chalkwalk_balancer::point_of(key);
        let key = if self.keys { key.to_string() } else { String::new() };
        self.record_event(
            now,
            Event::RequestAccepted { class, point, key, write, expires, order: order.map(<[usize]>::to_vec) },
        );
    }

    #[allow(clippy::too_many_arguments)]
    pub fn attempt_ended(
        &mut self,
        now: Timestamp,
        request_id: u64,
        attempt: usize,
        outcome: AttemptOutcome,
        took: Span,
        finished: bool,
        order: Option<&[usize]>,
    ) {
        let order = order.map(<[usize]>::to_vec);
        self.record_event(
            now,
            Event::AttemptEnded {
                request_id,
                attempt,
                outcome: outcome_number(outcome),
                took,
                finished,
                order,
            },
        );
    }

    pub fn endpoints_listed(&mut self, now: Timestamp, whole: bool, endpoints: &[Endpoint]) {
        self.record_event(
            now,
            Event::EndpointsListed { whole, endpoints: endpoints.iter().map(RecordedEndpoint::of).collect() },
        );
    }

    /// Hands on what is there. After calls that nobody took a gap goes first.
    pub fn flush(&mut self) {
        if self.block.calls.is_empty() {
            return;
        }
        let block = std::mem::take(&mut self.block);
        let calls = block.calls.len() as u64;
        if self.lost > 0 && (self.sink)(encode_item(&CaptureItem::Gap(self.lost))) {
            // A replay goes on from the next snapshot.
            (self.lost, self.snapshot_at) = (0, Timestamp::ZERO);
        }
        if self.lost > 0 || !(self.sink)(encode_item(&CaptureItem::Calls(block))) {
            self.lost += calls;
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.flush();
    }
}
