//! A draft held against the platform's settings. Every fault is found at once, each with its line and the rule that it breaks.

use crate::draft::{Idempotency, LimitOverrides, Located, Namespace, PlatformLimits, UncheckedLimits};
use crate::table::{LimitSource, LimitTable, Limits, RequestClass};
use chalkwalk_time::Span;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    pub line: usize,
    pub message: String,
}

/// The shortest time that may be set: below it no answer comes over any network.
const SHORTEST: Span = Span::from_millis(1);

/// What holds by a draft, or all that is wrong with it.
pub fn check(
    draft: &UncheckedLimits,
    platform_limits: &PlatformLimits,
) -> Result<LimitTable, Vec<ConfigError>> {
    let mut faults = Faults(Vec::new());
    faults.of_names(draft, platform_limits);
    faults.of_values(draft);
    faults.of_routes(draft);
    let table = LimitTable::of(draft, platform_limits);
    for class in table.classes() {
        faults.of_class(class, &platform_limits.namespaces[class.namespace], platform_limits);
    }
    faults.of_clients(draft, &table, platform_limits);
    let Faults(mut faults) = faults;
    faults.sort();
    faults.dedup();
    if faults.is_empty() { Ok(table) } else { Err(faults) }
}

struct Faults(Vec<ConfigError>);

fn line_of(from: &LimitSource) -> usize {
    match from {
        LimitSource::Platform => 0,
        LimitSource::Defaults(line) | LimitSource::Class(_, line) | LimitSource::Route(_, line) => *line,
    }
}

fn ms(span: Span) -> f64 {
    span.as_millis_f64()
}

impl Faults {
    fn say(&mut self, line: usize, text: String) {
        self.0.push(ConfigError { line, message: text });
    }

    fn of_names(&mut self, draft: &UncheckedLimits, platform_limits: &PlatformLimits) {
        let known = |name: &str| platform_limits.namespaces.iter().any(|n| n.name == name);
        for (i, (name, _)) in draft.classes.iter().enumerate() {
            if !known(&name.value) {
                self.say(name.line, format!("class \"{}\" is no namespace of the house", name.value));
            }
            if draft.classes[..i].iter().any(|(other, _)| other.value == name.value) {
                self.say(name.line, format!("class \"{}\" is there twice", name.value));
            }
        }
        for (i, route) in draft.routes.iter().enumerate() {
            let unknown = |name: &Option<String>, of: &[String]| {
                name.clone().filter(|name| !of.is_empty() && !of.contains(name))
            };
            if let Some(name) = route.when.namespace.as_ref().filter(|n| !known(n)) {
                self.say(
                    route.line,
                    format!("route {}: \"{name}\" is no namespace of the house", route.name),
                );
            }
            if let Some(name) = unknown(&route.when.tenant, &platform_limits.tenants) {
                self.say(route.line, format!("route {}: \"{name}\" is no tenant of the house", route.name));
            }
            if let Some(name) = unknown(&route.when.frontend, &platform_limits.frontends) {
                let doors = platform_limits.frontends.join(", ");
                self.say(
                    route.line,
                    format!("route {}: there is no door \"{name}\", only {doors}", route.name),
                );
            }
            if route.when.path.as_ref().is_some_and(|p| !p.starts_with('/')) {
                self.say(route.line, format!("route {}: a path begins with /", route.name));
            }
            if draft.routes[..i].iter().any(|other| other.name == route.name) {
                self.say(route.line, format!("two routes are named {}", route.name));
            }
        }
    }

    /// Values that make no sense by themselves.
    fn of_values(&mut self, draft: &UncheckedLimits) {
        let classes = draft.classes.iter().map(|(_, s)| s);
        let all =
            std::iter::once(&draft.defaults).chain(classes).chain(draft.routes.iter().map(|r| &r.settings));
        for s in all {
            self.of_settings(s);
        }
    }

    fn of_settings(&mut self, s: &LimitOverrides) {
        for (name, said) in [
            ("time_limit_ms", s.time_limit),
            ("target_ms", s.latency_objective),
            ("shot_wait_ms", s.attempt_timeout),
        ] {
            if let Some(Located { line, .. }) = said.filter(|said| said.value < SHORTEST) {
                self.say(line, format!("{name} is below {} ms, in which no answer comes", ms(SHORTEST)));
            }
        }
        for (name, said) in
            [("most_shots", s.max_attempts), ("open", s.max_in_flight), ("longest_body", s.max_body_bytes)]
        {
            if let Some(Located { line, .. }) = said.filter(|said| said.value == 0) {
                self.say(line, format!("{name} is 0, and nothing would be served"));
            }
        }
        if let Some(Located { line, .. }) = s.hedge_after.filter(|said| !(500..1000).contains(&said.value)) {
            self.say(line, "copies_after is a share of the answers, from 0.5 to 0.999".into());
        }
        if let Some(Located { line, .. }) = s.retry_budget.filter(|said| said.value > 5000) {
            self.say(line, "further_shots is a share of the first ones, from 0 to 5".into());
        }
    }

    /// Routes that an earlier one leaves nothing for.
    fn of_routes(&mut self, draft: &UncheckedLimits) {
        for (i, route) in draft.routes.iter().enumerate() {
            if let Some(first) = draft.routes[..i].iter().find(|first| first.when.covers(&route.when)) {
                let text = format!(
                    "route {} can never match: route {} takes all that it would",
                    route.name, first.name
                );
                self.say(route.line, text);
            }
        }
    }

