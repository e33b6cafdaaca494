//! Checks the limits of one request class against the platform's, with one function per rule. Each
//! violation names the line to correct. If the platform's limits alone violate a rule, there is no
//! such line and nothing is reported.

use crate::effective::{EffectiveLimit, LimitSource, Limits};
use crate::error::ErrorList;
use crate::platform::{Idempotency, Namespace, PlatformLimits};
use crate::table::LimitTable;
use chalkwalk_time::Span;

/// A violation of a rule: what is wrong, and who set the limits that the rule compares.
struct Violation<'a> {
    sources: Vec<&'a LimitSource>,
    message: String,
}

impl<'a> Violation<'a> {
    fn new(sources: impl Into<Vec<&'a LimitSource>>, message: String) -> Violation<'a> {
        Violation { sources: sources.into(), message }
    }

    /// The line to correct: of the lines that set the compared limits, the last one in the file. A
    /// narrower scope usually follows a wider one, and its limit is the one to change.
    fn line(&self) -> Option<usize> {
        self.sources.iter().filter_map(|source| source.line()).max()
    }
}

/// The input of a rule: the limits of one request class and the platform's limits.
struct RuleContext<'a> {
    limits: &'a Limits,
    namespace: &'a Namespace,
    platform: &'a PlatformLimits,
}

type Rule = for<'a> fn(&RuleContext<'a>) -> Option<Violation<'a>>;

const RULES: [Rule; 13] = [
    time_limit_within_platform_limit,
    objective_within_time_limit,
    attempts_within_platform_limit,
    body_within_platform_limit,
    hedging_only_if_replayable,
    hedging_allowed_by_platform,
    hedge_after_needs_hedging,
    hedge_after_needs_two_attempts,
    retry_budget_within_attempts,
    tagged_retries_need_attempt_timeout,
    attempt_timeout_within_time_limit,
    attempts_end_within_time_limit,
    tagged_retries_within_dedup_window,
];

pub(crate) fn check(table: &LimitTable, platform: &PlatformLimits, errors: &mut ErrorList) {
    for class in table.classes() {
        let namespace = &platform.namespaces[class.namespace];
        let context = RuleContext { limits: &class.limits, namespace, platform };
        for violation in RULES.iter().filter_map(|rule| rule(&context)) {
            if let Some(line) = violation.line() {
                errors.add(line, format!("{}: {}", namespace.name, violation.message));
            }
        }
    }
}

fn ms(span: Span) -> f64 {
    span.as_millis_f64()
}

impl<'a> RuleContext<'a> {
    /// How long each attempt may take, including the connection setup. `None` if attempts have no
    /// timeout of their own.
    fn time_per_attempt(&self) -> Option<Span> {
        self.limits.attempt_timeout.value.map(|timeout| timeout + self.platform.connect_timeout)
    }

    fn is_tagged(&self) -> bool {
        self.namespace.idempotency == Idempotency::Tagged
    }

    /// Maximum number of attempts after the first.
    fn max_retries(&self) -> u64 {
        self.limits.max_attempts.value.max(1) - 1
    }

    /// Who set the attempt timeout and the number of attempts.
    fn attempt_sources(&self) -> [&'a LimitSource; 2] {
        [&self.limits.attempt_timeout.source, &self.limits.max_attempts.source]
    }
}

fn time_limit_within_platform_limit<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let EffectiveLimit { value, source } = &context.limits.time_limit;
    let allowed = context.namespace.time_limit;
    if *value <= allowed {
        return None;
    }
    let message = format!("a time limit of {} ms is above the platform's {} ms", ms(*value), ms(allowed));
    Some(Violation::new([source], message))
}

fn objective_within_time_limit<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let Limits { latency_objective, time_limit, .. } = context.limits;
    if latency_objective.value <= time_limit.value {
        return None;
    }
    let message = format!(
        "the target time of {} ms is above the time limit of {} ms",
        ms(latency_objective.value),
        ms(time_limit.value)
    );
    Some(Violation::new([&latency_objective.source, &time_limit.source], message))
}

fn attempts_within_platform_limit<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let EffectiveLimit { value, source } = &context.limits.max_attempts;
    let allowed = context.platform.max_attempts;
    if *value <= allowed {
        return None;
    }
    Some(Violation::new(
        [source],
        format!("{value} attempts are more than the {allowed} that the platform allows"),
    ))
}

fn body_within_platform_limit<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let EffectiveLimit { value, source } = &context.limits.max_body_bytes;
    let allowed = context.platform.max_body_bytes;
    if *value <= allowed {
        return None;
    }
    Some(Violation::new(
        [source],
        format!("a maximum body of {value} bytes is above the platform's {allowed} bytes"),
    ))
}

