//! One instance: its balancer, and the small indices that stand for the wire's names at its door.

use chalkwalk_balancer::{
    AttemptOutcome, Balancer, Effects, Endpoint, EndpointStatus, RequestId, ServerIndex, StateChange,
};
use chalkwalk_settings::PlatformSettings;
use chalkwalk_settings::fields::{
    FieldResult, JsonObject, flag, integer, integer_or, list, object, size_hundredths, text, text_or,
};
use chalkwalk_time::{Span, Timestamp};
use serde_json::{Value, json};
use std::collections::HashMap;

pub const NANOSECONDS_PER_TICK: u64 = 100_000;

/// Names met so far, in order of appearance.
#[derive(Default)]
struct Door {
    index: HashMap<String, usize>,
    names: Vec<String>,
}

impl Door {
    fn index_of(&mut self, name: &str) -> usize {
        if let Some(i) = self.index.get(name) {
            return *i;
        }
        self.names.push(name.to_string());
        self.index.insert(name.to_string(), self.names.len() - 1);
        self.names.len() - 1
    }
}

pub struct Desk {
    settings: PlatformSettings,
    balancer: Balancer,
    servers: Door,
    zones: Door,
    request_ids: HashMap<u64, RequestId>,
    wire_ids: HashMap<RequestId, u64>,
}

/// Writes what the balancer wants done as actions of the wire.
struct Pen<'a> {
    servers: &'a Door,
    wire_ids: &'a HashMap<RequestId, u64>,
    actions: &'a mut Vec<Value>,
}

impl Effects for Pen<'_> {
    fn start_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerIndex,
        until: Timestamp,
        _by: Timestamp,
    ) {
        let (req, node) = (self.wire_ids[&request_id], &self.servers.names[server]);
        self.actions
            .push(json!({"kind": "ROUTE", "req": req, "node": node, "notPastNs": until.ticks() * NANOSECONDS_PER_TICK}));
    }
    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize) {
        self.actions
            .push(json!({"kind": "ABORT_ATTEMPT", "req": self.wire_ids[&request_id], "trial": attempt}));
    }
    fn reject(&mut self, request_id: RequestId, back_in: Span) {
        let (req, wait) = (self.wire_ids[&request_id], back_in * NANOSECONDS_PER_TICK);
        self.actions.push(json!({"kind": "OVERLOAD_REPLY", "req": req, "retryInNs": wait}));
    }
    fn fail(&mut self, request_id: RequestId) {
        self.actions.push(json!({"kind": "RESPOND_ERROR", "req": self.wire_ids[&request_id]}));
    }
    fn check_health(&mut self, server: ServerIndex) {
        self.actions.push(json!({"kind": "POLL", "node": self.servers.names[server]}));
    }
    fn set_timer(&mut self, token: u64, after: Span) {
        self.actions.push(json!({"kind": "REMIND", "name": token, "offsetNs": after * NANOSECONDS_PER_TICK}));
    }
    fn watch_endpoints(&mut self) {
        self.actions.push(json!({"kind": "SUBSCRIBE", "active": true}));
    }
    fn report(&mut self, change: StateChange) {
        let text = match change.server() {
            Some(server) => format!("{} {server}", change.stored_name()),
            None => change.stored_name().to_string(),
        };
        self.actions.push(json!({"kind": "REMARK", "noteText": text}));
    }
}

fn place_of(names: &[String], name: &str, field: &str, what: &str) -> FieldResult<usize> {
    let unknown = || format!("field {field}: expected a {what} named in the settings, got \"{name}\"").into();
    names.iter().position(|n| n == name).ok_or_else(unknown)
}

fn outcome(reason: &str) -> FieldResult<AttemptOutcome> {
    Ok(match reason {
        "done" => AttemptOutcome::Completed,
        "enoent" => AttemptOutcome::CacheMiss,
        "err" => AttemptOutcome::ServerError,
        "busy" => AttemptOutcome::Overloaded,
        "etimedout" => AttemptOutcome::TimedOut,
        "econnrefused" => AttemptOutcome::Unreachable,
        "econnreset" => AttemptOutcome::ConnectionLost,
        "ecanceled" => AttemptOutcome::Cancelled,
        "skipped" => AttemptOutcome::NotSent,
        other => return Err(format!("field reason: expected an outcome code, got \"{other}\"").into()),
    })
}

