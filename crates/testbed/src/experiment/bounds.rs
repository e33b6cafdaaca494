//! The tables `[rules]` and `[bounds]`: what the judge tolerates, and what has to hold beside the rules.

use serde::Deserialize;

/// What the judge tolerates beside the letter of the rules: mostly the testbed's own delays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// After a time limit, as the platform has it, and what a busy machine may add.
    pub late_ms: f64,
    /// After a drain's grace.
    pub drain_ms: f64,
    /// From the end of the last attempt to a refusal: more counts as held back.
    #[serde(rename = "held_ms")]
    pub refusal_delay_ms: f64,
    /// How long an attempt that was given up may overlap the next one.
    pub overlap_ms: f64,
    /// From a client's cancellation to the first byte of an attempt for it: more counts as sent on.
    #[serde(rename = "left_ms")]
    pub cancel_delay_ms: f64,
}

/// What has to hold beside the rules; what is not stated is not checked.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The least share of the first requests that is served within the latency objective, by some try.
    pub in_time: Option<f64>,
    /// The same in the worst window of five seconds.
    pub worst_window: Option<f64>,
    /// The largest share of the requests that is rejected.
    #[serde(rename = "deferred")]
    pub rejected: Option<f64>,
    /// The largest share of the requests that fails.
    #[serde(rename = "abandoned")]
    pub failed: Option<f64>,
    /// The most attempts a request, in the mean.
    #[serde(rename = "shots_per_lookup")]
    pub attempts_per_request: Option<f64>,
    /// The most memory of any proxy.
    pub memory_mb: Option<f64>,
    /// The longest from when a proxy is notified that a server is off to its last new attempt there.
    pub drain_ms: Option<f64>,
    /// How many of a thousand requests may stay unanswered because their proxy was killed.
    pub killed_per_thousand: Option<f64>,
}
