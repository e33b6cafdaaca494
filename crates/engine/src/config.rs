//! What the engine must be given at its start.

use chalkwalk_limits::{LimitTable, PlatformLimits};
use chalkwalk_time::Span;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

/// The configuration of one proxy. The fields in cells change when the settings are read again.
pub struct EngineConfig {
    /// The proxy instance.
    pub name: String,
    /// Of the balancer's random draws.
    pub seed: u64,
    /// The balancer's settings, by the platform's names.
    pub settings: BTreeMap<String, String>,
    /// The zones, in the order by which the balancer numbers them.
    pub zones: Vec<String>,
    /// The kinds of server, in the order by which the balancer numbers them.
    pub kinds: Vec<String>,
    /// Which limits an operator may set.
    pub platform_limits: PlatformLimits,
    /// What an operator has set, if one has.
    pub limits: Option<LimitTable>,
    /// For connecting to a server.
    pub connect_timeout: Cell<Duration>,
    /// After which a server closes a connection that is idle.
    pub idle_timeout: Duration,
    /// How long after the notice of its drain a server still takes attempts.
    pub drain_grace: Cell<Span>,
    /// How many descriptors the process may hold.
    pub descriptors: usize,
    /// In bytes; a part of it is for long responses.
    pub memory: usize,
}
