//! The tables `[world]` and `[fleet]`: servers, origin and list; the proxies and the front before them.

use super::choices::{CacheMode, ListSource, Protocol};
use serde::Deserialize;

/// The servers, the origin behind them, and the list of both.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct World {
    /// Names of the zones; the origin and the list stand in the first.
    pub zones: Vec<String>,
    /// How many servers, dealt out over the zones in turn.
    #[serde(rename = "caches")]
    pub servers: usize,
    /// The name of a [`CacheMode`].
    pub(super) mode: String,
    /// Cores of each server.
    pub cores: usize,
    /// Requests that wait for a core; more are refused.
    pub queue: usize,
    /// Values that a server caches, the least recently used being dropped first.
    pub values: usize,
    /// The share of the keys, from the most requested on, that is cached when the load begins.
    #[serde(rename = "kept")]
    pub cached_share: f64,
    /// The speed of a server just after its start, as a share of its full speed.
    #[serde(rename = "cold_share")]
    pub slow_start_share: f64,
    /// How long a server takes from its start to full speed.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// A server in slow start collapses when it is sent more than so many times what it can do, ...
    #[serde(rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// ... over a window of so many seconds.
    #[serde(rename = "fall_s")]
    pub collapse_window_s: f64,
    /// Connections that a server accepts; requests on further ones are refused.
    pub connections: usize,
    /// After so many seconds without a request a server closes a connection.
    pub idle_s: f64,
    /// What the first request of a connection takes longer.
    pub handshake_ms: f64,
    /// Requests that the origin works on at once.
    #[serde(rename = "origin_places")]
    pub origin_slots: usize,
    /// Requests that wait for one of these slots; more are refused.
    pub origin_queue: usize,
    /// The origin's mean time for a request.
    pub origin_ms: f64,
    /// How much longer the origin takes for each request in progress, as a share of its mean time.
    #[serde(rename = "origin_drag")]
    pub origin_contention: f64,
    /// Connections that the origin accepts.
    pub origin_connections: usize,
    /// From a change to the moment the list shows it.
    #[serde(rename = "list_late_s")]
    pub list_delay_s: f64,
    /// What one call costs the list, which answers them one after the other.
    pub list_call_ms: f64,
}

impl World {
    /// What a server does with a key that it lacks.
    pub fn cache_mode(&self) -> CacheMode {
        CacheMode::named(&self.mode).unwrap_or(CacheMode::Aside)
    }
}

/// The proxies, what the platform allows them, and the front before them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How many proxies.
    pub proxies: usize,
    /// Attempts that a proxy may make for one request.
    #[serde(rename = "most_shots")]
    pub max_attempts: usize,
    /// Whether hedged requests are allowed.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// Whether an attempt may be cancelled.
    #[serde(rename = "withdrawals")]
    pub cancellation: bool,
    /// Whether health checks are allowed.
    pub probes: bool,
    /// The longest `Retry-After` that a proxy may send; 0: none.
    #[serde(rename = "stay_away_s")]
    pub max_retry_after_s: f64,
    /// How long after it was notified of a drain a proxy may still send to the server.
    pub drain_grace_s: f64,
    /// A proxy's connect timeout.
    pub connect_ms: f64,
    /// Sockets that a proxy may have open.
    pub sockets: usize,
    /// Memory that a proxy may use.
    pub memory_mb: u64,
    /// How late the front detects that a proxy has died.
    #[serde(rename = "notice_s")]
    pub detection_s: f64,
    /// How late it detects that one is draining.
    #[serde(rename = "leaving_notice_s")]
    pub draining_detection_s: f64,
    /// The name of a [`ListSource`].
    pub(super) source: String,
    /// The name of a [`Protocol`].
    #[serde(rename = "door")]
    pub(super) protocol: String,
    /// Whether proxies count each other by etcd, where the list comes from there.
    #[serde(rename = "count")]
    pub count_peers: bool,
    /// Operator's files, by paths beside the experiment's: each proxy starts with the first, and `reload` goes on to the
    /// next. The command finds its own file by `$OPERATOR`.
    pub operator: Vec<String>,
}

impl Fleet {
    /// Where proxies have the list from.
    pub fn list_source(&self) -> ListSource {
        ListSource::named(&self.source).unwrap_or(ListSource::Platform)
    }

    /// What clients speak, and servers with them.
    pub fn protocol(&self) -> Protocol {
        Protocol::named(&self.protocol).unwrap_or(Protocol::Http)
    }

    /// Whether proxies need an operator's file, as the platform has no settings for what this experiment uses.
    pub fn needs_operator(&self) -> bool {
        self.list_source() != ListSource::Platform || self.protocol() != Protocol::Http
    }
}
