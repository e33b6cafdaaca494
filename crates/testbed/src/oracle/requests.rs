//! The rules of one request: its final answer, its time, and when it was refused.

use super::attempts::{Finding, unsafe_deferral};
use super::spans::AttemptSpans;
use super::{AnswerRecord, Breach, Judge, Kill, Outcome, RequestRecord, Rule};
use crate::clock::{MILLI, Micros, micros, seconds};
use crate::model::timeline::Reachability;

/// Between the death of a process and the end of its connections, or the other way round, a client sees so much at the most.
const KILL_SLACK: Micros = 100 * MILLI;

impl Judge<'_> {
    pub(super) fn check_request(&mut self, record: &mut RequestRecord, spans: &AttemptSpans) {
        record.outcome = self.outcome(record);
        let mut findings = Vec::new();
        findings.extend(answered_again(record));
        findings.extend(unanswered(record));
        if let (Some(sent), Some(answer)) = (record.sent, record.answers.first()) {
            findings.extend(self.check_answer(record, sent, answer, spans));
        }
        findings.extend(self.sent_after_cancel(record));
        findings.extend(self.check_attempts(record));
        let (id, proxy) = (record.id, record.proxy);
        for Finding { rule, at, seen } in findings {
            self.add(Breach { rule, at, id, proxy, seen });
        }
    }

    /// What is wrong with the first answer.
    fn check_answer(
        &self,
        record: &RequestRecord,
        sent: Micros,
        answer: &AnswerRecord,
        spans: &AttemptSpans,
    ) -> Vec<Finding> {
        let class = &self.experiment.classes[record.request.class];
        let at = answer.at;
        let mut findings = Vec::new();
        let limit = sent + record.request.limit + micros(self.experiment.rules.late_ms / 1e3);
        if at > limit && !self.was_stopped(record.proxy, sent, at) {
            let late = seconds(at - sent - record.request.limit);
            findings.push(Finding::new(Rule::InTimeLimit, at, format!("{late:.3} s after it")));
        }
        if !answer.matches {
            let seen = "its body is not whole, or made for another".to_string();
            findings.push(Finding::new(Rule::OwnAnswer, at, seen));
        }
        if matches!(answer.status, 429 | 503) {
            let retry_at = at + answer.retry_after.unwrap_or(0);
            let seen = unsafe_deferral(class, &record.attempts, at, retry_at);
            findings.extend(seen.map(|seen| Finding::new(Rule::SafeDeferral, at, seen)));
        }
        if answer.status >= 429 {
            let seen = self.held_back(record, sent, at, spans);
            findings.extend(seen.map(|seen| Finding::new(Rule::PromptRefusal, at, seen)));
        }
        findings
    }

    /// An attempt whose first byte came long after its client had closed the connection. No standstill excuses it: the end is
    /// there to be read.
    fn sent_after_cancel(&self, record: &RequestRecord) -> Option<Finding> {
        let cancelled = record.end.filter(|_| record.outcome == Outcome::Cancelled)?.at;
        let latest = cancelled + micros(self.experiment.rules.cancel_delay_ms / 1e3);
        let attempt = record.attempts.iter().find(|attempt| attempt.started > latest)?;
        let after = seconds(attempt.started - cancelled);
        let seen = format!("{after:.3} s after, to server {}", attempt.server);
        Some(Finding::new(Rule::NothingAfterCancel, attempt.started, seen))
    }

    fn outcome(&self, record: &RequestRecord) -> Outcome {
        if let Some(answer) = record.answers.first() {
            return match answer.status {
                200 => Outcome::Served,
                429 | 503 => Outcome::Rejected,
                400..=499 => Outcome::InvalidRequest,
                _ => Outcome::Failed,
            };
        }
        let Some(sent) = record.sent else { return Outcome::NotAccepted };
        let Some(end) = record.end else { return Outcome::Unanswered };
        if end.outcome == Outcome::Cancelled {
            // A client that stays to the end of its time has not cancelled: it was not answered.
            let stayed = end.at >= sent + record.request.limit;
            let stopped = self.was_stopped(record.proxy, sent, end.at);
            return if stayed && !stopped { Outcome::Unanswered } else { Outcome::Cancelled };
        }
        let killed = |kill: &Kill| {
            kill.proxy == record.proxy && sent <= kill.at + KILL_SLACK && kill.at <= end.at + KILL_SLACK
        };
        if self.kills.iter().any(killed) { Outcome::Killed } else { Outcome::Unanswered }
    }

    /// Whether a refusal came long after the last thing that it could have waited for.
    fn held_back(
        &self,
        record: &RequestRecord,
        sent: Micros,
        at: Micros,
        spans: &AttemptSpans,
    ) -> Option<String> {
        let tolerated = micros(self.experiment.rules.refusal_delay_ms / 1e3);
        let ends = record.attempts.iter().map(|attempt| attempt.end().unwrap_or(Micros::MAX));
        let last = ends.max().unwrap_or(sent).max(sent);
        // An attempt that waits for a silent peer's connection is seen nowhere.
        let waited = self.any_peer_silent(usize::from(record.proxy), last, at);
        if last >= at || waited || self.was_stopped(record.proxy, sent, at) {
            return None;
        }
        let gap = spans.longest_gap(record.proxy, record.request.key, last, at);
        let after = if record.attempts.is_empty() { "it was sent" } else { "the end of its last attempt" };
        (gap > tolerated).then(|| format!("{:.3} s after {after}", seconds(at - last)))
    }

    /// Whether some server, or the origin, was silent to a proxy within a span.
    fn any_peer_silent(&self, proxy: usize, from: Micros, to: Micros) -> bool {
        let zones = self.experiment.world.zones.len();
        let zone = proxy % zones;
        let mut at = from;
        while at < to {
            let mut next = Micros::MAX;
            let origin = std::iter::once(self.timelines.origin_reachability(zone, at));
            let servers = (0..self.experiment.world.servers)
                .map(|server| self.timelines.reachability(server, (server % zones, zone), at));
            for (reachability, until) in servers.chain(origin) {
                if reachability == Reachability::Silent {
                    return true;
                }
                next = next.min(until);
            }
            at = next;
        }
        false
    }
}

/// A second final answer.
fn answered_again(record: &RequestRecord) -> Option<Finding> {
    let second = record.answers.get(1)?;
    let seen = format!("{} final answers", record.answers.len());
    Some(Finding::new(Rule::AnsweredOnce, second.at, seen))
}

/// None at all.
fn unanswered(record: &RequestRecord) -> Option<Finding> {
    if record.outcome != Outcome::Unanswered {
        return None;
    }
    let (at, seen) = match record.end {
        Some(end) => (end.at, "the connection ended without one"),
        None => (record.sent.unwrap_or(record.request.due), "nothing had come when the run ended"),
    };
    let attempts = record.attempts.len();
    Some(Finding::new(Rule::FinalAnswer, at, format!("{seen}, {attempts} attempts were sent for it")))
}
