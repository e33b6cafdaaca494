//! Speaks the simulator's wire: a batch of events a line in, a reply a line out. Hosts instances that share
//! nothing and decides nothing.

mod desk;

use chalkwalk_settings::fields::{FieldResult, JsonObject, integer, list, object, text};
use chalkwalk_time::Timestamp;
use desk::{Desk, NANOSECONDS_PER_TICK};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;

/// An instance that was killed stays declared, so that a stray event for it is no error.
#[derive(Default)]
struct Hall {
    desks: HashMap<u64, Option<Desk>>,
    lists: HashMap<u64, Vec<JsonObject>>,
}

impl Hall {
    fn batch(&mut self, line: &str) -> FieldResult<Value> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let batch = object(&batch, "batch")?;
        let now = integer(batch, "tsNs")? / NANOSECONDS_PER_TICK;
        let mut groups = Vec::new();
        for group in list(batch, "groups")? {
            let group = object(group, "field groups")?;
            let mut actions = Vec::new();
            let proxy = group.get("proxy").map_or(Ok(None), |_| integer(group, "proxy").map(Some))?;
            for event in list(group, "happened")? {
                let event = object(event, "field happened")?;
                let kind = text(event, "kind")?;
                let told = self.event(now, proxy, kind, event, &mut actions);
                told.map_err(|e| format!("{kind}: {e}"))?;
            }
            if !actions.is_empty() {
                groups.push(json!({"proxy": proxy, "actions": actions}));
            }
        }
        Ok(json!({ "groups": groups }))
    }

    fn event(
        &mut self,
        now: u64,
        proxy: Option<u64>,
        kind: &str,
        event: &JsonObject,
        actions: &mut Vec<Value>,
    ) -> FieldResult<()> {
        if kind == "INVENTORY" {
            self.lists.insert(integer(event, "buffer")?, desk::endpoints(event)?);
            return Ok(());
        }
        let proxy = proxy.ok_or("field proxy: missing, expected a whole number")?;
        match kind {
            "UP" => {
                self.desks.insert(proxy, Some(Desk::open(event, actions)?));
                return Ok(());
            }
            "CRASH_NOW" => actions.clear(),
            _ => {}
        }
        let undeclared = || format!("field proxy: expected an instance that is up, got {proxy}");
        match self.desks.get_mut(&proxy).ok_or_else(undeclared)? {
            seat if kind == "CRASH_NOW" => *seat = None,
            Some(desk) => desk.event(Timestamp::from_ticks(now), kind, event, &self.lists, actions)?,
            None => {}
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut hall = Hall::default();
    let (mut line, mut number) = (String::new(), 0u64);
    let fault = loop {
        line.clear();
        number += 1;
        match input.read_line(&mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) => {}
            Err(e) => break format!("cannot read: {e}"),
        }
        let reply = match hall.batch(&line) {
            Ok(reply) => reply,
            Err(fault) => break fault.to_string(),
        };
        if let Err(e) = writeln!(output, "{reply}").and_then(|()| output.flush()) {
            break format!("cannot write: {e}");
        }
    };
    eprintln!("chalkwalk-simulator-adapter: line {number}: {fault}");
    ExitCode::from(2)
}
