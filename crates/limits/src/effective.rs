//! The limits that apply to the requests of one class, and who set each of them.

use crate::operator::{LimitOverrides, Located};
use crate::platform::{Idempotency, Namespace, PlatformLimits};
use chalkwalk_time::Span;
use std::fmt;

/// Who set a limit. For a limit from the operator's file, the variant holds the line that sets it.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitSource {
    /// The platform; the operator's file does not set the limit.
    Platform,
    /// The defaults of the operator's file.
    Defaults(usize),
    /// The class of the namespace with this name.
    Class(String, usize),
    /// The route with this name.
    Route(String, usize),
}

impl LimitSource {
    /// The line of the operator's file, if the limit is set there.
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
pub struct EffectiveLimit<T> {
    /// The limit.
    pub value: T,
    /// Who set it.
    pub source: LimitSource,
}

/// The limits that apply to one class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Time within which a request must get its final response.
    pub time_limit: EffectiveLimit<Span>,
    /// Response time up to which a response has its full value to the client.
    pub latency_objective: EffectiveLimit<Span>,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: EffectiveLimit<u64>,
    /// How long the proxy waits for the response to a single attempt. `None`: up to the time limit.
    pub attempt_timeout: EffectiveLimit<Option<Span>>,
    /// Whether requests may be hedged.
    pub hedging: EffectiveLimit<bool>,
    /// Quantile of recent response times, in thousandths: a hedged request is sent once an attempt
    /// has taken longer. `None`: a hedged request is sent only if a server is silent or an attempt
    /// is lost.
    pub hedge_after_permille: EffectiveLimit<Option<u64>>,
    /// Retries allowed, in thousandths of the first attempts. `None`: the class uses the balancer's
    /// budget, which is shared between classes.
    pub retry_budget_permille: EffectiveLimit<Option<u64>>,
    /// Maximum number of requests in flight at once. `None`: no limit.
    pub max_in_flight: EffectiveLimit<Option<u64>>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: EffectiveLimit<u64>,
}

impl Limits {
    /// The limits for a namespace: the operator's where they are set, the platform's otherwise.
    pub(crate) fn resolve(platform: &PlatformLimits, namespace: &Namespace, scopes: &[Scope]) -> Limits {
        let time_limit = resolve_limit(scopes, namespace.time_limit, |limits| limits.time_limit);
        let mut latency_objective =
            resolve_limit(scopes, namespace.latency_objective, |limits| limits.latency_objective);
        let platform_objective = latency_objective.source == LimitSource::Platform;
        if platform_objective && latency_objective.value > time_limit.value {
            // The platform's objective is lowered to the operator's shorter time limit.
            latency_objective = time_limit.clone();
        }
        // By default only requests that may run twice are hedged, even if the platform allows
        // hedging.
        let hedging = platform.hedging && namespace.idempotency == Idempotency::Replayable;
        Limits {
            time_limit,
            latency_objective,
            max_attempts: resolve_limit(scopes, platform.max_attempts, |limits| limits.max_attempts),
            attempt_timeout: resolve_limit(scopes, None, |limits| wrap_value(limits.attempt_timeout)),
            hedging: resolve_limit(scopes, hedging, |limits| limits.hedging),
            hedge_after_permille: resolve_limit(scopes, None, |limits| {
                wrap_value(limits.hedge_after_permille)
            }),
            retry_budget_permille: resolve_limit(scopes, None, |limits| {
                wrap_value(limits.retry_budget_permille)
            }),
            max_in_flight: resolve_limit(scopes, None, |limits| wrap_value(limits.max_in_flight)),
            max_body_bytes: resolve_limit(scopes, platform.max_body_bytes, |limits| limits.max_body_bytes),
        }
    }
}

/// The limits that an operator sets in one part of the file.
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

/// The value of the narrowest scope that sets the limit, or else the platform's. `scopes` are
/// ordered from the widest to the narrowest.
fn resolve_limit<T: Copy>(
    scopes: &[Scope],
    platform_value: T,
    limit: impl Fn(&LimitOverrides) -> Option<Located<T>>,
) -> EffectiveLimit<T> {
    let narrowest = scopes.iter().rev().find_map(|scope| {
        let Located { value, line } = limit(scope.overrides)?;
        Some(EffectiveLimit { value, source: scope.kind.source(line) })
    });
    narrowest.unwrap_or(EffectiveLimit { value: platform_value, source: LimitSource::Platform })
}

/// Wraps the value of a limit that exists only in the operator's file. The platform's value for
/// such a limit is `None`.
fn wrap_value<T>(limit: Option<Located<T>>) -> Option<Located<Option<T>>> {
    limit.map(|located| located.map(Some))
}
