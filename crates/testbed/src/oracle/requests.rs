//! Checks the rules for a request's final answer: that there is one, its time, its value, and that
//! a refusal is safe and prompt.

use super::attempts::{Finding, unsafe_rejection};
use super::spans::AttemptSpans;
use super::{AnswerRecord, Breach, Judge, Kill, Outcome, RequestRecord, Rule};
use crate::clock::{MILLISECOND, Micros, micros_from_seconds, seconds_from_micros};
use crate::model::timeline::Reachability;

/// The maximum time between the recorded end of a killed process and the end of its connections as
/// a client sees it, in either order.
const KILL_TOLERANCE: Micros = 100 * MILLISECOND;

impl Judge<'_> {
    pub(super) fn check_request(&mut self, record: &mut RequestRecord, spans: &AttemptSpans) {
        record.outcome = self.outcome(record);
        let mut findings = Vec::new();
        findings.extend(answered_again(record));
        findings.extend(unanswered(record));
        if let (Some(sent_at), Some(answer)) = (record.sent_at, record.answers.first()) {
            findings.extend(self.check_answer(record, sent_at, answer, spans));
        }
        findings.extend(self.sent_after_cancel(record));
        findings.extend(self.check_attempts(record));
        let (request_id, proxy) = (record.id, record.proxy);
        for Finding { rule, at, details } in findings {
            self.add(Breach { rule, at, request_id, proxy, details });
        }
    }

    /// Finds the breaches that the first answer shows.
    fn check_answer(
        &self,
        record: &RequestRecord,
        sent_at: Micros,
        answer: &AnswerRecord,
        spans: &AttemptSpans,
    ) -> Vec<Finding> {
        let class = &self.experiment.classes[record.request.class_index];
        let at = answer.at;
        let mut findings = Vec::new();
        let latest_allowed = sent_at
            + record.request.time_limit
            + micros_from_seconds(self.experiment.rules.late_tolerance_ms / 1e3);
        if at > latest_allowed && !self.was_stopped(record.proxy, sent_at, at) {
            let late_s = seconds_from_micros(at - sent_at - record.request.time_limit);
            findings.push(Finding::new(
                Rule::InTimeLimit,
                at,
                format!("the answer came {late_s:.3} s after the time limit"),
            ));
        }
        if !answer.is_own_value {
            let details = "its value is not whole, or was made for another request".to_string();
            findings.push(Finding::new(Rule::OwnAnswer, at, details));
        }
        if matches!(answer.status, 429 | 503) {
            let retry_at = at + answer.retry_after.unwrap_or(0);
            let details = unsafe_rejection(class, &record.attempts, at, retry_at);
            findings.extend(details.map(|details| Finding::new(Rule::SafeRejection, at, details)));
        }
        if answer.status >= 429 {
            let details = self.delayed_refusal(record, sent_at, at, spans);
            findings.extend(details.map(|details| Finding::new(Rule::PromptRefusal, at, details)));
        }
        findings
    }

    /// Finds an attempt whose first byte came long after its client had closed the connection. This
    /// is a breach even if the proxy was stopped in the meantime: once it runs again, it can read
    /// the end of the connection before it sends.
    fn sent_after_cancel(&self, record: &RequestRecord) -> Option<Finding> {
        let cancelled_at = record.end.filter(|_| record.outcome == Outcome::Cancelled)?.at;
        let latest_allowed = cancelled_at + micros_from_seconds(self.experiment.rules.cancel_delay_ms / 1e3);
        let attempt = record.attempts.iter().find(|attempt| attempt.started_at > latest_allowed)?;
        let delay_s = seconds_from_micros(attempt.started_at - cancelled_at);
        let details =
            format!("an attempt reached server {} {delay_s:.3} s after the cancellation", attempt.server);
        Some(Finding::new(Rule::NothingAfterCancel, attempt.started_at, details))
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
        let Some(sent_at) = record.sent_at else { return Outcome::NotAccepted };
        let Some(end) = record.end else { return Outcome::Unanswered };
        if end.outcome == Outcome::Cancelled {
            // A client that waits until its time limit has not cancelled: it got no answer in time.
            let waited_to_limit = end.at >= sent_at + record.request.time_limit;
            let stopped = self.was_stopped(record.proxy, sent_at, end.at);
            return if waited_to_limit && !stopped { Outcome::Unanswered } else { Outcome::Cancelled };
        }
        let killed = |kill: &Kill| {
            kill.proxy == record.proxy
                && sent_at <= kill.at + KILL_TOLERANCE
                && kill.at <= end.at + KILL_TOLERANCE
        };
        if self.kills.iter().any(killed) { Outcome::Killed } else { Outcome::Unanswered }
    }

    /// Says how long a refusal was delayed, if it came too long after the last event that it could
    /// have waited for.
    fn delayed_refusal(
        &self,
        record: &RequestRecord,
        sent_at: Micros,
        at: Micros,
        spans: &AttemptSpans,
    ) -> Option<String> {
        let max_delay = micros_from_seconds(self.experiment.rules.max_rejection_delay_ms / 1e3);
        let ends = record.attempts.iter().map(|attempt| attempt.end().unwrap_or(Micros::MAX));
        let last_event = ends.max().unwrap_or(sent_at).max(sent_at);
        // An attempt that waits for a connection to a silent peer leaves no event.
        let may_have_waited = self.any_peer_silent(usize::from(record.proxy), last_event, at);
        if last_event >= at || may_have_waited || self.was_stopped(record.proxy, sent_at, at) {
            return None;
        }
        let gap = spans.longest_gap(record.proxy, record.request.key, last_event, at);
        let event =
            if record.attempts.is_empty() { "the request was sent" } else { "the end of its last attempt" };
        (gap > max_delay)
            .then(|| format!("the refusal came {:.3} s after {event}", seconds_from_micros(at - last_event)))
    }

    /// Whether some server, or the origin, was silent to a proxy at any time between `from` and
    /// `to`.
    fn any_peer_silent(&self, proxy: usize, from: Micros, to: Micros) -> bool {
        let zones = self.experiment.world.zones.len();
        let zone = proxy % zones;
        let mut at = from;
        while at < to {
            let mut next_change = Micros::MAX;
            let origin = std::iter::once(self.timelines.origin_reachability(zone, at));
            let servers = (0..self.experiment.world.servers)
                .map(|server| self.timelines.reachability(server, (server % zones, zone), at));
            for (reachability, valid_until) in servers.chain(origin) {
                if reachability == Reachability::Silent {
                    return true;
                }
                next_change = next_change.min(valid_until);
            }
            at = next_change;
        }
        false
    }
}

/// Finds a second final answer.
fn answered_again(record: &RequestRecord) -> Option<Finding> {
    let second = record.answers.get(1)?;
    let details = format!("{} final answers arrived, expected one", record.answers.len());
    Some(Finding::new(Rule::AnsweredOnce, second.at, details))
}

/// Finds a request without any final answer.
fn unanswered(record: &RequestRecord) -> Option<Finding> {
    if record.outcome != Outcome::Unanswered {
        return None;
    }
    let (at, details) = match record.end {
        Some(end) => (end.at, "the connection ended without an answer"),
        None => (record.sent_at.unwrap_or(record.request.due_at), "no answer had come when the run ended"),
    };
    let attempts = record.attempts.len();
    Some(Finding::new(
        Rule::FinalAnswer,
        at,
        format!("{details}; {attempts} attempts were made for the request"),
    ))
}
