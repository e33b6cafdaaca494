//! One instance: a balancer, called for each event of the wire with its own types. Decides nothing.

use crate::actions::ActionWriter;
use crate::fields::{NANOSECONDS_PER_TICK, index_in, outcome, span, status, timestamp, with_source};
use crate::names::Names;
use chalkwalk_balancer::{AttemptOutcome, Balancer, Endpoint, RequestId};
use chalkwalk_settings::PlatformSettings;
use chalkwalk_settings::fields::{
    FieldResult, JsonObject, flag, integer, integer_or, object, size_hundredths, text, text_or,
};
use chalkwalk_time::{Span, Timestamp};
use serde_json::Value;
use std::collections::HashMap;

/// Requests that are done with are dropped once there are so many beyond twice the open ones.
const DROPPED_AT_ONCE: usize = 1000;

/// The lists of servers that were declared, by number.
pub type Lists = HashMap<u64, Vec<JsonObject>>;

/// A proxy of the simulator.
pub struct Instance {
    settings: PlatformSettings,
    balancer: Balancer,
    names: Names,
}

impl Instance {
    /// Starts an instance with the settings of the event.
    pub fn start(event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<Instance> {
        let seed = integer(event, "randomSeed")?;
        let options = event.get("options").ok_or("field options: missing, expected an object")?;
        let settings = chalkwalk_settings::read(object(options, "field options")?)?;
        let mut names = Names::default();
        for zone in &settings.zones {
            names.zones.index_of(zone);
        }
        let balancer = Balancer::new(seed, &settings.values, &mut ActionWriter::new(&names, actions));
        Ok(Instance { settings, balancer, names })
    }

    /// Something has happened.
    pub fn handle(
        &mut self,
        now: Timestamp,
        kind: &str,
        event: &JsonObject,
        lists: &Lists,
        actions: &mut Vec<Value>,
    ) -> FieldResult<()> {
        self.balancer.advance_clock(now);
        match kind {
            "MEMBERS" => self.endpoints_listed(event, lists, actions),
            "KNOCK" => self.request_arrived(event, actions),
            "DONE" => self.attempt_ended(event, actions),
            "ACCEPTED" => self.response_started(event, actions),
            "CANCELLED_BY_CLIENT" => self.client_left(event, actions),
            "WAKEUP" => self.timer_fired(event, actions),
            "HEALTH_RESULT" => self.health_check_finished(event, actions),
            "FROM_PEER" => {
                integer(event, "srcPeer")?;
                text_or(event, "bytes", "")?;
                Ok(())
            }
            other => Err(format!("field kind: expected an event of the wire, got \"{other}\"").into()),
        }
    }

    fn endpoints_listed(
        &mut self,
        event: &JsonObject,
        lists: &Lists,
        actions: &mut Vec<Value>,
    ) -> FieldResult<()> {
        let scope = text(event, "scope")?;
        let mut endpoints = Vec::new();
        if scope != "Error" {
            let number = integer(event, "buffer")?;
            let undeclared = || format!("field buffer: expected the number of a declared list, got {number}");
            for entry in lists.get(&number).ok_or_else(undeclared)? {
                endpoints.push(endpoint(entry, &mut self.names, &self.settings)?);
            }
        }
        let writer = &mut ActionWriter::new(&self.names, actions);
        match scope {
            "Partial" => self.balancer.update_endpoints(&endpoints, writer),
            "Complete" | "Persisted" => self.balancer.replace_endpoints(&endpoints, writer),
            "Error" => self.balancer.discovery_call_failed(Span::ZERO, writer),
            other => return Err(format!("field scope: expected a kind of list, got \"{other}\"").into()),
        }
        Ok(())
    }

    fn request_arrived(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let number = integer(event, "req")?;
        let namespace = text(event, "service")?;
        let class = index_in(&self.settings.namespaces, namespace, "service", "namespace")?;
        let tenant = text_or(event, "project", "")?;
        if !tenant.is_empty() {
            index_in(&self.settings.tenants, tenant, "project", "tenant")?;
        }
        let key = text_or(event, "routeKey", "")?;
        let expires = timestamp(event, "expiresNs")?;
        flag(event, "retry")?;
        let write = flag(event, "isWrite")?;
        let request_id = self.balancer.accept_request(class, key, write, expires);
        self.names.requests.insert(number, request_id);
        self.balancer.route_request(request_id, &mut ActionWriter::new(&self.names, actions));
        Ok(())
    }

    fn attempt_ended(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let number = integer(event, "req")?;
        text(event, "node")?;
        let attempt = integer(event, "trial")? as usize;
        let outcome = outcome(event)?;
        let took = span(event, "latencyNs")?;
        let outcome = with_source(outcome, event)?;
        let finished = flag(event, "finished")?;
        if let Some(request_id) = self.names.requests.id(number) {
            let writer = &mut ActionWriter::new(&self.names, actions);
            self.balancer.attempt_ended(request_id, attempt, outcome, took, finished, writer);
            self.forget_if_done(number, request_id);
        }
        Ok(())
    }

    fn response_started(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let number = integer(event, "req")?;
        text(event, "node")?;
        let attempt = integer(event, "trial")? as usize;
        if let Some(request_id) = self.names.requests.id(number) {
            let writer = &mut ActionWriter::new(&self.names, actions);
            self.balancer.response_started(request_id, attempt, writer);
            self.forget_if_done(number, request_id);
        }
        Ok(())
    }

    fn client_left(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let number = integer(event, "req")?;
        if let Some(request_id) = self.names.requests.id(number) {
            self.balancer.client_left(request_id, &mut ActionWriter::new(&self.names, actions));
            self.forget_if_done(number, request_id);
        }
        Ok(())
    }

    fn timer_fired(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let token = integer(event, "name")?;
        self.balancer.timer_fired(token, &mut ActionWriter::new(&self.names, actions));
        // A timer may end any request, not only its own.
        self.forget_many();
        Ok(())
    }

    fn health_check_finished(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let node = text(event, "node")?;
        let passed = outcome(event)? == AttemptOutcome::Completed;
        if let Some(server) = self.names.servers.known(node) {
            let writer = &mut ActionWriter::new(&self.names, actions);
            self.balancer.health_check_finished(server, passed, writer);
        }
        Ok(())
    }

    fn forget_if_done(&mut self, number: u64, request_id: RequestId) {
        if !self.balancer.knows_request(request_id) {
            self.names.requests.remove(number, request_id);
        }
    }

    /// Forgets the requests that the balancer is done with, now and then, so that a long day stays small.
    fn forget_many(&mut self) {
        if self.names.requests.len() > 2 * self.balancer.open_requests() + DROPPED_AT_ONCE {
            self.names.requests.retain(|request_id| self.balancer.knows_request(request_id));
        }
    }
}

/// An entry of a list; its server and its zone have an index from then on.
fn endpoint<'a>(
    entry: &'a JsonObject,
    names: &mut Names,
    settings: &PlatformSettings,
) -> FieldResult<Endpoint<'a>> {
    let id = text(entry, "node")?;
    Ok(Endpoint {
        server: names.servers.index_of(id),
        id,
        zone: names.zones.index_of(text(entry, "dc")?),
        kind: index_in(&settings.kinds, text(entry, "model")?, "model", "kind")?,
        cell: integer_or(entry, "cluster", 0)?,
        size: size_hundredths(entry, "powerHint")?,
        status: status(entry)?,
        born: Timestamp::from_ticks(integer_or(entry, "bornNs", 0)? / NANOSECONDS_PER_TICK),
    })
}
