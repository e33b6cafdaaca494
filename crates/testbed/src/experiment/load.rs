//! The tables `[load]` and `[[namespace]]`: the rate of requests, the clients and the request
//! classes.

use super::choices::{DedupGroup, Repeats};
use super::defaults;
use serde::Deserialize;
use toml::Spanned;

/// The rate of requests, their keys, and the behavior of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First requests per second, over all clients. They arrive at random times (open loop: none
    /// waits for a response).
    pub rate: f64,
    /// Number of clients.
    #[serde(default = "defaults::clients")]
    pub clients: usize,
    /// Number of keys.
    #[serde(default = "defaults::keys")]
    pub keys: usize,
    /// Exponent of the Zipf distribution over the keys; 0 makes it uniform.
    #[serde(default = "defaults::skew")]
    pub skew: f64,
    /// Periods with hot keys.
    #[serde(rename = "hot", default)]
    pub hot_keys: Vec<HotKeys>,
    /// Periods in which the rate differs.
    #[serde(rename = "surge", default)]
    pub load_steps: Vec<LoadStep>,
    /// Tenants, each of which sends a share of the requests.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// Maximum number of a client's retries after an outcome that allows them.
    #[serde(default)]
    pub retries: u32,
    /// The share of the requests whose client honors `Retry-After`.
    #[serde(rename = "heed", default = "defaults::share")]
    pub honor_retry_after: f64,
    /// Backoff before a retry without `Retry-After`, in milliseconds; it doubles with each retry.
    #[serde(default = "defaults::backoff_ms")]
    pub backoff_ms: f64,
    /// The share of the requests that their client cancels, at a random time within the time limit.
    #[serde(rename = "leave", default)]
    pub cancel_share: f64,
    /// Times at which many clients cancel together.
    #[serde(rename = "gust", default)]
    pub cancellation_bursts: Vec<CancellationBurst>,
    /// Number of connections that are opened at the beginning, carry one request each, and stay
    /// open.
    #[serde(rename = "hold", default)]
    pub held_connections: usize,
}

/// A time at which a share of the clients that wait for a response cancel.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancellationBurst {
    /// The time, in seconds.
    pub at: f64,
    /// The share of these clients that cancel.
    pub share: f64,
}

/// A period in which a few keys get a share of all requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKeys {
    /// When the period begins, in seconds.
    pub at: f64,
    /// How long the period lasts, in seconds.
    #[serde(rename = "for")]
    pub duration: f64,
    /// Number of hot keys.
    #[serde(default = "defaults::hot_keys")]
    pub keys: usize,
    /// The share of the requests that go to the hot keys.
    pub share: f64,
}

/// A period in which the rate is multiplied by a factor.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadStep {
    /// When the period begins, in seconds.
    pub at: f64,
    /// How long the period lasts, in seconds.
    #[serde(rename = "for")]
    pub duration: f64,
    /// The factor on the usual rate.
    pub factor: f64,
}

/// A tenant, and its share of the requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name in requests.
    pub name: String,
    /// The tenant's weight relative to the other tenants.
    pub share: f64,
}

/// A request class; experiment files and the proxies' settings call it a namespace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// The name in requests.
    pub name: String,
    /// The class's weight relative to the other classes.
    #[serde(default = "defaults::share")]
    pub share: f64,
    /// Whether the requests are writes.
    #[serde(default)]
    pub write: bool,
    /// The name of a [`Repeats`].
    #[serde(default = "defaults::repeats")]
    pub(super) repeats: Spanned<String>,
    /// The name of a [`DedupGroup`].
    #[serde(default = "defaults::group")]
    pub(super) group: Spanned<String>,
    /// How long a server recognises a repeated tagged request, in milliseconds.
    #[serde(default = "defaults::window_ms")]
    pub window_ms: f64,
    /// The latency objective, in milliseconds.
    pub target_ms: f64,
    /// The time limit, in milliseconds.
    pub limit_ms: f64,
    /// The mean processing time of a request, in milliseconds.
    pub work_ms: f64,
    /// The size of a value, in bytes.
    #[serde(default = "defaults::bytes")]
    pub bytes: usize,
    /// Whether replicas may answer the requests, where the protocol is RESP.
    #[serde(rename = "stale", default)]
    pub stale_reads: bool,
}

impl RequestClass {
    /// Whether the requests may run more than once.
    pub fn repeats(&self) -> Repeats {
        Repeats::from_name(self.repeats.get_ref()).unwrap_or(Repeats::Replayable)
    }

    /// Which servers recognise repeats of each other's tagged requests.
    pub fn dedup_group(&self) -> DedupGroup {
        DedupGroup::from_name(self.group.get_ref()).unwrap_or(DedupGroup::All)
    }
}
