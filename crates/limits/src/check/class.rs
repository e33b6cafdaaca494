//! The limits of one class against the platform's, one rule a function. Each rule names the line to
//! change; where the platform alone would break it, there is none and nothing is reported.

use crate::effective::{Effective, LimitSource, Limits};
use crate::error::ErrorList;
use crate::platform::{Idempotency, Namespace, PlatformLimits};
use crate::table::LimitTable;
use chalkwalk_time::Span;

/// A rule that does not hold: what is wrong, and who set the limits that it is about.
struct Broken<'a> {
    sources: Vec<&'a LimitSource>,
    message: String,
}

impl<'a> Broken<'a> {
    fn new(sources: impl Into<Vec<&'a LimitSource>>, message: String) -> Broken<'a> {
        Broken { sources: sources.into(), message }
    }

    /// The narrowest scope that set one of the limits is the one to change, and it comes last in
    /// the file.
    fn line(&self) -> Option<usize> {
        self.sources.iter().filter_map(|source| source.line()).max()
    }
}

/// All that a rule may look at.
struct Subject<'a> {
    limits: &'a Limits,
    namespace: &'a Namespace,
    platform: &'a PlatformLimits,
}

type Rule = for<'a> fn(&Subject<'a>) -> Option<Broken<'a>>;

const RULES: [Rule; 13] = [
    time_limit_within_platforms,
    objective_within_time_limit,
    attempts_within_platforms,
    body_within_platforms,
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
        let subject = Subject { limits: &class.limits, namespace, platform };
        for broken in RULES.iter().filter_map(|rule| rule(&subject)) {
            if let Some(line) = broken.line() {
                errors.add(line, format!("{}: {}", namespace.name, broken.message));
            }
        }
    }
}

fn ms(span: Span) -> f64 {
    span.as_millis_f64()
}

impl<'a> Subject<'a> {
    /// How long each attempt may take, its connection included. `None` where an attempt is waited
    /// for up to the time limit.
    fn time_of_attempt(&self) -> Option<Span> {
        self.limits.attempt_timeout.value.map(|timeout| timeout + self.platform.connect_time)
    }

    fn is_tagged(&self) -> bool {
        self.namespace.idempotency == Idempotency::Tagged
    }

    /// Attempts beyond the first.
    fn max_retries(&self) -> u64 {
        self.limits.max_attempts.value.max(1) - 1
    }

    /// Who set the attempt timeout and the number of attempts.
    fn attempt_sources(&self) -> [&'a LimitSource; 2] {
        [&self.limits.attempt_timeout.source, &self.limits.max_attempts.source]
    }
}

fn time_limit_within_platforms<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Effective { value, source } = &subject.limits.time_limit;
    let allowed = subject.namespace.time_limit;
    if *value <= allowed {
        return None;
    }
    let message = format!("a time limit of {} ms is above the platform's {} ms", ms(*value), ms(allowed));
    Some(Broken::new([source], message))
}

fn objective_within_time_limit<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Limits { latency_objective, time_limit, .. } = subject.limits;
    if latency_objective.value <= time_limit.value {
        return None;
    }
    let message = format!(
        "the target time of {} ms is above the time limit of {} ms",
        ms(latency_objective.value),
        ms(time_limit.value)
    );
    Some(Broken::new([&latency_objective.source, &time_limit.source], message))
}

fn attempts_within_platforms<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Effective { value, source } = &subject.limits.max_attempts;
    let allowed = subject.platform.max_attempts;
    if *value <= allowed {
        return None;
    }
    Some(Broken::new(
        [source],
        format!("{value} attempts are more than the {allowed} that the platform allows"),
    ))
}

fn body_within_platforms<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Effective { value, source } = &subject.limits.max_body_bytes;
    let allowed = subject.platform.max_body_bytes;
    if *value <= allowed {
        return None;
    }
    Some(Broken::new([source], format!("a body of {value} bytes is above the platform's {allowed}")))
}

