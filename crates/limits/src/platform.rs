//! What the platform allows: an operator's limits have to keep to it.

use chalkwalk_time::Span;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated as often as one likes.
    Replayable,
    /// It carries an idempotency key, by which servers drop repeats for some time.
    Tagged,
    /// It must run once at the most.
    SingleUse,
}

/// A namespace's limits by the platform.
#[derive(Clone, Debug)]
pub struct Namespace {
    /// Its name.
    pub name: String,
    /// Within which a request has its final response.
    pub time_limit: Span,
    /// Within which a response is worth most to the client.
    pub latency_objective: Span,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// For how long servers drop repeats of a tagged request.
    pub dedup_window: Span,
}

/// The platform's limits.
#[derive(Clone, Debug, Default)]
pub struct PlatformLimits {
    /// Attempts for one request, the first included.
    pub max_attempts: u64,
    /// Whether requests may be hedged at all.
    pub hedging: bool,
    /// Within which a connection to a server has to come up.
    pub connect_time: Span,
    /// Of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// The namespaces; each one's index is its number.
    pub namespaces: Vec<Namespace>,
    /// Empty where the platform names none: then any may be named.
    pub tenants: Vec<String>,
    /// The frontends of this program. Empty where they are not known: then any may be named.
    pub frontends: Vec<String>,
}
