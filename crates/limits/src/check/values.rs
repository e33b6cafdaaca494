//! Reports values that are invalid by themselves, regardless of the platform's limits.

use crate::error::ErrorList;
use crate::operator::{LimitOverrides, Located, UncheckedLimits};
use chalkwalk_time::Span;
use std::ops::Range;

/// The shortest time that may be set. No response arrives over a network in less.
const MIN_TIME: Span = Span::from_millis(1);
/// The quantiles of response times, in thousandths, after which a request may be hedged. Below a
/// half, most requests would be hedged; no attempt takes longer than all responses, so 1000 is
/// excluded.
const HEDGE_AFTER_RANGE_PERMILLE: Range<u64> = 500..1000;
/// The highest share of retries, in thousandths of the first attempts. A higher value is probably
/// a typing error.
const MAX_RETRY_BUDGET_PERMILLE: u64 = 5000;

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
        if let Some(Located { line, .. }) = time.filter(|time| time.value < MIN_TIME) {
            let min_time_ms = MIN_TIME.as_millis_f64();
            errors.add(line, format!("{key} is below {min_time_ms} ms, too short for any response"));
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
            errors.add(line, format!("{key} is 0, so no request would be served"));
        }
    }
}

fn check_shares(overrides: &LimitOverrides, errors: &mut ErrorList) {
    let hedge_after =
        overrides.hedge_after_permille.filter(|share| !HEDGE_AFTER_RANGE_PERMILLE.contains(&share.value));
    if let Some(Located { line, .. }) = hedge_after {
        errors.add(line, "copies_after must be a share of the responses from 0.5 to 0.999".into());
    }
    let retry_budget =
        overrides.retry_budget_permille.filter(|share| share.value > MAX_RETRY_BUDGET_PERMILLE);
    if let Some(Located { line, .. }) = retry_budget {
        errors.add(line, "further_shots must be a share of the first attempts from 0 to 5".into());
    }
}
