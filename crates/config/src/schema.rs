//! The tables and keys of the file. Operators' files contain the keys, so they must not change:
//! where the name in the code differs, a `rename` attribute keeps the key.

use serde::Deserialize;
use std::path::PathBuf;
use toml::Spanned;

/// The version of the format. Files of other versions are rejected, because their fields may have
/// another meaning.
pub(crate) const VERSION: u64 = 1;
/// The last line of a complete file.
pub(crate) const END: &str = "[end]";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OperatorFile {
    pub version: Spanned<u64>,
    #[serde(default)]
    pub defaults: LimitFields,
    #[serde(default, rename = "class")]
    pub classes: Vec<ClassFields>,
    #[serde(default, rename = "route")]
    pub routes: Vec<Spanned<RouteFields>>,
    pub clients: Option<ClientFields>,
    pub membership: Option<Spanned<MembershipFields>>,
    pub resp: Option<Spanned<RespFields>>,
    pub capture: Option<Spanned<CaptureFields>>,
    #[serde(rename = "end")]
    _end: Option<EndFields>,
}

/// The empty table at the end of the file. A truncated file does not contain it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndFields {}

/// The limits that one part of the file sets. Times are in milliseconds, shares are fractions of 1.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LimitFields {
    pub time_limit_ms: Option<Spanned<f64>>,
    #[serde(rename = "target_ms")]
    pub latency_objective_ms: Option<Spanned<f64>>,
    #[serde(rename = "most_shots")]
    pub max_attempts: Option<Spanned<u64>>,
    #[serde(rename = "shot_wait_ms")]
    pub attempt_timeout_ms: Option<Spanned<f64>>,
    #[serde(rename = "second_copies")]
    pub hedging: Option<Spanned<bool>>,
    #[serde(rename = "copies_after")]
    pub hedge_after: Option<Spanned<f64>>,
    #[serde(rename = "further_shots")]
    pub retry_budget: Option<Spanned<f64>>,
    #[serde(rename = "open")]
    pub max_in_flight: Option<Spanned<u64>>,
    #[serde(rename = "longest_body")]
    pub max_body_bytes: Option<Spanned<u64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClassFields {
    pub namespace: Spanned<String>,
    #[serde(default)]
    pub limits: LimitFields,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouteFields {
    pub name: String,
    pub path: Option<String>,
    pub namespace: Option<String>,
    pub tenant: Option<String>,
    #[serde(rename = "door")]
    pub frontend: Option<String>,
    #[serde(default)]
    pub limits: LimitFields,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClientFields {
    pub tries: Spanned<u64>,
    #[serde(rename = "amplification")]
    pub max_amplification: Spanned<f64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MembershipFields {
    pub source: Spanned<String>,
    pub file: Option<PathBuf>,
    #[serde(default)]
    pub endpoints: Vec<Spanned<String>>,
    pub prefix: Option<Spanned<String>>,
    pub lease_s: Option<Spanned<u64>>,
    #[serde(default, rename = "count")]
    pub count_proxies: bool,
    #[serde(rename = "keep")]
    pub persist_path: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RespFields {
    pub listen: Spanned<String>,
    pub seeds: Vec<Spanned<String>>,
    pub namespace: Spanned<String>,
    #[serde(rename = "writes")]
    pub write_namespace: Option<Spanned<String>>,
    #[serde(default)]
    pub stale_reads: Vec<Spanned<String>>,
    #[serde(default)]
    pub split: bool,
    #[serde(default, rename = "prefix")]
    pub prefixes: Vec<PrefixFields>,
    #[serde(default, rename = "instance")]
    pub instances: Vec<InstanceFields>,
    #[serde(default, rename = "user")]
    pub users: Vec<UserFields>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PrefixFields {
    pub prefix: String,
    pub namespace: Spanned<String>,
    #[serde(rename = "writes")]
    pub write_namespace: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct InstanceFields {
    pub name: String,
    #[serde(rename = "addr")]
    pub address: Spanned<String>,
    pub slots: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UserFields {
    pub name: String,
    pub secret: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CaptureFields {
    pub folder: PathBuf,
    #[serde(default)]
    pub keys: bool,
    pub segment_mb: Option<u64>,
    #[serde(rename = "most_mb")]
    pub max_mb: Option<u64>,
}