/// What is wrong with a list's entries, if anything, before any instance acts on them.
pub fn endpoints(inventory: &JsonObject) -> FieldResult<Vec<JsonObject>> {
    let read = list(inventory, "entries")?.iter().map(|v| {
        let e = object(v, "field entries")?;
        for name in ["node", "dc", "model"] {
            text(e, name)?;
        }
        status(text(e, "state")?)?;
        integer_or(e, "cluster", 0)?;
        integer_or(e, "bornNs", 0)?;
        Ok(e.clone())
    });
    read.collect()
}

fn status(state: &str) -> FieldResult<EndpointStatus> {
    match state {
        "in_service" => Ok(EndpointStatus::Ready),
        "terminating" => Ok(EndpointStatus::Draining),
        "terminated" => Ok(EndpointStatus::Gone),
        other => Err(format!("field state: expected a state of a cache node, got \"{other}\"").into()),
    }
}

impl Desk {
    pub fn open(up: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<Desk> {
        let seed = integer(up, "randomSeed")?;
        let options = up.get("options").ok_or("field options: missing, expected an object")?;
        let settings = chalkwalk_settings::read(object(options, "field options")?)?;
        let mut zones = Door::default();
        settings.zones.iter().for_each(|z| {
            zones.index_of(z);
        });
        let servers = Door::default();
        let pen = &mut Pen { servers: &servers, wire_ids: &HashMap::new(), actions };
        Ok(Desk {
            balancer: Balancer::new(seed, &settings.values, pen),
            settings,
            servers,
            zones,
            request_ids: HashMap::new(),
            wire_ids: HashMap::new(),
        })
    }

    pub fn event(
        &mut self,
        now: Timestamp,
        kind: &str,
        event: &JsonObject,
        lists: &HashMap<u64, Vec<JsonObject>>,
        actions: &mut Vec<Value>,
    ) -> FieldResult<()> {
        self.balancer.advance_clock(now);
        match kind {
            "MEMBERS" => return self.members(event, lists, actions),
            "KNOCK" => return self.knock(event, actions),
            _ => {}
        }
        // What the balancer may still be told about, before the pen borrows the door.
        let request_id = match kind {
            "CANCELLED_BY_CLIENT" | "DONE" | "ACCEPTED" => {
                let req = integer(event, "req")?;
                self.request_ids.get(&req).map(|request_id| (req, *request_id))
            }
            _ => None,
        };
        let node = match kind {
            "DONE" | "ACCEPTED" | "HEALTH_RESULT" => Some(text(event, "node")?),
            _ => None,
        };
        let pen = &mut Pen { servers: &self.servers, wire_ids: &self.wire_ids, actions };
        let balancer = &mut self.balancer;
        match kind {
            "DONE" => {
                let (attempt, reason) = (integer(event, "trial")?, outcome(text(event, "reason")?)?);
                let took = integer(event, "latencyNs")? / NANOSECONDS_PER_TICK;
                let how = match (reason, integer_or(event, "info", 0)?) {
                    (AttemptOutcome::Completed, 1) => AttemptOutcome::CompletedFromCache,
                    (AttemptOutcome::Completed, 2) => AttemptOutcome::CompletedByFetch,
                    (reason, _) => reason,
                };
                let finished = flag(event, "finished")?;
                if let Some((_, request_id)) = request_id {
                    balancer.attempt_ended(
                        request_id,
                        attempt as usize,
                        how,
                        Span::from_ticks(took),
                        finished,
                        pen,
                    );
                }
            }
            "ACCEPTED" => {
                let attempt = integer(event, "trial")?;
                if let Some((_, request_id)) = request_id {
                    balancer.response_started(request_id, attempt as usize, pen);
                }
            }
            "CANCELLED_BY_CLIENT" => {
                if let Some((_, request_id)) = request_id {
                    balancer.client_left(request_id, pen);
                }
            }
            "WAKEUP" => balancer.timer_fired(integer(event, "name")?, pen),
            "HEALTH_RESULT" => {
                let answered = outcome(text(event, "reason")?)? == AttemptOutcome::Completed;
                if let Some(server) = node.and_then(|n| self.servers.index.get(n)) {
                    balancer.health_check_finished(*server, answered, pen);
                }
            }
            "FROM_PEER" => {
                integer(event, "srcPeer")?;
                text_or(event, "bytes", "")?;
            }
            other => return Err(format!("field kind: expected an event of the wire, got \"{other}\"").into()),
        }
        if kind == "WAKEUP" {
            // A wake may end any request, not only its own.
            self.sweep();
        } else if let Some((req, request_id)) =
            request_id.filter(|(_, request_id)| !self.balancer.knows_request(*request_id))
        {
            self.request_ids.remove(&req);
            self.wire_ids.remove(&request_id);
        }
        Ok(())
    }

    /// Drops ids that the balancer is done with, now and then, so that a long day stays small.
    fn sweep(&mut self) {
        if self.wire_ids.len() > 2 * self.balancer.open_requests() + 1000 {
            self.wire_ids.retain(|request_id, _| self.balancer.knows_request(*request_id));
            self.request_ids.retain(|_, request_id| self.balancer.knows_request(*request_id));
        }
    }

    fn knock(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let req = integer(event, "req")?;
        let ns = place_of(&self.settings.namespaces, text(event, "service")?, "service", "namespace")?;
        let tenant = text_or(event, "project", "")?;
        if !tenant.is_empty() {
            place_of(&self.settings.tenants, tenant, "project", "tenant")?;
        }
        let key = text_or(event, "routeKey", "")?;
        let expires = integer(event, "expiresNs")? / NANOSECONDS_PER_TICK;
        flag(event, "retry")?;
        let write = flag(event, "isWrite")?;
        let request_id = self.balancer.accept_request(ns, key, write, Timestamp::from_ticks(expires));
        self.request_ids.insert(req, request_id);
        self.wire_ids.insert(request_id, req);
        let mut pen = Pen { servers: &self.servers, wire_ids: &self.wire_ids, actions };
        self.balancer.route_request(request_id, &mut pen);
        Ok(())
    }

    fn members(
        &mut self,
        event: &JsonObject,
        lists: &HashMap<u64, Vec<JsonObject>>,
        actions: &mut Vec<Value>,
    ) -> FieldResult<()> {
        let scope = text(event, "scope")?;
        let mut endpoints = Vec::new();
        if scope != "Error" {
            let number = integer(event, "buffer")?;
            let undeclared = || format!("field buffer: expected the number of a declared list, got {number}");
            for e in lists.get(&number).ok_or_else(undeclared)? {
                endpoints.push(Endpoint {
                    server: self.servers.index_of(text(e, "node")?),
                    id: text(e, "node")?,
                    zone: self.zones.index_of(text(e, "dc")?),
                    kind: place_of(&self.settings.kinds, text(e, "model")?, "model", "kind")?,
                    cell: integer_or(e, "cluster", 0)?,
                    size: size_hundredths(e, "powerHint")?,
                    status: status(text(e, "state")?)?,
                    born: Timestamp::from_ticks(integer_or(e, "bornNs", 0)? / NANOSECONDS_PER_TICK),
                });
            }
        }
        let pen = &mut Pen { servers: &self.servers, wire_ids: &self.wire_ids, actions };
        match scope {
            "Partial" => self.balancer.update_endpoints(&endpoints, pen),
            "Complete" | "Persisted" => self.balancer.replace_endpoints(&endpoints, pen),
            "Error" => self.balancer.discovery_call_failed(Span::ZERO, pen),
            other => return Err(format!("field scope: expected a kind of list, got \"{other}\"").into()),
        }
        Ok(())
    }
}
