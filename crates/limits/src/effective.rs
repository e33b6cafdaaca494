//! Which limits apply to the requests of one class, and who set each.

use crate::operator::{LimitOverrides, Located};
use crate::platform::{Idempotency, Namespace, PlatformLimits};
use chalkwalk_time::Span;
use std::fmt;

/// Who set a limit. The operator's are named with the line of the file.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitSource {
    /// The platform, as no operator did.
    Platform,
    /// The file's defaults.
    Defaults(usize),
    /// A class, by its namespace.
    Class(String, usize),
    /// A route, by its name.
    Route(String, usize),
}

impl LimitSource {
    /// The line of the operator's file, if it is from there.
    pub(crate) fn line(&self) -> Option<usize> {
        match self {
            LimitSource::Platform => None,
            LimitSource::Defaults(line) | LimitSource::Class(_, line) | LimitSource::Route(_, line) => {
                Some(*line)
            }
        }
    }
}

impl fmt::Display for LimitSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LimitSource::Platform => write!(f, "the platform"),
            LimitSource::Defaults(line) => write!(f, "line {line}, defaults"),
            LimitSource::Class(name, line) => write!(f, "line {line}, class {name}"),
            LimitSource::Route(name, line) => write!(f, "line {line}, route {name}"),
        }
    }
}

/// A limit that applies, and who set it.
#[derive(Clone, Debug, PartialEq)]
pub struct Effective<T> {
    /// The limit.
    pub value: T,
    /// Who set it.
    pub source: LimitSource,
}

/// The limits of one class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Within which a request has its final response.
    pub time_limit: Effective<Span>,
    /// Within which a response is worth most to the client.
    pub latency_objective: Effective<Span>,
    /// Attempts for one request, the first included.
    pub max_attempts: Effective<u64>,
    /// How long a single attempt is waited for. `None`: up to the time limit.
    pub attempt_timeout: Effective<Option<Span>>,
    /// Whether requests may be hedged.
    pub hedging: Effective<bool>,
    /// After what share of responses, in thousandths, a request is hedged. `None`: only where a
    /// server is silent or an attempt lost.
    pub hedge_after: Effective<Option<u64>>,
    /// Retries, in thousandths of first attempts. `None`: the balancer's own budget for all
    /// classes.
    pub retry_budget: Effective<Option<u64>>,
    /// Requests in flight at once. `None`: as many as come.
    pub max_in_flight: Effective<Option<u64>>,
    /// Of a request's body, in bytes.
    pub max_body_bytes: Effective<u64>,
}

impl Limits {
    /// The platform's limits for a namespace, with an operator's in their place where they are set.
    pub(crate) fn of(platform: &PlatformLimits, namespace: &Namespace, scopes: &[Scope]) -> Limits {
        let time_limit = effective(scopes, namespace.time_limit, |set| set.time_limit);
        let mut latency_objective =
            effective(scopes, namespace.latency_objective, |set| set.latency_objective);
        let platform_objective = latency_objective.source == LimitSource::Platform;
        if platform_objective && latency_objective.value > time_limit.value {
            // A shorter time limit shortens the platform's objective with it.
            latency_objective = time_limit.clone();
        }
        // Only requests that may run twice are hedged, whatever wider scopes allow.
        let hedging = platform.hedging && namespace.idempotency == Idempotency::Replayable;
        Limits {
            time_limit,
            latency_objective,
            max_attempts: effective(scopes, platform.max_attempts, |set| set.max_attempts),
            attempt_timeout: effective(scopes, None, |set| optional(set.attempt_timeout)),
            hedging: effective(scopes, hedging, |set| set.hedging),
            hedge_after: effective(scopes, None, |set| optional(set.hedge_after)),
            retry_budget: effective(scopes, None, |set| optional(set.retry_budget)),
            max_in_flight: effective(scopes, None, |set| optional(set.max_in_flight)),
            max_body_bytes: effective(scopes, platform.max_body_bytes, |set| set.max_body_bytes),
        }
    }
}

/// Limits that an operator sets for some requests.
pub(crate) struct Scope<'a> {
    pub overrides: &'a LimitOverrides,
    pub kind: ScopeKind<'a>,
}

#[derive(Clone, Copy)]
pub(crate) enum ScopeKind<'a> {
    Defaults,
    Class(&'a str),
    Route(&'a str),
}

impl ScopeKind<'_> {
    fn source(self, line: usize) -> LimitSource {
        match self {
            ScopeKind::Defaults => LimitSource::Defaults(line),
            ScopeKind::Class(name) => LimitSource::Class(name.to_string(), line),
            ScopeKind::Route(name) => LimitSource::Route(name.to_string(), line),
        }
    }
}

/// The limit of the narrowest scope that sets it, or the platform's. `scopes` go from the widest to
/// the narrowest.
fn effective<T: Copy>(
    scopes: &[Scope],
    platform: T,
    limit: impl Fn(&LimitOverrides) -> Option<Located<T>>,
) -> Effective<T> {
    let narrowest = scopes.iter().rev().find_map(|scope| {
        let Located { value, line } = limit(scope.overrides)?;
        Some(Effective { value, source: scope.kind.source(line) })
    });
    narrowest.unwrap_or(Effective { value: platform, source: LimitSource::Platform })
}

/// For limits that the platform does not have.
fn optional<T>(set: Option<Located<T>>) -> Option<Located<Option<T>>> {
    set.map(|located| located.map(Some))
}