fn hedging_only_if_replayable<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let hedging = &subject.limits.hedging;
    let kind = match subject.namespace.idempotency {
        Idempotency::Replayable => return None,
        Idempotency::Tagged => "tagged",
        Idempotency::SingleUse => "single-use",
    };
    if !hedging.value {
        return None;
    }
    Some(Broken::new([&hedging.source], format!("hedging a {kind} request would run it twice")))
}

fn hedging_allowed_by_platform<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let hedging = &subject.limits.hedging;
    if !hedging.value || subject.platform.hedging {
        return None;
    }
    Some(Broken::new([&hedging.source], "the platform allows no hedged requests".into()))
}

/// Of requests that must not run twice nothing is reported: there wider scopes may set it for
/// others.
fn hedge_after_needs_hedging<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Limits { hedge_after, hedging, .. } = subject.limits;
    let replayable = subject.namespace.idempotency == Idempotency::Replayable;
    if hedge_after.value.is_none() || hedging.value || !replayable {
        return None;
    }
    let message = "copies_after is set, and hedged requests are not allowed".into();
    Some(Broken::new([&hedge_after.source, &hedging.source], message))
}

fn hedge_after_needs_two_attempts<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Limits { hedge_after, hedging, max_attempts, .. } = subject.limits;
    if hedge_after.value.is_none() || !hedging.value || max_attempts.value >= 2 {
        return None;
    }
    let message = "a hedged request is a second attempt, and most_shots is 1".into();
    Some(Broken::new([&hedge_after.source, &max_attempts.source], message))
}

fn retry_budget_within_attempts<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Limits { retry_budget, max_attempts, .. } = subject.limits;
    let retries = subject.max_retries();
    if retry_budget.value.is_none_or(|share| share <= retries * 1000) {
        return None;
    }
    let message = format!("further_shots is more than the {retries} that most_shots leaves");
    Some(Broken::new([&retry_budget.source, &max_attempts.source], message))
}

/// Unless an attempt is given up before, the last may start at the end of the time limit.
fn tagged_retries_need_attempt_timeout<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Limits { max_attempts, time_limit, attempt_timeout, .. } = subject.limits;
    let window = subject.namespace.dedup_window;
    let retried = max_attempts.value > 1;
    if attempt_timeout.value.is_some() || !subject.is_tagged() || !retried || time_limit.value <= window {
        return None;
    }
    let message = format!(
        "servers drop repeats for {} ms only, and the last attempt may start later: set shot_wait_ms, a shorter time limit or most_shots = 1",
        ms(window)
    );
    Some(Broken::new([&max_attempts.source, &time_limit.source], message))
}

fn attempt_timeout_within_time_limit<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Limits { attempt_timeout, time_limit, .. } = subject.limits;
    let timeout = attempt_timeout.value.filter(|timeout| *timeout > time_limit.value)?;
    let message = format!(
        "an attempt timeout of {} ms is above the time limit of {} ms",
        ms(timeout),
        ms(time_limit.value)
    );
    Some(Broken::new([&attempt_timeout.source, &time_limit.source], message))
}

/// Where one attempt alone does not, that is reported instead.
fn attempts_end_within_time_limit<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let Limits { attempt_timeout, max_attempts, time_limit, .. } = subject.limits;
    attempt_timeout.value.filter(|timeout| *timeout <= time_limit.value)?;
    let each = subject.time_of_attempt()?;
    if max_attempts.value * each <= time_limit.value {
        return None;
    }
    let message = format!(
        "{} attempts of {} ms each, connecting included, do not end within the time limit of {} ms",
        max_attempts.value,
        ms(each),
        ms(time_limit.value)
    );
    let [timeout_source, attempts_source] = subject.attempt_sources();
    Some(Broken::new([timeout_source, attempts_source, &time_limit.source], message))
}

fn tagged_retries_within_dedup_window<'a>(subject: &Subject<'a>) -> Option<Broken<'a>> {
    let window = subject.namespace.dedup_window;
    let last_start = subject.max_retries() * subject.time_of_attempt()?;
    if !subject.is_tagged() || last_start <= window {
        return None;
    }
    let message = format!(
        "the last attempt may start {} ms after the first, and servers drop repeats for {} ms only",
        ms(last_start),
        ms(window)
    );
    Some(Broken::new(subject.attempt_sources(), message))
}
