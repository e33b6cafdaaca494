//! Puts calls together into blocks on the proxy's own thread. Whatever accepts the blocks may be slow: blocks that it refuses
//! are counted, and marked as a gap.

use crate::event::{CallBlock, CaptureItem, Decision, Event, RecordedCall, RecordedEndpoint};
use crate::format::encode_item;
use crate::outcome::outcome_number;
use chalkwalk_balancer::{AttemptOutcome, Endpoint, Snapshot};
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

/// A block is written once it holds so many calls, or its first is so old: a crash loses what is in one.
const MAX_BLOCK_CALLS: usize = 128;
const MAX_BLOCK_AGE: Span = Span::from_millis(200);

/// From one snapshot of the balancer to the next: some kilobytes each, and a replay of an evening's middle begins within that.
const SNAPSHOT_INTERVAL: Span = Span::from_secs(60);

/// Accepts a block's bytes, or returns `false` if it has no room.
pub type Sink = Box<dyn FnMut(Vec<u8>) -> bool>;

/// Records the calls into one balancer.
pub struct Recorder {
    block: CallBlock,
    /// When the last call was made.
    last_call: Timestamp,
    /// Calls refused by the sink that no gap counts yet.
    lost_calls: u64,
    sink: Sink,
    keep_keys: bool,
    next_snapshot: Timestamp,
    snapshot_interval: Span,
}

impl Recorder {
    /// `keep_keys`: whether the texts of keys are recorded.
    pub fn new(sink: Sink, keep_keys: bool) -> Recorder {
        Recorder {
            block: CallBlock::default(),
            last_call: Timestamp::ZERO,
            lost_calls: 0,
            sink,
            keep_keys,
            next_snapshot: Timestamp::ZERO,
            snapshot_interval: SNAPSHOT_INTERVAL,
        }
    }

    /// Sets the time from one snapshot to the next.
    pub fn snapshots_each(mut self, interval: Span) -> Recorder {
        self.snapshot_interval = interval;
        self
    }

    /// A call begins; its decisions follow by `record_decision`.
    pub fn record_event(&mut self, now: Timestamp, event: Event) {
        if self.block.calls.len() >= MAX_BLOCK_CALLS || now > self.block.from + MAX_BLOCK_AGE {
            self.flush();
        }
        if self.block.calls.is_empty() {
            self.block.from = now;
            self.last_call = now;
        }
        let after = now.saturating_since(self.last_call);
        self.block.calls.push(RecordedCall { after, event, decisions: Vec::new() });
        self.last_call = self.last_call.max(now);
    }

    /// A decision of the call that began last.
    pub fn record_decision(&mut self, decision: Decision) {
        if let Some(call) = self.block.calls.last_mut() {
            call.decisions.push(decision);
        }
    }

    /// Whether the balancer's state is to be recorded now: once in a while, and behind a gap.
    pub fn wants_snapshot(&self, now: Timestamp) -> bool {
        now >= self.next_snapshot
    }

    /// Records the balancer's state.
    pub fn snapshot(&mut self, now: Timestamp, settings: &BTreeMap<String, String>, state: Snapshot) {
        self.next_snapshot = now + self.snapshot_interval;
        let Snapshot { numbers: words, texts } = state;
        self.record_event(now, Event::Snapshot { settings: settings.clone(), words, texts });
    }

    /// A request was accepted. `order`: the servers that it is restricted to.
    pub fn request_accepted(
        &mut self,
        now: Timestamp,
        class: usize,
        key: &str,
        write: bool,
        expires: Timestamp,
        order: Option<&[usize]>,
    ) {
        let point = chalkwalk_balancer::key_point(key);
        let key = if self.keep_keys { key.to_string() } else { String::new() };
        let order = order.map(<[usize]>::to_vec);
        self.record_event(now, Event::RequestAccepted { class, point, key, write, expires, order });
    }

    /// An attempt ended. `order`: the servers that its request is restricted to from now on.
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
        let outcome = outcome_number(outcome);
        self.record_event(now, Event::AttemptEnded { request_id, attempt, outcome, took, finished, order });
    }

    /// Discovery delivered the whole list, or changes to it.
    pub fn endpoints_listed(&mut self, now: Timestamp, whole: bool, endpoints: &[Endpoint]) {
        let endpoints = endpoints.iter().map(RecordedEndpoint::of).collect();
        self.record_event(now, Event::EndpointsListed { whole, endpoints });
    }

    /// Passes the current block to the sink. After calls that the sink refused a gap goes first.
    pub fn flush(&mut self) {
        if self.block.calls.is_empty() {
            return;
        }
        let block = std::mem::take(&mut self.block);
        let calls = block.calls.len() as u64;
        if self.lost_calls > 0 && (self.sink)(encode_item(&CaptureItem::Gap(self.lost_calls))) {
            self.lost_calls = 0;
            // A replay goes on from the next snapshot.
            self.next_snapshot = Timestamp::ZERO;
        }
        if self.lost_calls > 0 || !(self.sink)(encode_item(&CaptureItem::Calls(block))) {
            self.lost_calls += calls;
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.flush();
    }
}
