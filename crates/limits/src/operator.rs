//! An operator's limits as they are written in the file, before they are checked.

use chalkwalk_time::Span;

/// A value and the line of the file where it is set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// The line of the file, counted from 1.
    pub line: usize,
}

impl<T> Located<T> {
    /// Creates a value with its line.
    pub fn new(value: T, line: usize) -> Located<T> {
        Located { value, line }
    }

    /// Converts the value and keeps its line.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Located<U> {
        Located::new(convert(self.value), self.line)
    }
}

/// The limits that an operator may set in one scope. For a limit that is not set, that of the next
/// wider scope applies.
#[derive(Clone, Debug, Default)]
pub struct LimitOverrides {
    /// Time within which a request must get its final response.
    pub time_limit: Option<Located<Span>>,
    /// Response time up to which a response has its full value to the client.
    pub latency_objective: Option<Located<Span>>,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: Option<Located<u64>>,
    /// How long the proxy waits for the response to a single attempt.
    pub attempt_timeout: Option<Located<Span>>,
    /// Whether requests may be hedged.
    pub hedging: Option<Located<bool>>,
    /// Quantile of recent response times, in thousandths: a hedged request is sent once an attempt
    /// has taken longer.
    pub hedge_after_permille: Option<Located<u64>>,
    /// Retries allowed within a sliding window, in thousandths of the first attempts.
    pub retry_budget_permille: Option<Located<u64>>,
    /// Maximum number of requests of the class that are in flight at once.
    pub max_in_flight: Option<Located<u64>>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: Option<Located<u64>>,
}

/// The conditions of a route. A route matches the requests that meet every condition that is set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteMatch {
    /// Prefix of the request's path.
    pub path_prefix: Option<String>,
    /// The request's namespace.
    pub namespace: Option<String>,
    /// The request's tenant.
    pub tenant: Option<String>,
    /// The frontend that received the request.
    pub frontend: Option<String>,
}

/// Limits for the requests that match the route's conditions.
#[derive(Clone, Debug)]
pub struct Route {
    /// The route's name, unique in the file.
    pub name: String,
    /// The line of the file where the route begins.
    pub line: usize,
    /// Which requests the route matches.
    pub conditions: RouteMatch,
    /// The limits for these requests.
    pub overrides: LimitOverrides,
}

/// Limits for the requests of one namespace.
#[derive(Clone, Debug)]
pub struct ClassOverrides {
    /// The name of the namespace.
    pub namespace: Located<String>,
    /// The limits for its requests.
    pub overrides: LimitOverrides,
}

/// Retries that clients make on their own, in addition to the proxy's.
#[derive(Clone, Copy, Debug)]
pub struct ClientRetries {
    /// Number of times that a client sends the same request, including the first.
    pub tries: Located<u64>,
    /// Maximum number of attempts for all of these requests together, in thousandths.
    pub max_amplification: Located<u64>,
}

/// All limits that an operator sets, before they are checked.
#[derive(Clone, Debug, Default)]
pub struct UncheckedLimits {
    /// Limits for all requests.
    pub defaults: LimitOverrides,
    /// Limits for the requests of one namespace each.
    pub classes: Vec<ClassOverrides>,
    /// Limits for the requests that a route matches. The first route that matches applies.
    pub routes: Vec<Route>,
    /// The clients' own retries, if the operator states them.
    pub clients: Option<ClientRetries>,
}
