//! Translates the balancer's effects into actions of the simulator's protocol.

use crate::fields::NANOSECONDS_PER_TICK;
use crate::names::Names;
use chalkwalk_balancer::{Effects, RequestId, ServerIndex, StateChange};
use chalkwalk_time::{Span, Timestamp};
use serde_json::{Value, json};

/// Appends an action to `actions` for each effect of the balancer.
pub struct ActionWriter<'a> {
    names: &'a Names,
    actions: &'a mut Vec<Value>,
}

impl<'a> ActionWriter<'a> {
    /// Creates a writer for the effects of one call into the balancer.
    pub fn new(names: &'a Names, actions: &'a mut Vec<Value>) -> ActionWriter<'a> {
        ActionWriter { names, actions }
    }

    fn number(&self, request_id: RequestId) -> u64 {
        self.names.requests.number(request_id)
    }
}

impl Effects for ActionWriter<'_> {
    fn start_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerIndex,
        deadline: Timestamp,
        _write_deadline: Timestamp,
    ) {
        self.actions.push(json!({
            "kind": "ROUTE",
            "req": self.number(request_id),
            "node": self.names.servers.name(server),
            "notPastNs": deadline.ticks() * NANOSECONDS_PER_TICK,
        }));
    }
    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize) {
        self.actions.push(json!({"kind": "ABORT_ATTEMPT", "req": self.number(request_id), "trial": attempt}));
    }
    fn reject(&mut self, request_id: RequestId, retry_after: Span) {
        self.actions.push(json!({
            "kind": "OVERLOAD_REPLY",
            "req": self.number(request_id),
            "retryInNs": retry_after * NANOSECONDS_PER_TICK,
        }));
    }
    fn fail(&mut self, request_id: RequestId) {
        self.actions.push(json!({"kind": "RESPOND_ERROR", "req": self.number(request_id)}));
    }
    fn check_health(&mut self, server: ServerIndex) {
        self.actions.push(json!({"kind": "POLL", "node": self.names.servers.name(server)}));
    }
    fn set_timer(&mut self, token: u64, after: Span) {
        self.actions.push(json!({"kind": "REMIND", "name": token, "offsetNs": after * NANOSECONDS_PER_TICK}));
    }
    fn watch_endpoints(&mut self) {
        self.actions.push(json!({"kind": "SUBSCRIBE", "active": true}));
    }
    fn report(&mut self, change: StateChange) {
        let note_text = match change.server() {
            Some(server) => format!("{} {server}", change.stored_name()),
            None => change.stored_name().to_string(),
        };
        self.actions.push(json!({"kind": "REMARK", "noteText": note_text}));
    }
}
