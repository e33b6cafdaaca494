//! The limits of the file, in the units that they are checked in.

use crate::lines::Lines;
use crate::schema::{ClassFields, ClientFields, LimitFields, OperatorFile, RouteFields};
use chalkwalk_limits::{
    ClassOverrides, ClientRetries, LimitOverrides, Located, Route, RouteMatch, UncheckedLimits,
};
use chalkwalk_time::Span;
use toml::Spanned;

/// Ticks of a tenth of a millisecond in a millisecond.
const TICKS_PER_MS: f64 = 10.0;

/// All limits, with their lines.
pub(crate) fn unchecked(file: &OperatorFile, lines: Lines) -> UncheckedLimits {
    UncheckedLimits {
        defaults: overrides(&file.defaults, lines),
        classes: file.classes.iter().map(|fields| class(fields, lines)).collect(),
        routes: file.routes.iter().map(|fields| route(fields, lines)).collect(),
        clients: file.clients.as_ref().map(|fields| clients(fields, lines)),
    }
}

fn class(fields: &ClassFields, lines: Lines) -> ClassOverrides {
    ClassOverrides {
        namespace: lines.located(&fields.namespace),
        overrides: overrides(&fields.limits, lines),
    }
}

fn route(spanned: &Spanned<RouteFields>, lines: Lines) -> Route {
    let fields = spanned.get_ref();
    Route {
        name: fields.name.clone(),
        line: lines.of(spanned),
        matches: RouteMatch {
            path: fields.path.clone(),
            namespace: fields.namespace.clone(),
            tenant: fields.tenant.clone(),
            frontend: fields.frontend.clone(),
        },
        overrides: overrides(&fields.limits, lines),
    }
}

fn clients(fields: &ClientFields, lines: Lines) -> ClientRetries {
    ClientRetries {
        tries: lines.located(&fields.tries),
        max_amplification: lines.located(&fields.max_amplification).map(thousandths),
    }
}

fn overrides(fields: &LimitFields, lines: Lines) -> LimitOverrides {
    LimitOverrides {
        time_limit: converted(&fields.time_limit_ms, lines, span),
        latency_objective: converted(&fields.latency_objective_ms, lines, span),
        max_attempts: converted(&fields.max_attempts, lines, |count| count),
        attempt_timeout: converted(&fields.attempt_timeout_ms, lines, span),
        hedging: converted(&fields.hedging, lines, |flag| flag),
        hedge_after: converted(&fields.hedge_after, lines, thousandths),
        retry_budget: converted(&fields.retry_budget, lines, thousandths),
        max_in_flight: converted(&fields.max_in_flight, lines, |count| count),
        max_body_bytes: converted(&fields.max_body_bytes, lines, |bytes| bytes),
    }
}

fn converted<T: Clone, U>(
    value: &Option<Spanned<T>>,
    lines: Lines,
    convert: impl FnOnce(T) -> U,
) -> Option<Located<U>> {
    value.as_ref().map(|value| lines.located(value).map(convert))
}

/// Below zero and what is no number come out as 0, which is refused.
fn span(milliseconds: f64) -> Span {
    Span::from_ticks((milliseconds * TICKS_PER_MS).round() as u64)
}

fn thousandths(share: f64) -> u64 {
    (share * 1000.0).round() as u64
}