    /// One class against the platform_limits. Each rule names the line that made it break; where the platform alone would, none does.
    fn of_class(&mut self, class: &RequestClass, ns: &Namespace, platform_limits: &PlatformLimits) {
        let Limits {
            time_limit,
            latency_objective,
            max_attempts,
            attempt_timeout,
            hedging,
            hedge_after,
            retry_budget,
            ..
        } = &class.limits;
        let name = &ns.name;
        let mut broken = |from: &[&LimitSource], text: String| {
            // The narrowest that had a part in it is the one to mend.
            let line = from.iter().map(|f| line_of(f)).max().unwrap_or(0);
            if line > 0 {
                self.say(line, format!("{name}: {text}"));
            }
        };
        if time_limit.value > ns.time_limit {
            let text = format!(
                "a time limit of {} ms is above the house's {} ms",
                ms(time_limit.value),
                ms(ns.time_limit)
            );
            broken(&[&time_limit.source], text);
        }
        if latency_objective.value > time_limit.value {
            let text = format!(
                "the target time of {} ms is above the time limit of {} ms",
                ms(latency_objective.value),
                ms(time_limit.value)
            );
            broken(&[&latency_objective.source, &time_limit.source], text);
        }
        if max_attempts.value > platform_limits.max_attempts {
            let text = format!(
                "{} shots are more than the {} that the house allows",
                max_attempts.value, platform_limits.max_attempts
            );
            broken(&[&max_attempts.source], text);
        }
        if class.limits.max_body_bytes.value > platform_limits.max_body_bytes {
            let text = format!(
                "a body of {} bytes is above the house's {}",
                class.limits.max_body_bytes.value, platform_limits.max_body_bytes
            );
            broken(&[&class.limits.max_body_bytes.source], text);
        }
        let copies = hedging.value;
        if copies && ns.idempotency != Idempotency::Replayable {
            let kind = if ns.idempotency == Idempotency::Tagged { "tagged" } else { "single-use" };
            broken(&[&hedging.source], format!("second copies of a {kind} lookup would run it twice"));
        }
        if copies && !platform_limits.hedging {
            broken(&[&hedging.source], "the house allows no second copies".into());
        }
        if hedge_after.value.is_some() && !copies && ns.idempotency == Idempotency::Replayable {
            let text = "copies_after is set, and second copies are not allowed".into();
            broken(&[&hedge_after.source, &hedging.source], text);
        }
        if hedge_after.value.is_some() && copies && max_attempts.value < 2 {
            let text = "a second copy is a second shot, and most_shots is 1".into();
            broken(&[&hedge_after.source, &max_attempts.source], text);
        }
        if retry_budget.value.is_some_and(|share| share > (max_attempts.value.max(1) - 1) * 1000) {
            let text = format!(
                "further_shots is more than the {} that most_shots leaves",
                max_attempts.value.max(1) - 1
            );
            broken(&[&retry_budget.source, &max_attempts.source], text);
        }
        let Some(wait) = attempt_timeout.value else {
            // Unless an attempt is given up before, the last may start at the end of the time limit.
            if ns.idempotency == Idempotency::Tagged
                && max_attempts.value > 1
                && ns.dedup_window < time_limit.value
            {
                let text = format!(
                    "caches drop repeats for {} ms only, and the last shot may start later: set shot_wait_ms, a shorter time limit or most_shots = 1",
                    ms(ns.dedup_window)
                );
                broken(&[&max_attempts.source, &time_limit.source], text);
            }
            return;
        };
        if wait > time_limit.value {
            let text = format!(
                "a wait of {} ms for a shot is above the time limit of {} ms",
                ms(wait),
                ms(time_limit.value)
            );
            broken(&[&attempt_timeout.source, &time_limit.source], text);
        } else if max_attempts.value * (wait + platform_limits.connect_time) > time_limit.value {
            let each = ms(wait + platform_limits.connect_time);
            let text = format!(
                "{} shots of {each} ms each, connecting included, do not end within the time limit of {} ms",
                max_attempts.value,
                ms(time_limit.value)
            );
            broken(&[&attempt_timeout.source, &max_attempts.source, &time_limit.source], text);
        }
        let last = (max_attempts.value.max(1) - 1) * (wait + platform_limits.connect_time);
        if ns.idempotency == Idempotency::Tagged && last > ns.dedup_window {
            let text = format!(
                "the last shot may start {} ms after the first, and caches drop repeats for {} ms only",
                ms(last),
                ms(ns.dedup_window)
            );
            broken(&[&attempt_timeout.source, &max_attempts.source], text);
        }
    }

    /// What clients do by themselves multiplies what is done for each of their tries.
    fn of_clients(&mut self, draft: &UncheckedLimits, table: &LimitTable, platform_limits: &PlatformLimits) {
        let Some(clients) = draft.clients else { return };
        if clients.tries.value == 0 {
            self.say(clients.tries.line, "tries counts the first one: it is 1 at the least".into());
            return;
        }
        for class in table.classes() {
            let most = class.limits.max_attempts.value * 1000;
            let attempts = class.limits.retry_budget.value.map_or(most, |share| most.min(1000 + share));
            let comes_to = attempts * clients.tries.value;
            if comes_to > clients.amplification.value {
                let text = format!(
                    "{}: {} tries of a client with {} shots each come to {}, and {} is the most that was stated: set further_shots",
                    platform_limits.namespaces[class.namespace].name,
                    clients.tries.value,
                    attempts as f64 / 1000.0,
                    comes_to as f64 / 1000.0,
                    clients.amplification.value as f64 / 1000.0
                );
                let line = line_of(&class.limits.retry_budget.source)
                    .max(line_of(&class.limits.max_attempts.source))
                    .max(clients.amplification.line);
                self.say(line, text);
            }
        }
    }
}
