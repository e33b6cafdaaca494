//! The tables `[load]` and `[[namespace]]`: how much arrives, and what it requests.

use super::choices::{DedupGroup, Repeats};
use super::defaults;
use serde::Deserialize;
use toml::Spanned;

/// How much arrives, over which keys, and how clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First requests a second, of all clients together. They arrive at random, and wait for no response.
    pub rate: f64,
    /// How many clients.
    #[serde(default = "defaults::clients")]
    pub clients: usize,
    /// How many keys.
    #[serde(default = "defaults::keys")]
    pub keys: usize,
    /// Exponent of Zipf's law over the keys; 0: all alike.
    #[serde(default = "defaults::skew")]
    pub skew: f64,
    /// Keys that are hot for a time.
    #[serde(rename = "hot", default)]
    pub hot_keys: Vec<HotKeys>,
    /// Times at which the rate is another.
    #[serde(rename = "surge", default)]
    pub load_steps: Vec<LoadStep>,
    /// Tenants that requests are dealt out to.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// A client's retries after a response that allows them.
    #[serde(default)]
    pub retries: u32,
    /// The share of the clients that honor `Retry-After`.
    #[serde(rename = "heed", default = "defaults::share")]
    pub honor_retry_after: f64,
    /// Before a retry without `Retry-After`; doubled at each.
    #[serde(default = "defaults::backoff_ms")]
    pub backoff_ms: f64,
    /// The share of the requests whose client cancels, at random within its time limit.
    #[serde(rename = "leave", default)]
    pub cancel_share: f64,
    /// Moments at which many clients cancel together.
    #[serde(rename = "gust", default)]
    pub cancellation_bursts: Vec<CancellationBurst>,
    /// Connections that are opened at the beginning, one request each, and held.
    #[serde(rename = "hold", default)]
    pub held_connections: usize,
}

/// A share of the clients that wait for a response cancels at that moment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancellationBurst {
    /// When, in seconds.
    pub at: f64,
    /// The share that cancels.
    pub share: f64,
}

/// A few keys get a share of all requests for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKeys {
    /// From when on, in seconds.
    pub at: f64,
    /// For how long, in seconds.
    #[serde(rename = "for")]
    pub duration: f64,
    /// How many keys.
    #[serde(default = "defaults::hot_keys")]
    pub keys: usize,
    /// The share of the requests that goes to them.
    pub share: f64,
}

/// The rate is so many times as high for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadStep {
    /// From when on, in seconds.
    pub at: f64,
    /// For how long, in seconds.
    #[serde(rename = "for")]
    pub duration: f64,
    /// The rate as a multiple of the usual.
    pub factor: f64,
}

/// A tenant, and its share of the requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// As requests name it.
    pub name: String,
    /// Its weight beside the other tenants.
    pub share: f64,
}

/// A class of requests: on the wire and in settings, a namespace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// As requests name it.
    pub name: String,
    /// Its weight beside the other classes.
    #[serde(default = "defaults::share")]
    pub share: f64,
    /// Whether its requests write.
    #[serde(default)]
    pub write: bool,
    /// The name of a [`Repeats`].
    #[serde(default = "defaults::repeats")]
    pub(super) repeats: Spanned<String>,
    /// The name of a [`DedupGroup`].
    #[serde(default = "defaults::group")]
    pub(super) group: Spanned<String>,
    /// How long a server recognises a tagged request that comes again.
    #[serde(default = "defaults::window_ms")]
    pub window_ms: f64,
    /// The latency objective.
    pub target_ms: f64,
    /// The time limit.
    pub limit_ms: f64,
    /// The mean work of a request.
    pub work_ms: f64,
    /// The size of a value.
    #[serde(default = "defaults::bytes")]
    pub bytes: usize,
    /// Whether replicas may answer it, where the protocol is RESP.
    #[serde(rename = "stale", default)]
    pub stale_reads: bool,
}

impl RequestClass {
    /// Whether its requests may run more than once.
    pub fn repeats(&self) -> Repeats {
        Repeats::named(self.repeats.get_ref()).unwrap_or(Repeats::Replayable)
    }

    /// Which servers drop repeats of a tagged request together.
    pub fn dedup_group(&self) -> DedupGroup {
        DedupGroup::named(self.group.get_ref()).unwrap_or(DedupGroup::All)
    }
}