fn hedging_only_if_replayable<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let hedging = &context.limits.hedging;
    let kind = match context.namespace.idempotency {
        Idempotency::Replayable => return None,
        Idempotency::Tagged => "tagged",
        Idempotency::SingleUse => "single-use",
    };
    if !hedging.value {
        return None;
    }
    Some(Violation::new([&hedging.source], format!("hedging a {kind} request could run it twice")))
}

fn hedging_allowed_by_platform<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let hedging = &context.limits.hedging;
    if !hedging.value || context.platform.hedging {
        return None;
    }
    Some(Violation::new([&hedging.source], "the platform allows no hedged requests".into()))
}

/// Nothing is reported for requests that must not run twice: a wider scope may set
/// `hedge_after_permille` for other classes.
fn hedge_after_needs_hedging<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let Limits { hedge_after_permille, hedging, .. } = context.limits;
    let replayable = context.namespace.idempotency == Idempotency::Replayable;
    if hedge_after_permille.value.is_none() || hedging.value || !replayable {
        return None;
    }
    let message = "copies_after is set, but hedged requests are not allowed".into();
    Some(Violation::new([&hedge_after_permille.source, &hedging.source], message))
}

fn hedge_after_needs_two_attempts<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let Limits { hedge_after_permille, hedging, max_attempts, .. } = context.limits;
    if hedge_after_permille.value.is_none() || !hedging.value || max_attempts.value >= 2 {
        return None;
    }
    let message = "copies_after is set, but a hedged request is a second attempt and most_shots is 1".into();
    Some(Violation::new([&hedge_after_permille.source, &max_attempts.source], message))
}

fn retry_budget_within_attempts<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let Limits { retry_budget_permille, max_attempts, .. } = context.limits;
    let retries = context.max_retries();
    if retry_budget_permille.value.is_none_or(|share| share <= retries * 1000) {
        return None;
    }
    let message = format!("further_shots is above {retries}, the number of retries that most_shots allows");
    Some(Violation::new([&retry_budget_permille.source, &max_attempts.source], message))
}

/// Without an attempt timeout, the last attempt may start as late as the end of the time limit,
/// when servers no longer drop repeats.
fn tagged_retries_need_attempt_timeout<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let Limits { max_attempts, time_limit, attempt_timeout, .. } = context.limits;
    let dedup_window = context.namespace.dedup_window;
    let may_retry = max_attempts.value > 1;
    if attempt_timeout.value.is_some()
        || !context.is_tagged()
        || !may_retry
        || time_limit.value <= dedup_window
    {
        return None;
    }
    let message = format!(
        "servers drop repeated requests for {} ms only, but the last attempt may start later: \
         set shot_wait_ms, a shorter time limit or most_shots = 1",
        ms(dedup_window)
    );
    Some(Violation::new([&max_attempts.source, &time_limit.source], message))
}

fn attempt_timeout_within_time_limit<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let Limits { attempt_timeout, time_limit, .. } = context.limits;
    let timeout = attempt_timeout.value.filter(|timeout| *timeout > time_limit.value)?;
    let message = format!(
        "an attempt timeout of {} ms is above the time limit of {} ms",
        ms(timeout),
        ms(time_limit.value)
    );
    Some(Violation::new([&attempt_timeout.source, &time_limit.source], message))
}

/// If a single attempt exceeds the time limit, `attempt_timeout_within_time_limit` reports it
/// instead.
fn attempts_end_within_time_limit<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let Limits { attempt_timeout, max_attempts, time_limit, .. } = context.limits;
    attempt_timeout.value.filter(|timeout| *timeout <= time_limit.value)?;
    let time_per_attempt = context.time_per_attempt()?;
    if max_attempts.value * time_per_attempt <= time_limit.value {
        return None;
    }
    let message = format!(
        "{} attempts of {} ms each, including connection setup, do not end within the time limit of {} ms",
        max_attempts.value,
        ms(time_per_attempt),
        ms(time_limit.value)
    );
    let [attempt_timeout_source, max_attempts_source] = context.attempt_sources();
    Some(Violation::new([attempt_timeout_source, max_attempts_source, &time_limit.source], message))
}

fn tagged_retries_within_dedup_window<'a>(context: &RuleContext<'a>) -> Option<Violation<'a>> {
    let dedup_window = context.namespace.dedup_window;
    let last_start = context.max_retries() * context.time_per_attempt()?;
    if !context.is_tagged() || last_start <= dedup_window {
        return None;
    }
    let message = format!(
        "the last attempt may start {} ms after the first, but servers drop repeated requests for {} ms only",
        ms(last_start),
        ms(dedup_window)
    );
    Some(Violation::new(context.attempt_sources(), message))
}
