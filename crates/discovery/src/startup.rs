//! The configuration that the platform gives a proxy at its start: the listening addresses, and the
//! settings of the engine.

use crate::address::parse_address;
use crate::field_paths::FieldPaths;
use chalkwalk_engine::config::EngineConfig;
use chalkwalk_http1 as http1;
use chalkwalk_limits::{DedupGroup, Idempotency, Namespace, PlatformLimits};
use chalkwalk_settings::PlatformSettings;
use chalkwalk_settings::fields::{FieldError, FieldResult, JsonObject, integer, object, text, text_or};
use chalkwalk_time::Span;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of attempts. No platform allows more, so a higher value is a typo.
const MAX_ATTEMPTS: f64 = 1000.0;
/// The maximum of a configured time: one hour, in ticks. No client waits for longer, and it limits
/// how long any request can wait.
const MAX_TIME_TICKS: f64 = 3.6e7;
/// The default of the target time and of the connect timeout: one second, in ticks.
const DEFAULT_TIME_TICKS: f64 = 1e4;
/// The default of the time after which servers close idle connections: ten seconds, in ticks.
const DEFAULT_IDLE_TICKS: f64 = 1e5;
/// The default limit of open file descriptors of a process.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The default memory limit in megabytes: the least memory that a proxy is given.
const DEFAULT_MEMORY_MB: u64 = 32;
const MEGABYTE: usize = 1_000_000;

/// The environment variable with the admin address, used if the configuration has none.
const ADMIN_ADDRESS_VARIABLE: &str = "ROUTER_CONSOLE";

/// Why the configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The file can't be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("{path} is not valid JSON: {source}")]
    NotJson {
        /// The path of the file.
        path: String,
        /// The parse error with its position.
        source: serde_json::Error,
    },
    /// A field is missing or has an invalid value.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// Converts the error to its message, for callers that report errors as text.
impl From<StartupError> for String {
    fn from(error: StartupError) -> String {
        error.to_string()
    }
}

/// The content of the configuration file.
pub struct StartupConfig {
    /// The address on which the proxy accepts clients.
    pub listen_address: SocketAddr,
    /// The address of the admin interface, if it is enabled.
    pub admin_address: Option<SocketAddr>,
    /// The address of the discovery service, if there is one.
    pub discovery_address: Option<SocketAddr>,
    /// The last known endpoint list of this proxy.
    pub last_known_list: Value,
    /// The names of the namespaces, in the platform's order.
    pub namespaces: Vec<String>,
    /// The initial configuration of the engine.
    pub engine_config: EngineConfig,
    /// The paths of the fields that the file has.
    pub field_paths: FieldPaths,
}

