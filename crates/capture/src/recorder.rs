//! Collects calls into blocks on the proxy's thread and passes each block to a sink. A sink may be
//! slow to store blocks but never waits: it refuses a block that it has no room for, and the
//! recorder then counts the lost calls and records them as a gap.

use crate::event::{CallBlock, CaptureItem, Decision, Event, RecordedCall, RecordedEndpoint};
use crate::format::encode_item;
use crate::outcome::outcome_number;
use chalkwalk_balancer::{AttemptOutcome, Endpoint, Snapshot};
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

/// A block is passed to the sink by the next call once it holds this many calls or its first call
/// is this old. A crash loses the calls of the block that is being filled.
const MAX_BLOCK_CALLS: usize = 128;
const MAX_BLOCK_AGE: Span = Span::from_millis(200);

/// The time from one snapshot of the balancer to the next. A snapshot takes a few kilobytes, and a
/// replay that starts in the middle of a long capture finds a snapshot to start from within this
/// time.
const SNAPSHOT_INTERVAL: Span = Span::from_secs(60);

/// Accepts the bytes of an encoded item, or returns `false` if it has no room for them.
pub type Sink = Box<dyn FnMut(Vec<u8>) -> bool>;

/// Records the calls into one balancer.
pub struct Recorder {
    block: CallBlock,
    /// When the last call of the block was made. Never goes back, even if a call's time does.
    last_call: Timestamp,
    /// The number of calls that the sink refused and that no recorded gap includes yet.
    lost_calls: u64,
    sink: Sink,
    record_keys: bool,
    next_snapshot: Timestamp,
    snapshot_interval: Span,
}

impl Recorder {
    /// Creates a recorder that passes its blocks to `sink`. The keys of requests are recorded only
    /// if `record_keys` is set.
    pub fn new(sink: Sink, record_keys: bool) -> Recorder {
        Recorder {
            block: CallBlock::default(),
            last_call: Timestamp::ZERO,
            lost_calls: 0,
            sink,
            record_keys,
            next_snapshot: Timestamp::ZERO,
            snapshot_interval: SNAPSHOT_INTERVAL,
        }
    }

    /// Sets the time from one snapshot to the next.
    pub fn with_snapshot_interval(mut self, interval: Span) -> Recorder {
        self.snapshot_interval = interval;
        self
    }

    /// Records a call into the balancer. Its decisions are added by [`Recorder::record_decision`].
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

    /// Records a decision of the last recorded call.
    pub fn record_decision(&mut self, decision: Decision) {
        if let Some(call) = self.block.calls.last_mut() {
            call.decisions.push(decision);
        }
    }

    /// Whether a snapshot of the balancer is due: once per snapshot interval, and after a gap.
    pub fn is_snapshot_due(&self, now: Timestamp) -> bool {
        now >= self.next_snapshot
    }

    /// Records a snapshot of the balancer's state.
    pub fn record_snapshot(&mut self, now: Timestamp, settings: &BTreeMap<String, String>, state: Snapshot) {
        self.next_snapshot = now + self.snapshot_interval;
        let Snapshot { numbers: words, texts } = state;
        self.record_event(now, Event::Snapshot { settings: settings.clone(), words, texts });
    }

    /// Records that a request was accepted. If `order` is given, only these servers may serve the
    /// request.
    pub fn record_request_accepted(
        &mut self,
        now: Timestamp,
        class: usize,
        key: &str,
        write: bool,
        expires: Timestamp,
        order: Option<&[usize]>,
    ) {
        let point = chalkwalk_balancer::key_point(key);
        let key = if self.record_keys { key.to_string() } else { String::new() };
        let order = order.map(<[usize]>::to_vec);
        self.record_event(now, Event::RequestAccepted { class, point, key, write, expires, order });
    }

    /// Records that an attempt ended. If `order` is given, only these servers may serve the request
    /// from now on.
    #[allow(clippy::too_many_arguments)]
    pub fn record_attempt_ended(
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

    /// Records that service discovery delivered the whole endpoint list, or changes to it.
    pub fn record_endpoints_listed(&mut self, now: Timestamp, whole: bool, endpoints: &[Endpoint]) {
        let endpoints = endpoints.iter().map(RecordedEndpoint::from_endpoint).collect();
        self.record_event(now, Event::EndpointsListed { whole, endpoints });
    }

    /// Passes the current block to the sink. If the sink has refused calls since the last recorded
    /// gap, a gap is passed first.
    pub fn flush(&mut self) {
        if self.block.calls.is_empty() {
            return;
        }
        let block = std::mem::take(&mut self.block);
        let calls = block.calls.len() as u64;
        if self.lost_calls > 0 && (self.sink)(encode_item(&CaptureItem::Gap(self.lost_calls))) {
            self.lost_calls = 0;
            // A replay can't continue after a gap without a snapshot, so one is due at once.
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
