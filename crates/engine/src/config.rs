//! The configuration that the engine is started with.

use chalkwalk_limits::{LimitTable, PlatformLimits};
use chalkwalk_time::Span;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

/// The configuration of one proxy. Fields of type [`Cell`] change when the settings are reloaded.
pub struct EngineConfig {
    /// The name of the proxy instance.
    pub name: String,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
    /// The balancer's settings, under the platform's names.
    pub settings: BTreeMap<String, String>,
    /// The zones, in the order of the indices that the balancer uses.
    pub zones: Vec<String>,
    /// The kinds of server, in the order of the indices that the balancer uses.
    pub kinds: Vec<String>,
    /// The limits of the platform, which bound those that an operator may set.
    pub platform_limits: PlatformLimits,
    /// The operator's limits, if there are any.
    pub operator_limits: Option<LimitTable>,
    /// Timeout for connecting to a server.
    pub connect_timeout: Cell<Duration>,
    /// Time after which a server closes an idle connection.
    pub idle_timeout: Duration,
    /// How long a server still accepts attempts after it was reported draining.
    pub drain_grace: Cell<Span>,
    /// Maximum number of file descriptors that the process may open.
    pub max_descriptors: usize,
    /// Memory limit of the process in bytes; a part of it is reserved for long responses.
    pub memory_limit_bytes: usize,
}
