//! The simulated proxies of one simulator, which share no state, and the batches of events that it
//! sends them.

use crate::fields::{list_entries, timestamp};
use crate::instance::{EndpointLists, Instance};
use chalkwalk_settings::fields::{FieldResult, JsonObject, integer, list, object, text};
use chalkwalk_time::Timestamp;
use serde_json::{Value, json};
use std::collections::HashMap;

/// All instances, and the endpoint lists that the simulator has declared for them.
#[derive(Default)]
pub struct Instances {
    /// The instances by number. A crashed instance stays as `None`, so that a late event for it is
    /// no error.
    instances: HashMap<u64, Option<Instance>>,
    lists: EndpointLists,
}

impl Instances {
    /// Handles one line of the protocol and returns the reply: the actions for each group of
    /// events.
    pub fn handle_batch(&mut self, line: &str) -> FieldResult<Value> {
        let batch: Value = serde_json::from_str(line).map_err(|error| format!("not JSON: {error}"))?;
        let batch = object(&batch, "batch")?;
        let now = timestamp(batch, "tsNs")?;
        let mut groups = Vec::new();
        for group in list(batch, "groups")? {
            let group = object(group, "field groups")?;
            let proxy = group.get("proxy").map_or(Ok(None), |_| integer(group, "proxy").map(Some))?;
            let actions = self.handle_group(now, proxy, group)?;
            if !actions.is_empty() {
                groups.push(json!({"proxy": proxy, "actions": actions}));
            }
        }
        Ok(json!({ "groups": groups }))
    }

    fn handle_group(
        &mut self,
        now: Timestamp,
        proxy: Option<u64>,
        group: &JsonObject,
    ) -> FieldResult<Vec<Value>> {
        let mut actions = Vec::new();
        for event in list(group, "happened")? {
            let event = object(event, "field happened")?;
            let kind = text(event, "kind")?;
            self.handle_event(now, proxy, kind, event, &mut actions)
                .map_err(|error| format!("{kind}: {error}"))?;
        }
        Ok(actions)
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        proxy: Option<u64>,
        kind: &str,
        event: &JsonObject,
        actions: &mut Vec<Value>,
    ) -> FieldResult<()> {
        if kind == "INVENTORY" {
            self.lists.insert(integer(event, "buffer")?, list_entries(event)?);
            return Ok(());
        }
        let proxy = proxy.ok_or("field proxy: missing, expected a whole number")?;
        if kind == "UP" {
            self.instances.insert(proxy, Some(Instance::start(event, actions)?));
            return Ok(());
        }
        if kind == "CRASH_NOW" {
            actions.clear();
        }
        let undeclared = || format!("field proxy: expected an instance that is up, got {proxy}");
        let instance = self.instances.get_mut(&proxy).ok_or_else(undeclared)?;
        if kind == "CRASH_NOW" {
            *instance = None;
        } else if let Some(instance) = instance {
            instance.handle(now, kind, event, &self.lists, actions)?;
        }
        Ok(())
    }
}
