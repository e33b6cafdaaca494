//! Default values of the fields that an experiment file leaves out.

use super::choices::{CacheMode, DedupGroup, ListSource, Protocol, Repeats};
use super::{Fleet, RuleTolerances, World};
use toml::Spanned;

impl Default for World {
    fn default() -> World {
        World {
            zones: vec!["north".into()],
            servers: 6,
            mode: CacheMode::Aside.name().into(),
            cores: 4,
            max_queued: 64,
            max_cached_values: 20_000,
            cached_share: 0.5,
            slow_start_share: 0.2,
            slow_start_s: 10.0,
            collapse_multiple: 2.0,
            collapse_window_s: 2.0,
            max_connections: 600,
            idle_timeout_s: 30.0,
            handshake_ms: 0.3,
            origin_slots: 16,
            origin_queue: 64,
            origin_ms: 20.0,
            origin_contention: 0.0,
            origin_connections: 600,
            list_delay_s: 0.2,
            list_call_ms: 0.5,
        }
    }
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            proxies: 2,
            max_attempts: 6,
            hedging: true,
            cancellation: true,
            probes: true,
            max_retry_after_s: 2.0,
            drain_grace_s: 1.0,
            connect_ms: 250.0,
            sockets: 1024,
            memory_mb: 128,
            detection_s: 2.0,
            draining_detection_s: 0.3,
            source: ListSource::Platform.name().into(),
            protocol: Protocol::Http.name().into(),
            count_peers: false,
            operator: Vec::new(),
        }
    }
}

impl Default for RuleTolerances {
    fn default() -> RuleTolerances {
        RuleTolerances {
            late_tolerance_ms: 150.0,
            drain_tolerance_ms: 50.0,
            max_rejection_delay_ms: 250.0,
            overlap_ms: 50.0,
            cancel_delay_ms: 100.0,
        }
    }
}

pub(super) fn seed() -> u64 {
    1
}

pub(super) fn clients() -> usize {
    40
}

pub(super) fn keys() -> usize {
    2000
}

pub(super) fn hot_keys() -> usize {
    1
}

pub(super) fn skew() -> f64 {
    0.9
}

pub(super) fn share() -> f64 {
    1.0
}

pub(super) fn backoff_ms() -> f64 {
    200.0
}

pub(super) fn window_ms() -> f64 {
    1500.0
}

pub(super) fn bytes() -> usize {
    1024
}

/// The empty span distinguishes the default from a value in the file.
pub(super) fn repeats() -> Spanned<String> {
    Spanned::new(0..0, Repeats::Replayable.name().into())
}

pub(super) fn group() -> Spanned<String> {
    Spanned::new(0..0, DedupGroup::All.name().into())
}
