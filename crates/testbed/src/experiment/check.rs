//! Checks of an experiment that its format leaves open: ranges, names, and what contradicts what. All problems are collected,
//! so that a file is mended in one go.

use super::choices::{CacheMode, DedupGroup, ListSource, Protocol, Repeats};
use super::error::Problem;
use super::{Experiment, Fleet, Load, RequestClass, World, line_of};
use toml::Spanned;

/// The recorded events stay in memory to the end: a million requests take some hundred megabytes.
const MAX_REQUESTS: f64 = 2e6;
/// The addresses of a run are 127.x.proxy.server: a byte for each, with room for those with fixed ones.
const MAX_PROXIES: usize = 200;
const MAX_SERVERS: usize = 200;

/// Collects what is wrong, each with its line.
pub(super) struct Check<'a> {
    pub text: &'a str,
    pub problems: Vec<Problem>,
}

impl Check<'_> {
    /// The line of the first mention of a field in a table, where its value has no span of its own.
    fn line(&self, table: &str, field: &str) -> usize {
        let mut inside = table.is_empty();
        for (i, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if line.starts_with('[') {
                inside = line.trim_matches(['[', ']']) == table;
            } else if inside && line.split('=').next().is_some_and(|name| name.trim() == field) {
                return i + 1;
            }
        }
        1
    }

    /// The line of a value with a span, or none where it is a default.
    fn line_of_value(&self, value: &Spanned<String>) -> Option<usize> {
        let span = value.span();
        (!span.is_empty()).then(|| line_of(self.text, span.start))
    }

    pub(super) fn report(&mut self, line: usize, text: impl Into<String>) {
        self.problems.push(Problem { line, text: text.into() });
    }

    fn within(&mut self, table: &str, field: &str, value: f64, low: f64, high: f64) {
        if !(low..=high).contains(&value) {
            let line = self.line(table, field);
            self.report(line, format!("{field} is {value}, and has to be from {low} to {high}"));
        }
    }

    /// A value that is none of the names that it has to be one of.
    fn unknown_name(&mut self, line: usize, field: &str, value: &str, listed: &str) {
        self.report(line, format!("{field} is \"{value}\", and has to be {listed}"));
    }
}

impl Experiment {
    pub(super) fn check(&self, check: &mut Check) {
        check.within("", "seconds", self.seconds, 1.0, 3600.0);
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
    check.within("world", "caches", world.servers as f64, 1.0, MAX_SERVERS as f64);
    check.within("world", "cores", world.cores as f64, 1.0, 256.0);
    check.within("world", "kept", world.cached_share, 0.0, 1.0);
    check.within("world", "cold_share", world.slow_start_share, 0.01, 1.0);
    check.within("world", "fall_multiple", world.collapse_multiple, 1.0, 1000.0);
    check.within("world", "fall_s", world.collapse_window_s, 0.1, 60.0);
    check.within("world", "origin_places", world.origin_slots as f64, 1.0, 1e4);
    if CacheMode::named(&world.mode).is_none() {
        let line = check.line("world", "mode");
        check.unknown_name(line, "mode", &world.mode, &CacheMode::listed());
    }
    if world.zones.is_empty() || world.zones.len() > world.servers {
        let line = check.line("world", "zones");
        check.report(line, "there has to be a zone, and a server in each");
    }
}

fn check_fleet(fleet: &Fleet, check: &mut Check) {
    if Protocol::named(&fleet.protocol).is_none() {
        let line = check.line("fleet", "door");
        check.unknown_name(line, "door", &fleet.protocol, &Protocol::listed());
    }
    if ListSource::named(&fleet.source).is_none() {
        let line = check.line("fleet", "source");
        check.unknown_name(line, "source", &fleet.source, &ListSource::listed());
    }
    check.within("fleet", "proxies", fleet.proxies as f64, 1.0, MAX_PROXIES as f64);
    check.within("fleet", "most_shots", fleet.max_attempts as f64, 1.0, 100.0);
    check.within("fleet", "sockets", fleet.sockets as f64, 32.0, 1e6);
}

fn check_load(load: &Load, seconds: f64, check: &mut Check) {
    check.within("load", "rate", load.rate, 0.1, 1e6);
    check.within("load", "clients", load.clients as f64, 1.0, 20_000.0);
    check.within("load", "keys", load.keys as f64, 1.0, 1e7);
    check.within("load", "skew", load.skew, 0.0, 3.0);
    check.within("load", "heed", load.honor_retry_after, 0.0, 1.0);
    check.within("load", "leave", load.cancel_share, 0.0, 1.0);
    for burst in &load.cancellation_bursts {
        check.within("load", "gust.share", burst.share, 0.0, 1.0);
    }
    check.within("load", "retries", f64::from(load.retries), 0.0, 10.0);
    let most = load.load_steps.iter().map(|step| step.factor).fold(1.0, f64::max);
    if load.rate * seconds * most > MAX_REQUESTS {
        let line = check.line("load", "rate");
        check.report(line, format!("rate × seconds comes to more than {MAX_REQUESTS} requests"));
    }
    for hot in &load.hot_keys {
        check.within("load.hot", "share", hot.share, 0.0, 1.0);
        check.within("load.hot", "keys", hot.keys as f64, 1.0, load.keys as f64);
    }
}

fn check_classes(classes: &[RequestClass], check: &mut Check) {
    if classes.is_empty() {
        check.report(1, "there has to be a [[namespace]]");
    }
    for class in classes {
        check_repeats(class, check);
        if class.target_ms > class.limit_ms {
            let line = check.line("namespace", "target_ms");
            let text = format!("namespace {}: the target time is over the time limit", class.name);
            check.report(line, text);
        }
        check.within("namespace", "limit_ms", class.limit_ms, 10.0, 30_000.0);
        check.within("namespace", "work_ms", class.work_ms, 0.0, 10_000.0);
        check.within("namespace", "bytes", class.bytes as f64, 64.0, 1_000_000.0);
    }
    let names: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
    if (1..names.len()).any(|i| names[..i].contains(&names[i])) {
        check.report(1, "two namespaces have one name");
    }
}

fn check_repeats(class: &RequestClass, check: &mut Check) {
    if Repeats::named(class.repeats.get_ref()).is_none() {
        let line = check.line_of_value(&class.repeats).unwrap_or(1);
        check.unknown_name(line, "repeats", class.repeats.get_ref(), &Repeats::listed());
    }
    let line = check.line_of_value(&class.group);
    if DedupGroup::named(class.group.get_ref()).is_none() {
        check.unknown_name(line.unwrap_or(1), "group", class.group.get_ref(), &DedupGroup::listed());
    } else if let Some(line) = line.filter(|_| class.repeats.get_ref() != Repeats::Tagged.name()) {
        check.report(line, format!("namespace {} has a group, and only tagged ones have", class.name));
    }
}
