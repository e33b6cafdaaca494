//! What the engine is told at its start.

use chalkwalk_limits::{LimitTable, PlatformLimits};
use chalkwalk_time::Span;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

pub struct EngineConfig {
    pub name: String,
    pub seed: u64,
    /// What the balancer is told, by the platform's names.
    pub settings: BTreeMap<String, String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// What limits an operator may set.
    pub platform_limits: PlatformLimits,
    /// What an operator has set, if one has.
    pub limits: Option<LimitTable>,
    pub connect_timeout: Cell<Duration>,
    /// After which a server closes a connection that is idle.
    pub idle_timeout: Duration,
    /// From a drain's notice on, in which a server still takes attempts.
    pub drain_grace: Cell<Span>,
    /// That the process may hold.
    pub descriptors: usize,
    /// In bytes; a part of it is for long answers.
    pub memory: usize,
}
