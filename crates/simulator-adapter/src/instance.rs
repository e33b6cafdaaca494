//! One simulated proxy: translates each event of the simulator's protocol into a call into the
//! balancer. Makes no decisions.

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

/// Finished requests are removed once the known requests exceed twice the open ones by this many.
const MAX_EXTRA_FINISHED_REQUESTS: usize = 1000;

/// The endpoint lists that the simulator has declared, by number.
pub type EndpointLists = HashMap<u64, Vec<JsonObject>>;

/// A simulated proxy: a balancer and the names that map its indices and ids to the protocol's.
pub struct Instance {
    settings: PlatformSettings,
    balancer: Balancer,
    names: Names,
}

impl Instance {
    /// Starts an instance with the seed and the settings of an `UP` event.
    pub fn start(event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<Instance> {
        let seed = integer(event, "randomSeed")?;
        let options = event.get("options").ok_or("field options: missing, expected an object")?;
        let settings = chalkwalk_settings::read(object(options, "field options")?)?;
        let mut names = Names::default();
        for zone in &settings.zones {
            names.zones.get_or_insert(zone);
        }
        let balancer = Balancer::new(seed, &settings.values, &mut ActionWriter::new(&names, actions));
        Ok(Instance { settings, balancer, names })
    }

    /// Handles an event of the given kind.
    pub fn handle(
        &mut self,
        now: Timestamp,
        kind: &str,
        event: &JsonObject,
        lists: &EndpointLists,
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
            other => Err(format!("field kind: expected a known kind of event, got \"{other}\"").into()),
        }
    }

    fn endpoints_listed(
        &mut self,
        event: &JsonObject,
        lists: &EndpointLists,
        actions: &mut Vec<Value>,
    ) -> FieldResult<()> {
        let scope = text(event, "scope")?;
        let mut endpoints = Vec::new();
        if scope != "Error" {
            let list_number = integer(event, "buffer")?;
            let undeclared =
                || format!("field buffer: expected the number of a declared list, got {list_number}");
            for entry in lists.get(&list_number).ok_or_else(undeclared)? {
                endpoints.push(endpoint(entry, &mut self.names, &self.settings)?);
            }
        }
        let writer = &mut ActionWriter::new(&self.names, actions);
        match scope {
            "Partial" => self.balancer.update_endpoints(&endpoints, writer),
            "Complete" | "Persisted" => self.balancer.replace_endpoints(&endpoints, writer),
            "Error" => self.balancer.discovery_call_failed(Span::ZERO, writer),
            other => return Err(format!("field scope: expected a known list scope, got \"{other}\"").into()),
        }
        Ok(())
    }

    fn request_arrived(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let request_number = integer(event, "req")?;
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
        self.names.requests.insert(request_number, request_id);
        self.balancer.route_request(request_id, &mut ActionWriter::new(&self.names, actions));
        Ok(())
    }

    fn attempt_ended(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let request_number = integer(event, "req")?;
        text(event, "node")?;
        let attempt = integer(event, "trial")? as usize;
        let outcome = outcome(event)?;
        let took = span(event, "latencyNs")?;
        let outcome = with_source(outcome, event)?;
        let finished = flag(event, "finished")?;
        if let Some(request_id) = self.names.requests.id(request_number) {
            let writer = &mut ActionWriter::new(&self.names, actions);
            self.balancer.attempt_ended(request_id, attempt, outcome, took, finished, writer);
            self.remove_if_finished(request_number, request_id);
        }
        Ok(())
    }

    fn response_started(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let request_number = integer(event, "req")?;
        text(event, "node")?;
        let attempt = integer(event, "trial")? as usize;
        if let Some(request_id) = self.names.requests.id(request_number) {
            let writer = &mut ActionWriter::new(&self.names, actions);
            self.balancer.response_started(request_id, attempt, writer);
            self.remove_if_finished(request_number, request_id);
        }
        Ok(())
    }

    fn client_left(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let request_number = integer(event, "req")?;
        if let Some(request_id) = self.names.requests.id(request_number) {
            self.balancer.client_disconnected(request_id, &mut ActionWriter::new(&self.names, actions));
            self.remove_if_finished(request_number, request_id);
        }
        Ok(())
    }

    fn timer_fired(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let token = integer(event, "name")?;
        self.balancer.timer_fired(token, &mut ActionWriter::new(&self.names, actions));
        // A timer may finish any request, not only the one that it was set for.
        self.remove_finished();
        Ok(())
    }

    fn health_check_finished(&mut self, event: &JsonObject, actions: &mut Vec<Value>) -> FieldResult<()> {
        let node = text(event, "node")?;
        let passed = outcome(event)? == AttemptOutcome::Completed;
        if let Some(server) = self.names.servers.get(node) {
            let writer = &mut ActionWriter::new(&self.names, actions);
            self.balancer.health_check_finished(server, passed, writer);
        }
        Ok(())
    }

    fn remove_if_finished(&mut self, request_number: u64, request_id: RequestId) {
        if !self.balancer.is_known_request(request_id) {
            self.names.requests.remove(request_number, request_id);
        }
    }

    /// Removes the requests that the balancer has finished once there are many of them, so that
    /// memory use stays bounded in a long simulation.
    fn remove_finished(&mut self) {
        if self.names.requests.len() > 2 * self.balancer.open_request_count() + MAX_EXTRA_FINISHED_REQUESTS {
            self.names.requests.retain(|request_id| self.balancer.is_known_request(request_id));
        }
    }
}

/// Converts an entry of an endpoint list. Assigns indices to its server and its zone if they have
/// none.
fn endpoint<'a>(
    entry: &'a JsonObject,
    names: &mut Names,
    settings: &PlatformSettings,
) -> FieldResult<Endpoint<'a>> {
    let id = text(entry, "node")?;
    Ok(Endpoint {
        server: names.servers.get_or_insert(id),
        id,
        zone: names.zones.get_or_insert(text(entry, "dc")?),
        kind: index_in(&settings.kinds, text(entry, "model")?, "model", "kind")?,
        cell: integer_or(entry, "cluster", 0)?,
        weight_hundredths: size_hundredths(entry, "powerHint")?,
        status: status(entry)?,
        started_at: Timestamp::from_ticks(integer_or(entry, "bornNs", 0)? / NANOSECONDS_PER_TICK),
    })
}
