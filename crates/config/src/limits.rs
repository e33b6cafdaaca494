//! Converts the limits in the file to the units in which they are checked.

use crate::lines::Lines;
use crate::schema::{ClassFields, ClientFields, LimitFields, OperatorFile, RouteFields};
use chalkwalk_limits::{
    ClassOverrides, ClientRetries, LimitOverrides, Located, Route, RouteMatch, UncheckedLimits,
};
use chalkwalk_time::Span;
use toml::Spanned;

/// Number of ticks in a millisecond; a tick is 0.1 ms.
const TICKS_PER_MS: f64 = 10.0;

/// All limits of the file, with their lines.
pub(crate) fn unchecked_limits(file: &OperatorFile, lines: Lines) -> UncheckedLimits {
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
        line: lines.line_of(spanned),
        conditions: RouteMatch {
            path_prefix: fields.path.clone(),
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
        max_amplification: lines.located(&fields.max_amplification).map(to_thousandths),
    }
}

fn overrides(fields: &LimitFields, lines: Lines) -> LimitOverrides {
    LimitOverrides {
        time_limit: convert_field(&fields.time_limit_ms, lines, span_from_ms),
        latency_objective: convert_field(&fields.latency_objective_ms, lines, span_from_ms),
        max_attempts: convert_field(&fields.max_attempts, lines, |count| count),
        attempt_timeout: convert_field(&fields.attempt_timeout_ms, lines, span_from_ms),
        hedging: convert_field(&fields.hedging, lines, |flag| flag),
        hedge_after_permille: convert_field(&fields.hedge_after, lines, to_thousandths),
        retry_budget_permille: convert_field(&fields.retry_budget, lines, to_thousandths),
        max_in_flight: convert_field(&fields.max_in_flight, lines, |count| count),
        max_body_bytes: convert_field(&fields.max_body_bytes, lines, |bytes| bytes),
    }
}

fn convert_field<T: Clone, U>(
    value: &Option<Spanned<T>>,
    lines: Lines,
    convert: impl FnOnce(T) -> U,
) -> Option<Located<U>> {
    value.as_ref().map(|value| lines.located(value).map(convert))
}

/// Converts milliseconds to ticks. A negative value or NaN becomes 0, which the check of the limits
/// rejects.
fn span_from_ms(milliseconds: f64) -> Span {
    Span::from_ticks((milliseconds * TICKS_PER_MS).round() as u64)
}

fn to_thousandths(share: f64) -> u64 {
    (share * 1000.0).round() as u64
}