impl StartupConfig {
    /// Reads the file. The error names the first invalid field.
    pub fn load(path: &str) -> Result<StartupConfig, StartupError> {
        let unreadable = |source| StartupError::Unreadable { path: path.to_string(), source };
        let not_json = |source| StartupError::NotJson { path: path.to_string(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        let json: Value = serde_json::from_str(&text).map_err(not_json)?;
        Ok(StartupConfig::read(object(&json, "the configuration")?)?)
    }

    fn read(config: &JsonObject) -> FieldResult<StartupConfig> {
        let settings = read_settings(config)?;
        let namespaces = settings.namespaces.clone();
        Ok(StartupConfig {
            engine_config: engine_config(config, settings)?,
            listen_address: parse_address(text(config, "listen")?, "field listen")?,
            admin_address: admin_address(config)?,
            discovery_address: optional_address(config, "discovery")?,
            last_known_list: config.get("known").cloned().unwrap_or(Value::Null),
            namespaces,
            field_paths: FieldPaths::from_config(config),
        })
    }
}

/// Reads the settings, and checks what the settings map does not enforce: the names and times of
/// the namespaces, and the maximum number of attempts.
fn read_settings(config: &JsonObject) -> FieldResult<PlatformSettings> {
    let missing = || FieldError::Missing { field: "field settings".to_string(), expected: "an object" };
    let settings = config.get("settings").ok_or_else(missing)?;
    let settings = chalkwalk_settings::read(object(settings, "field settings")?)?;
    let values = SettingsMap(&settings.values);
    for (index, name) in settings.namespaces.iter().enumerate() {
        check_namespace(index, name, &settings.namespaces[..index], values)?;
    }
    check_max_attempts(values.max_attempts())?;
    Ok(settings)
}

fn check_namespace(
    index: usize,
    name: &str,
    earlier_names: &[String],
    values: SettingsMap,
) -> FieldResult<()> {
    if earlier_names.iter().any(|other| other == name) {
        return Err(format!("setting namespaces[{index}].name: \"{name}\" is defined twice").into());
    }
    for (setting, field) in [("time limit", "timeLimitNs"), ("target time", "targetTimeNs")] {
        let ticks = values.number(&namespace_setting(index, setting), DEFAULT_TIME_TICKS);
        if !(1.0..=MAX_TIME_TICKS).contains(&ticks) {
            return Err(format!(
                "setting namespaces[{index}].{field}: expected a time above 0 and up to an hour"
            )
            .into());
        }
    }
    Ok(())
}

fn check_max_attempts(max_attempts: f64) -> FieldResult<()> {
    if max_attempts.fract() == 0.0 && (1.0..=MAX_ATTEMPTS).contains(&max_attempts) {
        return Ok(());
    }
    Err(FieldError::Unexpected {
        field: "setting ceilings.mostShots".to_string(),
        expected: "a whole number above 0",
        found: max_attempts.to_string(),
    })
}

fn engine_config(config: &JsonObject, settings: PlatformSettings) -> FieldResult<EngineConfig> {
    let empty = JsonObject::new();
    let limits = config.get("limits").map_or(Ok(&empty), |limits| object(limits, "field limits"))?;
    let seed = text_or(config, "seed", "0")?;
    let values = SettingsMap(&settings.values);
    Ok(EngineConfig {
        name: text_or(config, "name", "")?.to_string(),
        seed: parse_seed(seed)?,
        max_descriptors: match limits.get("sockets") {
            None => DEFAULT_DESCRIPTORS,
            Some(_) => integer(limits, "sockets")? as usize,
        },
        memory_limit_bytes: limits.get("memory_mb").and_then(Value::as_u64).unwrap_or(DEFAULT_MEMORY_MB)
            as usize
            * MEGABYTE,
        connect_timeout: values.duration("connect time", DEFAULT_TIME_TICKS).into(),
        idle_timeout: values.duration("idle time", DEFAULT_IDLE_TICKS),
        drain_grace: values.span("drain grace", 0.0).into(),
        platform_limits: platform_limits(values, &settings.namespaces, settings.tenants),
        operator_limits: None,
        settings: settings.values,
        zones: settings.zones,
        kinds: settings.kinds,
    })
}

fn parse_seed(seed: &str) -> FieldResult<u64> {
    u64::from_str_radix(seed, 16).map_err(|_| FieldError::Unexpected {
        field: "field seed".to_string(),
        expected: "a hexadecimal number",
        found: format!("\"{seed}\""),
    })
}

fn platform_limits(values: SettingsMap, namespaces: &[String], tenants: Vec<String>) -> PlatformLimits {
    PlatformLimits {
        max_attempts: values.max_attempts() as u64,
        hedging: values.number("second copies", 0.0) > 0.0,
        connect_timeout: values.span("connect time", DEFAULT_TIME_TICKS),
        max_body_bytes: http1::MAX_BODY_BYTES as u64,
        namespaces: namespaces.iter().enumerate().map(|(i, name)| read_namespace(values, i, name)).collect(),
        tenants,
        frontends: Vec::new(),
    }
}

fn read_namespace(values: SettingsMap, index: usize, name: &str) -> Namespace {
    let setting = |name: &str| namespace_setting(index, name);
    let time_limit = values.number(&setting("time limit"), 0.0).min(MAX_TIME_TICKS);
    Namespace {
        name: name.to_string(),
        time_limit: Span::from_ticks(time_limit as u64),
        latency_objective: values.span(&setting("target time"), DEFAULT_TIME_TICKS),
        idempotency: Idempotency::from_setting(values.text(&setting("repeats"))),
        dedup_group: DedupGroup::from_setting(values.text(&setting("group"))),
        dedup_window: values.span(&setting("window"), 0.0),
        in_order: values.number(&setting("in order"), 0.0) > 0.0,
    }
}

/// The key of a namespace's setting in the settings map.
fn namespace_setting(index: usize, name: &str) -> String {
    format!("namespace {index} {name}")
}

fn admin_address(config: &JsonObject) -> FieldResult<Option<SocketAddr>> {
    match (optional_address(config, "console")?, std::env::var(ADMIN_ADDRESS_VARIABLE)) {
        (None, Ok(address)) if !address.is_empty() => {
            parse_address(&address, ADMIN_ADDRESS_VARIABLE).map(Some)
        }
        (configured, _) => Ok(configured),
    }
}

fn optional_address(config: &JsonObject, name: &str) -> FieldResult<Option<SocketAddr>> {
    match text_or(config, name, "")? {
        "" => Ok(None),
        address => parse_address(address, &format!("field {name}")).map(Some),
    }
}

/// Reads the settings map. A default applies if a value is missing or is not a number.
#[derive(Clone, Copy)]
struct SettingsMap<'a>(&'a BTreeMap<String, String>);

impl<'a> SettingsMap<'a> {
    fn number(self, name: &str, default: f64) -> f64 {
        self.0.get(name).and_then(|value| value.parse().ok()).unwrap_or(default)
    }

    fn span(self, name: &str, default_ticks: f64) -> Span {
        Span::from_ticks(self.number(name, default_ticks) as u64)
    }

    fn duration(self, name: &str, default_ticks: f64) -> Duration {
        Duration::from(self.span(name, default_ticks))
    }

    fn text(self, name: &str) -> &'a str {
        self.0.get(name).map_or("", String::as_str)
    }

    fn max_attempts(self) -> f64 {
        self.number("most shots", 1.0)
    }
}

#[cfg(test)]
mod tests;
