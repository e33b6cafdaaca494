//! The platform: the configuration that it hands a proxy, and its list of servers as a source.
//!
//! It may use `engine`, `http1`, `limits`, `net` and `values`. A door never enters it, nor another source.

mod call;
mod list;
mod shape;
mod terms;

pub use list::{DiscoveryAddress, apply_last_known_list, watch_endpoint_list};
pub use shape::FieldPaths;

use chalkwalk_engine::config::EngineConfig;
use chalkwalk_http1 as http1;
use chalkwalk_limits::{Idempotency, Namespace, PlatformLimits};
use chalkwalk_settings::PlatformSettings;
use chalkwalk_settings::fields::{FieldResult, JsonObject, integer, object, text, text_or};
use chalkwalk_time::Span;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// What the platform tells a proxy at its start.
pub struct StartupConfig {
    pub listen: SocketAddr,
    /// Where operators call, if they do.
    pub admin_address: Option<SocketAddr>,
    /// Where the platform's list is, if there is one.
    pub list_address: Option<SocketAddr>,
    /// The list as this proxy last had it.
    pub last_known_list: Value,
    pub namespaces: Vec<String>,
    pub engine: EngineConfig,
    /// What it has said at all.
    pub fields: FieldPaths,
}

pub fn address(said: &str, what: &str) -> FieldResult<SocketAddr> {
    said.parse().map_err(|_| format!("{what}: expected an address and a port, got \"{said}\"").into())
}

/// No house allows more: what is above is a slip of the pen.
const MAX_ATTEMPTS: f64 = 1000.0;

impl StartupConfig {
    pub fn load(path: &str) -> FieldResult<StartupConfig> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let said: Value = serde_json::from_str(&text).map_err(|e| format!("{path} is no JSON: {e}"))?;
        StartupConfig::read(object(&said, "the configuration")?)
    }

    fn read(said: &JsonObject) -> FieldResult<StartupConfig> {
        let settings = said.get("settings").ok_or("field settings: missing, expected an object")?;
        let PlatformSettings { values, namespaces, tenants, kinds, zones } =
            chalkwalk_settings::read(object(settings, "field settings")?)?;
        let number = |name: &str, or: f64| values.get(name).and_then(|v| v.parse().ok()).unwrap_or(or);
        // No client waits for an hour; it bounds every wait here.
        let limit = |i: usize| number(&format!("namespace {i} time limit"), 0.0).min(3.6e7) as u64;
        let ticks = |name: &str, or: f64| Span::from_ticks(number(name, or) as u64);
        let duration = |name: &str, or: f64| Duration::from(ticks(name, or));
        let nothing = JsonObject::new();
        for (i, name) in namespaces.iter().enumerate() {
            let bad = |what: &str| {
                Err(format!("setting namespaces[{i}].{what}: expected a time above 0 and up to an hour")
                    .into())
            };
            if namespaces[..i].contains(name) {
                return Err(format!("setting namespaces[{i}].name: \"{name}\" is there twice").into());
            }
            let wrong = |name: &str| !(1.0..=3.6e7).contains(&number(&format!("namespace {i} {name}"), 1e4));
            if wrong("time limit") {
                return bad("timeLimitNs");
            }
            if wrong("target time") {
                return bad("targetTimeNs");
            }
        }
        let max_attempts = number("most shots", 1.0);
        if max_attempts.fract() != 0.0 || !(1.0..=MAX_ATTEMPTS).contains(&max_attempts) {
            return Err(format!(
                "setting ceilings.mostShots: expected a whole number above 0, got {max_attempts}"
            )
            .into());
        }
        let limits = said.get("limits").map_or(Ok(&nothing), |l| object(l, "field limits"))?;
        let seed = text_or(said, "seed", "0")?;
        let word =
            |i: usize, name: &str| values.get(&format!("namespace {i} {name}")).map_or("", String::as_str);
        let of_namespace = |(i, name): (usize, &String)| Namespace {
            name: name.clone(),
            time_limit: Span::from_ticks(limit(i)),
            latency_objective: ticks(&format!("namespace {i} target time"), 1e4),
            idempotency: match word(i, "repeats") {
                "replayable" => Idempotency::Replayable,
                "tagged" => Idempotency::Tagged,
                _ => Idempotency::SingleUse,
            },
            dedup_window: ticks(&format!("namespace {i} window"), 0.0),
        };
        let platform_limits = PlatformLimits {
            max_attempts: number("most shots", 1.0) as u64,
            hedging: number("second copies", 0.0) > 0.0,
            connect_time: ticks("connect time", 1e4),
            max_body_bytes: http1::MAX_BODY as u64,
            namespaces: namespaces.iter().enumerate().map(of_namespace).collect(),
            tenants,
            frontends: Vec::new(),
        };
        let engine = EngineConfig {
            name: text_or(said, "name", "")?.to_string(),
            seed: u64::from_str_radix(seed, 16)
                .map_err(|_| format!("field seed: expected a hexadecimal number, got \"{seed}\""))?,
            // 1,024 is what a process may hold by default.
            descriptors: match limits.get("sockets") {
                None => 1024,
                Some(_) => integer(limits, "sockets")? as usize,
            },
            // The least that a proxy is given.
            memory: limits.get("memory_mb").and_then(Value::as_u64).unwrap_or(32) as usize * 1_000_000,
            platform_limits,
            limits: None,
            connect_timeout: duration("connect time", 1e4).into(),
            idle_timeout: duration("idle time", 1e5),
            drain_grace: ticks("drain grace", 0.0).into(),
            settings: values,
            zones,
            kinds,
        };
        let optional = |name: &str| match text_or(said, name, "")? {
            "" => Ok(None),
            at => address(at, &format!("field {name}")).map(Some),
        };
        Ok(StartupConfig {
            listen: address(text(said, "listen")?, "field listen")?,
            admin_address: match (optional("console")?, std::env::var("ROUTER_CONSOLE")) {
                (None, Ok(at)) if !at.is_empty() => Some(address(&at, "ROUTER_CONSOLE")?),
                (said, _) => said,
            },
            list_address: optional("discovery")?,
            last_known_list: said.get("known").cloned().unwrap_or(Value::Null),
            namespaces,
            engine,
            fields: FieldPaths::of(said),
        })
    }
}
