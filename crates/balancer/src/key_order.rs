//! Decides whose turn it is among the requests with one key, where their class asks for order: one at a time, as accepted, and
//! none for the stated time after an attempt that may still run.
//!
//! Inputs: the end of each request with a key, and attempts that may still run.

use crate::hash::key_point;
use crate::snapshot::stored;
use crate::types::RequestId;
use chalkwalk_time::{Span, Timestamp};
use std::collections::HashMap;

/// More than ever come to their turn while they are of use.
const MAX_QUEUE_LENGTH: usize = 100;

/// The requests with one key.
#[derive(Default)]
struct KeyQueue {
    /// Until it is over and all its attempts have ended.
    active: Option<RequestId>,
    /// As accepted.
    waiting: Vec<RequestId>,
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

/// What a request does that has to keep to the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// It is sent now.
    Now,
    /// It waits for those before it.
    Wait,
    /// Its turn can't come while it is of use.
    Never,
}

/// What is done next with the queue of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    Nothing,
    /// The first of those that wait looks again after so long, when the key has been quiet long enough.
    Later(RequestId, Span),
    /// It is this request's turn.
    Start(RequestId),
}

impl KeyOrder {
    /// The turn of a request that is of use until `useful_until`, where half of all answers come within `typical`.
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
        let expected = queue.quiet_until.max(now + median_latency * (queue.waiting.len() as u64 + 1));
        if queue.waiting.len() >= MAX_QUEUE_LENGTH || expected >= useful_until {
            return Turn::Never;
        }
        queue.waiting.push(request_id);
        Turn::Wait
    }

    /// An attempt for a key may still run: no other request with the key is sent until then.
    pub fn start_quiet_period(&mut self, key: u64, until: Timestamp) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.quiet_until = until;
        }
    }

    /// A request is over.
    pub fn leave(&mut self, key: u64, request_id: RequestId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.waiting.retain(|other| *other != request_id);
            queue.active = queue.active.filter(|active| *active != request_id);
        }
    }

    /// Goes on with the queue of a key, once its first is over and the key has been quiet.
    pub fn advance(&mut self, key: u64, now: Timestamp) -> Next {
        let Some(queue) = self.queues.get_mut(&key) else { return Next::Nothing };
        if queue.active.is_some() || queue.waiting.is_empty() {
            return Next::Nothing;
        }
        if now < queue.quiet_until {
            return Next::Later(queue.waiting[0], queue.quiet_until - now);
        }
        let first = queue.waiting.remove(0);
        queue.active = Some(first);
        Next::Start(first)
    }

    /// A second has passed: queues that nothing depends on go.
    pub fn drop_idle(&mut self, now: Timestamp) {
        self.queues.retain(|_, queue| !queue.is_idle() || now < queue.quiet_until);
    }
}
