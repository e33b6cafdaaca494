//! Values that make no sense by themselves, whatever the platform allows.

use crate::error::ErrorList;
use crate::operator::{LimitOverrides, Located, UncheckedLimits};
use chalkwalk_time::Span;
use std::ops::Range;

/// The shortest time that may be set: below it no response comes over any network.
const SHORTEST: Span = Span::from_millis(1);
/// Thousandths of responses after which a request may be hedged. Below half, most requests would be
/// hedged; all is never reached.
const HEDGE_AFTER: Range<u64> = 500..1000;
/// The highest share of retries, in thousandths of first attempts. More is a slip in writing.
const MAX_RETRY_BUDGET: u64 = 5000;

pub(crate) fn check(limits: &UncheckedLimits, errors: &mut ErrorList) {
    let classes = limits.classes.iter().map(|class| &class.overrides);
    let routes = limits.routes.iter().map(|route| &route.overrides);
    for overrides in std::iter::once(&limits.defaults).chain(classes).chain(routes) {
        check_times(overrides, errors);
        check_counts(overrides, errors);
        check_shares(overrides, errors);
    }
}

fn check_times(overrides: &LimitOverrides, errors: &mut ErrorList) {
    let times = [
        ("time_limit_ms", overrides.time_limit),
        ("target_ms", overrides.latency_objective),
        ("shot_wait_ms", overrides.attempt_timeout),
    ];
    for (key, time) in times {
        if let Some(Located { line, .. }) = time.filter(|time| time.value < SHORTEST) {
            let shortest = SHORTEST.as_millis_f64();
            errors.add(line, format!("{key} is below {shortest} ms, in which no answer comes"));
        }
    }
}

fn check_counts(overrides: &LimitOverrides, errors: &mut ErrorList) {
    let counts = [
        ("most_shots", overrides.max_attempts),
        ("open", overrides.max_in_flight),
        ("longest_body", overrides.max_body_bytes),
    ];
    for (key, count) in counts {
        if let Some(Located { line, .. }) = count.filter(|count| count.value == 0) {
            errors.add(line, format!("{key} is 0, and nothing would be served"));
        }
    }
}

fn check_shares(overrides: &LimitOverrides, errors: &mut ErrorList) {
    let hedge_after = overrides.hedge_after.filter(|share| !HEDGE_AFTER.contains(&share.value));
    if let Some(Located { line, .. }) = hedge_after {
        errors.add(line, "copies_after is a share of the answers, from 0.5 to 0.999".into());
    }
    let retry_budget = overrides.retry_budget.filter(|share| share.value > MAX_RETRY_BUDGET);
    if let Some(Located { line, .. }) = retry_budget {
        errors.add(line, "further_shots is a share of the first attempts, from 0 to 5".into());
    }
}
