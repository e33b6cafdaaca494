//! The files that a proxy is started with: the platform's configuration and the operator's file.

use super::Fleet;
use super::process::proxy_name;
use crate::experiment::{ListSource, Protocol, Repeats, RequestClass};
use crate::model::etcd::ENDPOINT_COUNT;
use crate::model::server_list::FIRST_VERSION;
use crate::simulated_services::SimulatedServices;
use crate::simulated_services::etcd::KEY_PREFIX;
use serde_json::{Value, json};
use std::path::Path;

/// Maximum number of servers that a proxy is configured to fetch the slot map from.
const MAX_SLOT_MAP_SEEDS: usize = 3;

fn nanoseconds(ms: f64) -> u64 {
    (ms * 1e6) as u64
}

/// The items of a TOML array of strings.
fn toml_strings(names: impl Iterator<Item = String>) -> String {
    let names: Vec<String> = names.map(|name| format!("\"{name}\"")).collect();
    names.join(", ")
}

/// The value in the platform's settings.
fn idempotency(repeats: Repeats) -> &'static str {
    match repeats {
        Repeats::Replayable => "free",
        Repeats::Tagged => "guarded",
        Repeats::SingleUse => "single_shot",
    }
}

fn class_settings(class: &RequestClass) -> Value {
    json!({
        "name": class.name,
        "idempotency": idempotency(class.repeats()),
        "group": class.dedup_group().name(),
        "dedupWindowNs": nanoseconds(class.window_ms),
        "targetTimeNs": nanoseconds(class.target_ms),
        "timeLimitNs": nanoseconds(class.limit_ms),
        "utility": 1.0,
        "overdueUtility": 0.0,
    })
}

/// The operator's file's table for the RESP frontend; empty if clients speak HTTP.
fn resp_table(services: &SimulatedServices, proxy: usize) -> String {
    let experiment = &services.experiment;
    if experiment.fleet.protocol() != Protocol::Resp {
        return String::new();
    }
    let servers = 0..services.origin_index().min(MAX_SLOT_MAP_SEEDS);
    let seeds = servers
        .map(|server| services.addresses.server_address(proxy, server, services.origin_index()).to_string());
    let stale_reads = experiment.classes.iter().filter(|class| class.stale_reads);
    let mut table = format!(
        "[resp]\nlisten = \"{}\"\nseeds = [{}]\nnamespace = \"{}\"\nstale_reads = [{}]\n",
        services.addresses.resp_address(proxy),
        toml_strings(seeds),
        experiment.classes[0].name,
        toml_strings(stale_reads.map(|class| class.name.clone()))
    );
    for class in &experiment.classes {
        table += &format!("[[resp.prefix]]\nprefix = \"{0}:\"\nnamespace = \"{0}\"\n", class.name);
    }
    table
}

/// The operator's file's table for the source of the endpoint list; empty if the source is the
/// platform.
fn membership_table(services: &SimulatedServices, proxy: usize, list_path: &Path) -> String {
    let fleet = &services.experiment.fleet;
    match fleet.list_source() {
        ListSource::Platform => String::new(),
        ListSource::Etcd => {
            let endpoints = (0..ENDPOINT_COUNT)
                .map(|endpoint| services.addresses.etcd_address(proxy, endpoint).to_string());
            format!(
                "[membership]\nsource = \"etcd\"\nendpoints = [{}]\nprefix = \"{KEY_PREFIX}\"\ncount = {}\n",
                toml_strings(endpoints),
                fleet.count_peers
            )
        }
        ListSource::File => {
            format!("[membership]\nsource = \"file\"\nfile = {:?}\n", list_path.display().to_string())
        }
    }
}

impl Fleet {
    /// The text of a proxy's operator's file: the experiment's file with the testbed's tables added
    /// before its end marker.
    pub(super) fn operator_text(&self, text: &str, proxy: usize, list_path: &Path) -> String {
        operator_text(&self.services, text, proxy, list_path)
    }

    /// A proxy's configuration, in the platform's format.
    pub(super) fn configuration(&self, proxy: usize, list_moved: bool) -> Value {
        let experiment = &self.services.experiment;
        let addresses = self.services.addresses;
        let fleet = &experiment.fleet;
        let from_platform = fleet.list_source() == ListSource::Platform;
        let list_address = || json!(addresses.list_address(proxy, list_moved).to_string());
        let initial_list =
            || json!({"version": FIRST_VERSION, "full": true, "servers": self.services.initial_list(proxy)});
        json!({
            "name": proxy_name(proxy),
            "listen": addresses.proxy_address(proxy).to_string(),
            "discovery": if from_platform { list_address() } else { Value::Null },
            "seed": format!("{:x}", experiment.seed.wrapping_add(proxy as u64 + 1)),
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "known": if from_platform { initial_list() } else { Value::Null },
            "settings": self.settings(proxy),
        })
    }

    fn settings(&self, proxy: usize) -> Value {
        let experiment = &self.services.experiment;
        let fleet = &experiment.fleet;
        let world = &experiment.world;
        let classes: Vec<Value> = experiment.classes.iter().map(class_settings).collect();
        json!({
            "az": experiment.zone_of(proxy),
            "zones": world.zones,
            "kinds": ["cache", "origin"],
            "position": proxy,
            "balancers": fleet.proxies,
            "discovery": "subscribe",
            "familyInfo": {"mode": world.cache_mode().name(), "originKind": 1},
            "ceilings": {
                "mostShots": fleet.max_attempts,
                "secondCopies": fleet.hedging,
                "probes": fleet.probes,
                "cancelling": fleet.cancellation,
                "retryAfter": fleet.max_retry_after_s > 0.0,
                "maxRetryAfterNs": nanoseconds(fleet.max_retry_after_s * 1e3),
                "connIdleNs": nanoseconds(world.idle_timeout_s * 1e3),
                "connectTimeoutNs": nanoseconds(fleet.connect_ms),
            },
            "rules": {
                "drainGraceNs": nanoseconds(fleet.drain_grace_s * 1e3),
                "startCapacity": world.slow_start_share,
                "coldNs": nanoseconds(world.slow_start_s * 1e3),
                "fallMultiple": world.collapse_multiple,
                "fallNs": nanoseconds(world.collapse_window_s * 1e3),
            },
            "namespaces": classes,
        })
    }
}

/// The text of an operator's file: the experiment's file with the testbed's tables added before its
/// end marker.
pub(super) fn operator_text(
    services: &SimulatedServices,
    text: &str,
    proxy: usize,
    list_path: &Path,
) -> String {
    let tables = membership_table(services, proxy, list_path) + &resp_table(services, proxy);
    if tables.is_empty() {
        return text.to_string();
    }
    let head = text.rsplit_once("[end]").map_or("version = 1\n", |(head, _)| head);
    format!("{head}{tables}[end]\n")
}
