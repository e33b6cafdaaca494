//! Decides which of the requests with one key runs next, if their class runs requests in order: one
//! at a time in the order of acceptance, and none for a configured time after an attempt that may
//! still run.
//!
//! Inputs: the end of each request with a key, and attempts that may still run.

use crate::hash::key_point;
use crate::snapshot::stored;
use crate::types::RequestId;
use chalkwalk_time::{Span, Timestamp};
use std::collections::HashMap;

/// The longest queue of a key. Further requests would not get their turn while their answers are
/// still useful.
const MAX_QUEUE_LENGTH: usize = 100;

/// The requests with one key.
#[derive(Default)]
struct KeyQueue {
    /// The running request, until it is closed and all its attempts have ended.
    active: Option<RequestId>,
    /// The waiting requests, in the order of acceptance.
    waiting: Vec<RequestId>,
    /// The end of the quiet period: no request with the key is sent before it.
    quiet_until: Timestamp,
}

stored! { KeyQueue { active, waiting, quiet_until } }

impl KeyQueue {
    fn is_idle(&self) -> bool {
        self.active.is_none() && self.waiting.is_empty()
    }
}

/// The queues of all keys whose requests run in order.
#[derive(Default)]
pub(crate) struct KeyOrder {
    queues: HashMap<u64, KeyQueue>,
}

stored! { KeyOrder { queues } }

/// What a request that runs in order does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// The request is sent now.
    Now,
    /// The request waits for those before it.
    Wait,
    /// The request's turn can't come while an answer is still useful.
    Never,
}

/// The next step for the queue of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    Nothing,
    /// The first waiting request tries again after this time, when the quiet period of the key is
    /// over.
    Later(RequestId, Span),
    /// It is this request's turn.
    Start(RequestId),
}

impl KeyOrder {
    /// The turn of a request whose answer is useful until `useful_until`. `median_latency` predicts
    /// when each waiting request ends. Requests without a key are not ordered.
    pub fn enter(
        &mut self,
        key: u64,
        request_id: RequestId,
        now: Timestamp,
        median_latency: Span,
        useful_until: Timestamp,
    ) -> Turn {
        if key == key_point("") {
            return Turn::Now;
        }
        let queue = self.queues.entry(key).or_default();
        if queue.is_idle() && now >= queue.quiet_until {
            queue.active = Some(request_id);
        }
        if queue.active == Some(request_id) {
            return Turn::Now;
        }
        let expected_turn = queue.quiet_until.max(now + median_latency * (queue.waiting.len() as u64 + 1));
        if queue.waiting.len() >= MAX_QUEUE_LENGTH || expected_turn >= useful_until {
            return Turn::Never;
        }
        queue.waiting.push(request_id);
        Turn::Wait
    }

    /// Holds back other requests with the key until `until`, as an attempt for the key may still
    /// run.
    pub fn start_quiet_period(&mut self, key: u64, until: Timestamp) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.quiet_until = until;
        }
    }

    /// Removes a request that is closed.
    pub fn leave(&mut self, key: u64, request_id: RequestId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.waiting.retain(|other| *other != request_id);
            queue.active = queue.active.filter(|active| *active != request_id);
        }
    }

    /// Starts the next request of a key, once the active one has ended and the quiet period is
    /// over.
    pub fn advance(&mut self, key: u64, now: Timestamp) -> NextStep {
        let Some(queue) = self.queues.get_mut(&key) else { return NextStep::Nothing };
        if queue.active.is_some() || queue.waiting.is_empty() {
            return NextStep::Nothing;
        }
        if now < queue.quiet_until {
            return NextStep::Later(queue.waiting[0], queue.quiet_until - now);
        }
        let next_request = queue.waiting.remove(0);
        queue.active = Some(next_request);
        NextStep::Start(next_request)
    }

    /// Drops idle queues whose quiet period is over; called once a second.
    pub fn drop_idle(&mut self, now: Timestamp) {
        self.queues.retain(|_, queue| !queue.is_idle() || now < queue.quiet_until);
    }
}
