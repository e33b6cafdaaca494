//! The tables `[world]` and `[fleet]`: the servers, the origin and the endpoint list; the proxies
//! and the load balancer in front of them.

use super::choices::{CacheMode, ListSource, Protocol};
use serde::Deserialize;

/// The servers, the origin behind them, and the discovery service that lists both.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct World {
    /// Names of the zones; the origin and the discovery service are in the first.
    pub zones: Vec<String>,
    /// Number of servers; they are distributed over the zones in rotation.
    #[serde(rename = "caches")]
    pub servers: usize,
    /// The name of a [`CacheMode`].
    pub(super) mode: String,
    /// Number of cores of each server.
    pub cores: usize,
    /// Maximum number of requests that wait for a core; further ones are refused.
    #[serde(rename = "queue")]
    pub max_queued: usize,
    /// Maximum number of values that a server caches; the least recently used one is evicted first.
    #[serde(rename = "values")]
    pub max_cached_values: usize,
    /// The share of the keys that is cached when the load begins, counted from the most requested
    /// key on.
    #[serde(rename = "kept")]
    pub cached_share: f64,
    /// The speed of a server just after its start, as a share of its full speed.
    #[serde(rename = "cold_share")]
    pub slow_start_share: f64,
    /// How long a server takes from its start to full speed, in seconds.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// Multiple of its capacity above which the load makes a server in slow start collapse.
    #[serde(rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// Length of the window over which the load for `collapse_multiple` is measured, in seconds.
    #[serde(rename = "fall_s")]
    pub collapse_window_s: f64,
    /// Maximum number of connections of a server; it refuses requests on further ones.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Seconds without a request after which a server closes a connection.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// Additional time for the first request of a connection, in milliseconds.
    pub handshake_ms: f64,
    /// Number of requests that the origin processes concurrently.
    #[serde(rename = "origin_places")]
    pub origin_slots: usize,
    /// Maximum number of requests that wait for one of these slots; further ones are refused.
    pub origin_queue: usize,
    /// The origin's mean processing time of a request, in milliseconds.
    pub origin_ms: f64,
    /// By how much each request in progress or queued at the origin slows down a new one, as a
    /// share of the new one's processing time.
    #[serde(rename = "origin_drag")]
    pub origin_contention: f64,
    /// Maximum number of connections of the origin.
    pub origin_connections: usize,
    /// Delay from a change to when the endpoint list shows it, in seconds.
    #[serde(rename = "list_late_s")]
    pub list_delay_s: f64,
    /// Time that the discovery service takes for one call, in milliseconds; it answers calls one
    /// after the other.
    pub list_call_ms: f64,
}

impl World {
    /// What a server does on a cache miss.
    pub fn cache_mode(&self) -> CacheMode {
        CacheMode::from_name(&self.mode).unwrap_or(CacheMode::Aside)
    }
}

/// The proxies, what the platform allows them, and the load balancer in front of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of proxies.
    pub proxies: usize,
    /// Maximum number of attempts that a proxy may make for one request.
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
    /// The longest `Retry-After` that a proxy may send, in seconds; 0 forbids the header.
    #[serde(rename = "stay_away_s")]
    pub max_retry_after_s: f64,
    /// How long a proxy may still send to a server after it was notified that the server is
    /// draining, in seconds.
    pub drain_grace_s: f64,
    /// A proxy's connect timeout, in milliseconds.
    pub connect_ms: f64,
    /// Maximum number of open sockets of a proxy.
    pub sockets: usize,
    /// Memory limit of a proxy, in megabytes.
    pub memory_mb: u64,
    /// How long the load balancer takes to detect that a proxy has died, in seconds.
    #[serde(rename = "notice_s")]
    pub detection_s: f64,
    /// How long the load balancer takes to detect that a proxy is draining, in seconds.
    #[serde(rename = "leaving_notice_s")]
    pub draining_detection_s: f64,
    /// The name of a [`ListSource`].
    pub(super) source: String,
    /// The name of a [`Protocol`].
    #[serde(rename = "door")]
    pub(super) protocol: String,
    /// Whether proxies count each other through etcd, where etcd is the source of the endpoint
    /// list.
    #[serde(rename = "count")]
    pub count_peers: bool,
    /// Operator's files, by paths relative to the experiment file's directory. Each proxy starts
    /// with the first one, and the fault `reload` goes on to the next. The proxy's command finds
    /// the path of its file in `$OPERATOR`.
    pub operator: Vec<String>,
}

impl Fleet {
    /// The source of the proxies' endpoint list.
    pub fn list_source(&self) -> ListSource {
        ListSource::from_name(&self.source).unwrap_or(ListSource::Platform)
    }

    /// The protocol between clients, proxies and servers.
    pub fn protocol(&self) -> Protocol {
        Protocol::from_name(&self.protocol).unwrap_or(Protocol::Http)
    }

    /// Whether proxies need an operator's file: the platform has no settings for list sources and
    /// protocols other than its own.
    pub fn needs_operator(&self) -> bool {
        self.list_source() != ListSource::Platform || self.protocol() != Protocol::Http
    }
}
