//! The rules of a request's attempts: how many, how many at once, and what may not run again.

use super::{Attempt, Judge, RequestRecord, Rule};
use crate::clock::{MILLI, Micros, micros, seconds};
use crate::evidence::Index;
use crate::experiment::{DedupGroup, Repeats, RequestClass};

/// Servers know a tagged request for its window, give or take so much.
const WINDOW_SLACK: Micros = 10 * MILLI;

/// A breach of one request, before it is known whose.
pub(super) struct Finding {
    pub rule: Rule,
    pub at: Micros,
    pub seen: String,
}

impl Finding {
    /// What was seen, and when.
    pub fn new(rule: Rule, at: Micros, seen: String) -> Finding {
        Finding { rule, at, seen }
    }
}

fn dedup_window(class: &RequestClass) -> Micros {
    micros(class.window_ms / 1e3) + WINDOW_SLACK
}

impl Judge<'_> {
    pub(super) fn check_attempts(&self, record: &RequestRecord) -> Vec<Finding> {
        let mut findings = Vec::new();
        findings.extend(self.too_many(record));
        for (i, next) in record.attempts.iter().enumerate() {
            let before = &record.attempts[..i];
            findings.extend(self.concurrent(before, next));
            findings.extend(self.may_run_twice(record, before, next));
        }
        if let [_, again, ..] = record.effects[..] {
            let seen = format!("its effect came about again at server {}", again.server);
            findings.push(Finding::new(Rule::RunsOnce, again.at, seen));
        }
        findings
    }

    fn too_many(&self, record: &RequestRecord) -> Option<Finding> {
        let allowed = self.experiment.fleet.max_attempts;
        let first_over = record.attempts.get(allowed)?;
        let seen = format!("{} attempts, {allowed} allowed", record.attempts.len());
        Some(Finding::new(Rule::AttemptLimit, first_over.started, seen))
    }

    /// Two at once, where hedging is not allowed.
    fn concurrent(&self, before: &[Attempt], next: &Attempt) -> Option<Finding> {
        if self.experiment.fleet.hedging {
            return None;
        }
        let overlap = micros(self.experiment.rules.overlap_ms / 1e3);
        let in_flight = |other: &&Attempt| other.end().is_none_or(|end| end > next.started + overlap);
        let other = before.iter().find(in_flight)?;
        let seen = format!("server {} while one was in flight at server {}", next.server, other.server);
        Some(Finding::new(Rule::OneAttemptAtOnce, next.started, seen))
    }

    fn may_run_twice(&self, record: &RequestRecord, before: &[Attempt], next: &Attempt) -> Option<Finding> {
        let class = &self.experiment.classes[record.request.class];
        let candidates = before.iter().filter(|first| first.may_have_run(next.started));
        let mut unsafe_ones =
            candidates.filter_map(|first| Some((first, self.unsafe_retry(class, first, next)?)));
        let (first, why) = unsafe_ones.next()?;
        let seen = format!("server {} after server {}: {why}", next.server, first.server);
        Some(Finding::new(Rule::RunsOnce, next.started, seen))
    }

    /// What is wrong with a further attempt after one that may have run.
    fn unsafe_retry(&self, class: &RequestClass, first: &Attempt, next: &Attempt) -> Option<String> {
        match class.repeats() {
            Repeats::Replayable => return None,
            Repeats::SingleUse => return Some("single-use, and the first may have run".into()),
            Repeats::Tagged => {}
        }
        if !self.same_group(class.dedup_group(), first.server, next.server) {
            return Some("tagged, and of another group".into());
        }
        let (sent, again) = (first.sent(), next.sent());
        (again > sent + dedup_window(class))
            .then(|| format!("tagged, {:.3} s after the first", seconds(again - sent)))
    }

    /// Whether two servers drop each other's repeats. The origin counts to the first zone, and to a cell of its own.
    fn same_group(&self, group: DedupGroup, first: Index, second: Index) -> bool {
        let world = &self.experiment.world;
        let is_origin = |server: usize| server == world.servers;
        let zone = |server: usize| if is_origin(server) { 0 } else { server % world.zones.len() };
        let cell = |server: usize| if is_origin(server) { 0 } else { self.experiment.cell_of(server) };
        let (first, second) = (usize::from(first), usize::from(second));
        match group {
            DedupGroup::All => true,
            DedupGroup::Zone => zone(first) == zone(second),
            DedupGroup::Cell => zone(first) == zone(second) && cell(first) == cell(second),
        }
    }
}

/// What is wrong with a rejection, after which the client may retry.
pub(super) fn unsafe_deferral(
    class: &RequestClass,
    attempts: &[Attempt],
    at: Micros,
    retry_at: Micros,
) -> Option<String> {
    let first = attempts.iter().find(|attempt| attempt.may_have_run(at))?;
    let sent = first.sent();
    let may_have_run = |kind: &str| format!("{kind}, and server {} may have run it", first.server);
    match class.repeats() {
        Repeats::Replayable => None,
        Repeats::SingleUse => Some(may_have_run("single-use")),
        Repeats::Tagged if class.dedup_group() != DedupGroup::All => Some(may_have_run("tagged")),
        Repeats::Tagged => (retry_at > sent + dedup_window(class)).then(|| {
            format!("tagged, and to be retried {:.3} s after the first attempt", seconds(retry_at - sent))
        }),
    }
}
