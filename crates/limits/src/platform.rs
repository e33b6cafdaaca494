//! The platform's limits, which an operator's limits must not exceed.

use chalkwalk_time::Span;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated any number of times.
    Replayable,
    /// The request carries an idempotency key, by which servers drop repeats for a limited time,
    /// the namespace's `dedup_window`.
    Tagged,
    /// The request must not run more than once.
    SingleUse,
}

/// The platform's limits for the requests of one namespace.
#[derive(Clone, Debug)]
pub struct Namespace {
    /// The name of the namespace.
    pub name: String,
    /// Time within which a request must get its final response.
    pub time_limit: Span,
    /// Response time up to which a response has its full value to the client.
    pub latency_objective: Span,
    /// Whether the namespace's requests may run more than once.
    pub idempotency: Idempotency,
    /// How long servers drop repeats of a tagged request.
    pub dedup_window: Span,
}

/// The platform's limits.
#[derive(Clone, Debug, Default)]
pub struct PlatformLimits {
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u64,
    /// Whether requests may be hedged, in any namespace.
    pub hedging: bool,
    /// Time within which a connection to a server must be established.
    pub connect_timeout: Span,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// The namespaces; elsewhere a namespace is referred to by its index in this list.
    pub namespaces: Vec<Namespace>,
    /// Names of the tenants. If the list is empty, routes may name any tenant.
    pub tenants: Vec<String>,
    /// Names of this program's frontends. If the list is empty, routes may name any frontend.
    pub frontends: Vec<String>,
}
