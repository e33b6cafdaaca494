//! Checks of an experiment beyond the types of its fields: ranges, names and contradictions. All
//! problems are collected, so that the author of a file sees them at once.

use super::choices::{CacheMode, DedupGroup, ListSource, Protocol, Repeats};
use super::error::Problem;
use super::{Experiment, Fleet, Load, RequestClass, World, line_of};
use toml::Spanned;

/// Maximum number of requests of a run. The recorded events stay in memory to the end: a million
/// requests take some hundred megabytes.
const MAX_REQUESTS: f64 = 2e6;
/// Maximum number of proxies. The addresses of a run are 127.x.proxy.server: one byte is for the
/// proxy and one for the server, and each leaves room for services with fixed numbers.
const MAX_PROXIES: usize = 200;
const MAX_SERVERS: usize = 200;

/// Collects the problems of a file, each with its line.
pub(super) struct Check<'a> {
    pub text: &'a str,
    pub problems: Vec<Problem>,
}

impl Check<'_> {
    /// The line of the first occurrence of a field in a table, for fields whose values have no
    /// span.
    fn line_of_field(&self, table: &str, field: &str) -> usize {
        let mut in_table = table.is_empty();
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                in_table = line.trim_matches(['[', ']']) == table;
            } else if in_table && line.split('=').next().is_some_and(|name| name.trim() == field) {
                return i + 1;
            }
        }
        1
    }

    /// The line of a value with a span, or `None` if the value is a default.
    fn line_of_value(&self, value: &Spanned<String>) -> Option<usize> {
        let span = value.span();
        (!span.is_empty()).then(|| line_of(self.text, span.start))
    }

    pub(super) fn report(&mut self, line: usize, text: impl Into<String>) {
        self.problems.push(Problem { line, text: text.into() });
    }

    fn require_range(&mut self, table: &str, field: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            let line = self.line_of_field(table, field);
            self.report(line, format!("{field} is {value}, expected {min} to {max}"));
        }
    }

    /// Reports a value that is not one of the allowed names.
    fn report_unknown_name(&mut self, line: usize, field: &str, value: &str, quoted_names: &str) {
        self.report(line, format!("{field} is \"{value}\", expected {quoted_names}"));
    }
}

impl Experiment {
    pub(super) fn check(&self, check: &mut Check) {
        check.require_range("", "seconds", self.seconds, 1.0, 3600.0);
        check_world(&self.world, check);
        check_fleet(&self.fleet, check);
        check_load(&self.load, self.seconds, check);
        check_classes(&self.classes, check);
        for fault in &self.faults {
            self.check_fault(fault.get_ref(), line_of(check.text, fault.span().start), check);
        }
    }
}

fn check_world(world: &World, check: &mut Check) {
    check.require_range("world", "caches", world.servers as f64, 1.0, MAX_SERVERS as f64);
    check.require_range("world", "cores", world.cores as f64, 1.0, 256.0);
    check.require_range("world", "kept", world.cached_share, 0.0, 1.0);
    check.require_range("world", "cold_share", world.slow_start_share, 0.01, 1.0);
    check.require_range("world", "fall_multiple", world.collapse_multiple, 1.0, 1000.0);
    check.require_range("world", "fall_s", world.collapse_window_s, 0.1, 60.0);
    check.require_range("world", "origin_places", world.origin_slots as f64, 1.0, 1e4);
    if CacheMode::from_name(&world.mode).is_none() {
        let line = check.line_of_field("world", "mode");
        check.report_unknown_name(line, "mode", &world.mode, &CacheMode::quoted_names());
    }
    if world.zones.is_empty() || world.zones.len() > world.servers {
        let line = check.line_of_field("world", "zones");
        check.report(line, "zones must name at least one zone, and no more zones than there are caches");
    }
}

fn check_fleet(fleet: &Fleet, check: &mut Check) {
    if Protocol::from_name(&fleet.protocol).is_none() {
        let line = check.line_of_field("fleet", "door");
        check.report_unknown_name(line, "door", &fleet.protocol, &Protocol::quoted_names());
    }
    if ListSource::from_name(&fleet.source).is_none() {
        let line = check.line_of_field("fleet", "source");
        check.report_unknown_name(line, "source", &fleet.source, &ListSource::quoted_names());
    }
    check.require_range("fleet", "proxies", fleet.proxies as f64, 1.0, MAX_PROXIES as f64);
    check.require_range("fleet", "most_shots", fleet.max_attempts as f64, 1.0, 100.0);
    check.require_range("fleet", "sockets", fleet.sockets as f64, 32.0, 1e6);
}

fn check_load(load: &Load, seconds: f64, check: &mut Check) {
    check.require_range("load", "rate", load.rate, 0.1, 1e6);
    check.require_range("load", "clients", load.clients as f64, 1.0, 20_000.0);
    check.require_range("load", "keys", load.keys as f64, 1.0, 1e7);
    check.require_range("load", "skew", load.skew, 0.0, 3.0);
    check.require_range("load", "heed", load.honor_retry_after, 0.0, 1.0);
    check.require_range("load", "leave", load.cancel_share, 0.0, 1.0);
    for burst in &load.cancellation_bursts {
        check.require_range("load", "gust.share", burst.share, 0.0, 1.0);
    }
    check.require_range("load", "retries", f64::from(load.retries), 0.0, 10.0);
    let max_factor = load.load_steps.iter().map(|step| step.factor).fold(1.0, f64::max);
    if load.rate * seconds * max_factor > MAX_REQUESTS {
        let line = check.line_of_field("load", "rate");
        check.report(
            line,
            format!("rate × seconds × the largest surge factor is more than {MAX_REQUESTS} requests"),
        );
    }
    for hot in &load.hot_keys {
        check.require_range("load.hot", "share", hot.share, 0.0, 1.0);
        check.require_range("load.hot", "keys", hot.keys as f64, 1.0, load.keys as f64);
    }
}

fn check_classes(classes: &[RequestClass], check: &mut Check) {
    if classes.is_empty() {
        check.report(1, "at least one [[namespace]] is required");
    }
    for class in classes {
        check_repeats(class, check);
        if class.target_ms > class.limit_ms {
            let line = check.line_of_field("namespace", "target_ms");
            let text = format!("namespace {}: target_ms is greater than limit_ms", class.name);
            check.report(line, text);
        }
        check.require_range("namespace", "limit_ms", class.limit_ms, 10.0, 30_000.0);
        check.require_range("namespace", "work_ms", class.work_ms, 0.0, 10_000.0);
        check.require_range("namespace", "bytes", class.bytes as f64, 64.0, 1_000_000.0);
    }
    let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
    if (1..names.len()).any(|i| names[..i].contains(&names[i])) {
        check.report(1, "two namespaces have the same name");
    }
}

fn check_repeats(class: &RequestClass, check: &mut Check) {
    if Repeats::from_name(class.repeats.get_ref()).is_none() {
        let line = check.line_of_value(&class.repeats).unwrap_or(1);
        check.report_unknown_name(line, "repeats", class.repeats.get_ref(), &Repeats::quoted_names());
    }
    let line = check.line_of_value(&class.group);
    if DedupGroup::from_name(class.group.get_ref()).is_none() {
        check.report_unknown_name(
            line.unwrap_or(1),
            "group",
            class.group.get_ref(),
            &DedupGroup::quoted_names(),
        );
    } else if let Some(line) = line.filter(|_| class.repeats.get_ref() != Repeats::Tagged.name()) {
        check.report(
            line,
            format!("namespace {} has a group, which requires repeats = \"tagged\"", class.name),
        );
    }
}
