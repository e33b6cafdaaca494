//! What an operator says, as it stands in the file: nothing of it is checked yet.

use chalkwalk_time::Span;

/// A value and the line that said it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Located<T> {
    pub value: T,
    pub line: usize,
}

impl<T> Located<T> {
    pub fn new(value: T, line: usize) -> Located<T> {
        Located { value, line }
    }
}

/// What may be set; nothing said, and the next wider one holds.
#[derive(Clone, Debug, Default)]
pub struct LimitOverrides {
    pub time_limit: Option<Located<Span>>,
    pub latency_objective: Option<Located<Span>>,
    pub max_attempts: Option<Located<u64>>,
    /// How long a single attempt is waited for.
    pub attempt_timeout: Option<Located<Span>>,
    pub hedging: Option<Located<bool>>,
    /// A hedged request goes out once an attempt takes longer than so many thousandths of all answers did.
    pub hedge_after: Option<Located<u64>>,
    /// Retries, in thousandths of the first ones, over a sliding time.
    pub retry_budget: Option<Located<u64>>,
    /// Requests of this class open at once.
    pub max_in_flight: Option<Located<u64>>,
    /// Of a request, in bytes.
    pub max_body_bytes: Option<Located<u64>>,
}

/// Which requests a route takes: those that meet all that is said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteMatch {
    pub path: Option<String>, // a prefix
    pub namespace: Option<String>,
    pub tenant: Option<String>,
    pub frontend: Option<String>,
}

#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub line: usize,
    pub when: RouteMatch,
    pub settings: LimitOverrides,
}

/// What clients do by themselves.
#[derive(Clone, Copy, Debug)]
pub struct ClientRetries {
    /// First try included.
    pub tries: Located<u64>,
    /// How many attempts one request of a client may come to, over all its tries, in thousandths.
    pub amplification: Located<u64>,
}

#[derive(Clone, Debug, Default)]
pub struct UncheckedLimits {
    pub defaults: LimitOverrides,
    pub classes: Vec<(Located<String>, LimitOverrides)>, // by namespace
    pub routes: Vec<Route>,                              // the first that matches holds
    pub clients: Option<ClientRetries>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Replayable,
    Tagged,
    SingleUse,
}

/// What the platform says of a namespace.
#[derive(Clone, Debug)]
pub struct Namespace {
    pub name: String,
    pub time_limit: Span,
    pub latency_objective: Span,
    pub idempotency: Idempotency,
    /// In which servers drop repeats of a tagged request.
    pub dedup_window: Span,
}

/// The platform's settings: the platform_limits that a file has to keep to.
#[derive(Clone, Debug, Default)]
pub struct PlatformLimits {
    pub max_attempts: u64,
    pub hedging: bool,
    pub connect_time: Span,
    pub max_body_bytes: u64,
    pub namespaces: Vec<Namespace>,
    /// Empty where the platform names none: then any may be named.
    pub tenants: Vec<String>,
    pub frontends: Vec<String>,
}
