//! Formats which limits apply to a request, and which line of the file sets each of them: the
//! output of `chalkwalk explain`.

use chalkwalk_limits::{EffectiveLimit, LimitTable, Limits, RequestAttributes};
use chalkwalk_time::Span;
use std::fmt::Write;

/// One line of the output.
struct Row {
    name: &'static str,
    value: String,
    source: String,
}

impl Row {
    fn new<T: Clone>(name: &'static str, limit: &EffectiveLimit<T>, format: impl FnOnce(T) -> String) -> Row {
        Row { name, value: format(limit.value.clone()), source: limit.source.to_string() }
    }
}

/// The name of the request's route and then the limits that apply, one per line.
pub fn explain(table: &LimitTable, request: RequestAttributes) -> String {
    let class = table.class_index(request);
    let route =
        table.route_name(class).map_or("no route matches".to_string(), |name| format!("route {name}"));
    let mut output = format!("{route}\n");
    for Row { name, value, source } in rows(&table.classes()[class].limits) {
        _ = writeln!(output, "{name:<16} {value:<24} {source}");
    }
    output
}

fn rows(limits: &Limits) -> [Row; 9] {
    [
        Row::new("time limit", &limits.time_limit, milliseconds),
        Row::new("target time", &limits.latency_objective, milliseconds),
        Row::new("max attempts", &limits.max_attempts, |count| count.to_string()),
        Row::new("attempt timeout", &limits.attempt_timeout, |timeout| {
            timeout.map_or("up to the time limit".into(), milliseconds)
        }),
        Row::new("hedging", &limits.hedging, |allowed| if allowed { "allowed" } else { "never" }.into()),
        Row::new("hedge after", &limits.hedge_after_permille, |share| {
            share.map_or("silence or loss only".into(), fraction)
        }),
        Row::new("retry budget", &limits.retry_budget_permille, |share| {
            share.map_or("the shared budget".into(), fraction)
        }),
        Row::new("max in flight", &limits.max_in_flight, |count| {
            count.map_or("no limit".into(), |count| count.to_string())
        }),
        Row::new("max body", &limits.max_body_bytes, |bytes| format!("{bytes} bytes")),
    ]
}

fn milliseconds(span: Span) -> String {
    format!("{} ms", span.as_millis_f64())
}

fn fraction(thousandths: u64) -> String {
    (thousandths as f64 / 1000.0).to_string()
}
