//! The tables `[rules]` and `[bounds]`: the tolerances of the rules, and limits of the figures of a
//! run.

use serde::Deserialize;

/// Tolerances of the rules that the oracle checks. They mostly cover the testbed's own delays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleTolerances {
    /// How long after the time limit a response may come: the platform's tolerance, plus what a
    /// busy machine may add.
    #[serde(rename = "late_ms")]
    pub late_tolerance_ms: f64,
    /// How long after the grace period of a drain an attempt may still start.
    #[serde(rename = "drain_ms")]
    pub drain_tolerance_ms: f64,
    /// The longest time from the last event that a refusal could have waited for, such as the end
    /// of the last attempt, to the refusal; a longer one breaks the rule of prompt refusals.
    #[serde(rename = "held_ms")]
    pub max_rejection_delay_ms: f64,
    /// How long an abandoned attempt may overlap the next one.
    pub overlap_ms: f64,
    /// The longest time from a client's cancellation to the first byte of an attempt for it; a
    /// later attempt breaks the rule.
    #[serde(rename = "left_ms")]
    pub cancel_delay_ms: f64,
}

/// Limits that have to hold in addition to the rules. A limit that is not stated is not checked.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Minimum share of the first requests that are served within the latency objective, by the
    /// first try or a retry.
    #[serde(rename = "in_time")]
    pub min_in_time_share: Option<f64>,
    /// Minimum of the same share in the worst window of five seconds.
    #[serde(rename = "worst_window")]
    pub min_window_in_time_share: Option<f64>,
    /// Maximum share of the requests that are rejected.
    #[serde(rename = "deferred")]
    pub max_rejected_share: Option<f64>,
    /// Maximum share of the requests that fail.
    #[serde(rename = "abandoned")]
    pub max_failed_share: Option<f64>,
    /// Maximum mean number of attempts per request.
    #[serde(rename = "shots_per_lookup")]
    pub max_attempts_per_request: Option<f64>,
    /// Maximum memory of any proxy, in megabytes.
    pub memory_mb: Option<f64>,
    /// Maximum time from when a proxy is notified that a server is draining to its last new attempt
    /// at that server.
    pub drain_ms: Option<f64>,
    /// Maximum number of requests per thousand that stay unanswered because their proxy was killed.
    pub killed_per_thousand: Option<f64>,
}
