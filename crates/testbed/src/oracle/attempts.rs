//! Checks the rules for a request's attempts: their number, how many may be in flight at once, and
//! which requests must not run again.

use super::{Attempt, Judge, RequestRecord, Rule};
use crate::clock::{MILLISECOND, Micros, micros_from_seconds, seconds_from_micros};
use crate::evidence::NodeIndex;
use crate::experiment::{DedupGroup, Repeats, RequestClass};

/// Tolerance of the deduplication window, within which servers recognise a repeat of a tagged
/// request.
const DEDUP_WINDOW_TOLERANCE: Micros = 10 * MILLISECOND;

/// A breach found on one request, without the request's id and proxy.
pub(super) struct Finding {
    pub rule: Rule,
    pub at: Micros,
    pub details: String,
}

impl Finding {
    /// A breach of `rule` at `at`, with a text that says what was seen.
    pub fn new(rule: Rule, at: Micros, details: String) -> Finding {
        Finding { rule, at, details }
    }
}

fn dedup_window(class: &RequestClass) -> Micros {
    micros_from_seconds(class.window_ms / 1e3) + DEDUP_WINDOW_TOLERANCE
}

impl Judge<'_> {
    pub(super) fn check_attempts(&self, record: &RequestRecord) -> Vec<Finding> {
        let mut findings = Vec::new();
        findings.extend(self.exceeds_limit(record));
        for (i, next) in record.attempts.iter().enumerate() {
            let earlier_attempts = &record.attempts[..i];
            findings.extend(self.concurrent_attempt(earlier_attempts, next));
            findings.extend(self.may_run_twice(record, earlier_attempts, next));
        }
        if let [_, second, ..] = record.effects[..] {
            let details = format!("its effect was applied again at server {}", second.server);
            findings.push(Finding::new(Rule::RunsOnce, second.at, details));
        }
        findings
    }

    fn exceeds_limit(&self, record: &RequestRecord) -> Option<Finding> {
        let max_attempts = self.experiment.fleet.max_attempts;
        let first_excess = record.attempts.get(max_attempts)?;
        let details = format!("{} attempts were made, and {max_attempts} are allowed", record.attempts.len());
        Some(Finding::new(Rule::AttemptLimit, first_excess.started_at, details))
    }

    /// Finds an attempt that was still in flight when `next` started, if hedging is not allowed.
    fn concurrent_attempt(&self, earlier_attempts: &[Attempt], next: &Attempt) -> Option<Finding> {
        if self.experiment.fleet.hedging {
            return None;
        }
        let overlap = micros_from_seconds(self.experiment.rules.overlap_ms / 1e3);
        let in_flight = |other: &&Attempt| other.end().is_none_or(|end| end > next.started_at + overlap);
        let other = earlier_attempts.iter().find(in_flight)?;
        let details = format!(
            "server {} was sent an attempt while one was in flight at server {}",
            next.server, other.server
        );
        Some(Finding::new(Rule::OneAttemptAtOnce, next.started_at, details))
    }

    fn may_run_twice(
        &self,
        record: &RequestRecord,
        earlier_attempts: &[Attempt],
        next: &Attempt,
    ) -> Option<Finding> {
        let class = &self.experiment.classes[record.request.class_index];
        let candidates = earlier_attempts.iter().filter(|first| first.may_have_run(next.started_at));
        let mut unsafe_attempts =
            candidates.filter_map(|first| Some((first, self.unsafe_retry(class, first, next)?)));
        let (first, reason) = unsafe_attempts.next()?;
        let details =
            format!("server {} was sent an attempt after server {}: {reason}", next.server, first.server);
        Some(Finding::new(Rule::RunsOnce, next.started_at, details))
    }

    /// Says why `next` must not follow `first`, which may have run; `None` if it may.
    fn unsafe_retry(&self, class: &RequestClass, first: &Attempt, next: &Attempt) -> Option<String> {
        match class.repeats() {
            Repeats::Replayable => return None,
            Repeats::SingleUse => return Some("single-use request whose first attempt may have run".into()),
            Repeats::Tagged => {}
        }
        if !self.same_group(class.dedup_group(), first.server, next.server) {
            return Some(
                "the request is tagged, and the servers are in different deduplication groups".into(),
            );
        }
        let (first_sent, next_sent) = (first.sent_at(), next.sent_at());
        (next_sent > first_sent + dedup_window(class)).then(|| {
            format!(
                "the request is tagged, and was sent {:.3} s after the first attempt, outside the \
                 deduplication window",
                seconds_from_micros(next_sent - first_sent)
            )
        })
    }

    /// Whether two servers are in the same deduplication group, so that each drops repeats of what
    /// the other has run. The origin is in the first zone, in a cell of its own.
    fn same_group(&self, group: DedupGroup, first: NodeIndex, second: NodeIndex) -> bool {
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

/// Says why a rejection is unsafe: the client may retry, and an attempt may already have run.
pub(super) fn unsafe_rejection(
    class: &RequestClass,
    attempts: &[Attempt],
    at: Micros,
    retry_at: Micros,
) -> Option<String> {
    let first = attempts.iter().find(|attempt| attempt.may_have_run(at))?;
    let first_sent = first.sent_at();
    let may_have_run =
        |kind: &str| format!("the request is {kind}, and server {} may have run it", first.server);
    match class.repeats() {
        Repeats::Replayable => None,
        Repeats::SingleUse => Some(may_have_run("single-use")),
        Repeats::Tagged if class.dedup_group() != DedupGroup::All => Some(may_have_run("tagged")),
        Repeats::Tagged => (retry_at > first_sent + dedup_window(class)).then(|| {
            format!(
                "the request is tagged, and its retry is due {:.3} s after the first attempt, \
                 outside the deduplication window",
                seconds_from_micros(retry_at - first_sent)
            )
        }),
    }
}
