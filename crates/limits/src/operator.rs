//! An operator's limits as they stand in the file: nothing of them is checked yet.

use chalkwalk_time::Span;

/// A value and the line of the file that it stands in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Its line, counted from 1.
    pub line: usize,
}

impl<T> Located<T> {
    /// A value in a line.
    pub fn new(value: T, line: usize) -> Located<T> {
        Located { value, line }
    }

    /// The value converted, still in its line.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Located<U> {
        Located::new(convert(self.value), self.line)
    }
}

/// The limits that may be set; where one is not, that of the next wider scope applies.
#[derive(Clone, Debug, Default)]
pub struct LimitOverrides {
    /// Within which a request has its final response.
    pub time_limit: Option<Located<Span>>,
    /// Within which a response is worth most to the client.
    pub latency_objective: Option<Located<Span>>,
    /// Attempts for one request, the first included.
    pub max_attempts: Option<Located<u64>>,
    /// How long a single attempt is waited for.
    pub attempt_timeout: Option<Located<Span>>,
    /// Whether requests may be hedged.
    pub hedging: Option<Located<bool>>,
    /// A hedged request is sent once an attempt takes longer than so many thousandths of all
    /// responses did.
    pub hedge_after: Option<Located<u64>>,
    /// Retries, in thousandths of first attempts, over a sliding time.
    pub retry_budget: Option<Located<u64>>,
    /// Requests of this class in flight at once.
    pub max_in_flight: Option<Located<u64>>,
    /// Of a request's body, in bytes.
    pub max_body_bytes: Option<Located<u64>>,
}

/// Which requests a route is for: those that meet every condition that is set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteMatch {
    /// What the path begins with.
    pub path: Option<String>,
    /// The request's namespace.
    pub namespace: Option<String>,
    /// The request's tenant.
    pub tenant: Option<String>,
    /// The frontend that it came by.
    pub frontend: Option<String>,
}

/// Limits for the requests that match.
#[derive(Clone, Debug)]
pub struct Route {
    /// Unique in the file.
    pub name: String,
    /// The line that it begins at.
    pub line: usize,
    /// Which requests it is for.
    pub matches: RouteMatch,
    /// Their limits.
    pub overrides: LimitOverrides,
}

/// Limits for the requests of one namespace.
#[derive(Clone, Debug)]
pub struct ClassOverrides {
    /// The namespace's name.
    pub namespace: Located<String>,
    /// Its limits.
    pub overrides: LimitOverrides,
}

/// Retries that clients make by themselves.
#[derive(Clone, Copy, Debug)]
pub struct ClientRetries {
    /// Requests that a client sends for the same, the first included.
    pub tries: Located<u64>,
    /// How many attempts they may all come to, in thousandths.
    pub max_amplification: Located<u64>,
}

/// All that an operator sets, unchecked.
#[derive(Clone, Debug, Default)]
pub struct UncheckedLimits {
    /// For all requests.
    pub defaults: LimitOverrides,
    /// For single namespaces.
    pub classes: Vec<ClassOverrides>,
    /// For requests that match. The first that does applies.
    pub routes: Vec<Route>,
    /// What clients do by themselves, where the operator states it.
    pub clients: Option<ClientRetries>,
}
