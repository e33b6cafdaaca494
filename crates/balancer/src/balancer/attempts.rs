//! Starts attempts and handles their outcomes: first every decision about the server learns from
//! the outcome (`learning.rs`), in a fixed order, and then the request continues.
//!
//! Inputs: the start of each response and the end of each attempt, each reported once.

use super::Balancer;
use super::learning::EndedAttempt;
use super::retry::RetryCost;
use crate::effects::Effects;
use crate::request::Attempt;
use crate::types::{AttemptOutcome, RequestId, ServerIndex};
use chalkwalk_limits::Idempotency;
use chalkwalk_time::Span;

impl Balancer {
    pub(super) fn start_attempt(
        &mut self,
        request_id: RequestId,
        index: ServerIndex,
        effects: &mut dyn Effects,
    ) {
        let timeout = self.silence_timeout();
        let likely_fetch =
            self.requests.get(&request_id.0).is_some_and(|request| self.will_likely_fetch(request));
        let Some(request) = self.requests.get_mut(&request_id.0) else { return };
        let server = &mut self.servers[index];
        let sent_at = self.now;
        let in_flight = server.liveness.start_attempt(sent_at);
        server.slow_start.spend();
        request.waiting = false;
        let class = &request.class;
        // Protects a tagged request whose attempt waits for a connection: if the attempt were sent
        // after the deduplication window, the request could run twice.
        let tagged = class.idempotency == Idempotency::Tagged;
        let earlier_attempts = request.attempts.iter().filter(|attempt| tagged && attempt.may_have_run);
        let send_by = earlier_attempts.map(|attempt| attempt.sent_at + class.dedup_window).min();
        let opens_connection = !std::mem::replace(&mut server.connected, true);
        request.attempts.push(Attempt {
            server: index,
            sent_at,
            in_flight,
            pending: true,
            may_have_run: true,
            opens_connection,
            likely_fetch,
            ..Attempt::default()
        });
        let hedge_after = class.hedge_after.and_then(|thousandths| self.latencies.quantile(thousandths));
        let deadline = request.expires.min(sent_at + class.attempt_timeout);
        effects.start_attempt(request_id, index, deadline, send_by.unwrap_or(request.expires));
        if Some(index) != self.origin {
            effects.set_timer(request_id.0, hedge_after.unwrap_or(timeout).min(timeout) + Span::TICK);
        }
    }

    /// The response to an attempt has begun. The response is being passed on to the client, so the
    /// request's timers no longer have an effect, and its other pending attempts are cancelled if
    /// the deployment supports that.
    pub fn response_started(&mut self, request_id: RequestId, attempt: usize, effects: &mut dyn Effects) {
        let Some(request) = self.requests.get_mut(&request_id.0) else { return };
        request.streaming = true;
        if let Some(started) = request.attempts.get_mut(attempt).filter(|a| a.pending && !a.streaming) {
            started.streaming = true;
            self.servers[started.server].liveness.start_response(started.sent_at, self.now);
        }
        if self.settings.cancellation {
            let others = request.pending_attempts().filter(|other| *other != attempt);
            others.for_each(|other| effects.cancel_attempt(request_id, other));
        }
    }

    /// An attempt ended. `finished`: the client has its final answer, from this attempt or an
    /// earlier one.
    pub fn attempt_ended(
        &mut self,
        request_id: RequestId,
        attempt: usize,
        outcome: AttemptOutcome,
        took: Span,
        finished: bool,
        effects: &mut dyn Effects,
    ) {
        let Some(ended) = self.end_attempt(request_id, attempt, outcome.without_source(), took) else {
            return;
        };
        let no_connection_left = self.record_connection(&ended);
        self.record_latency(&ended);
        let ended_fetch = self.take_fetch_lead(request_id, &ended);
        self.record_key(&ended);
        let only_late = ended.outcome == AttemptOutcome::TimedOut && !ended.server_was_silent;
        if !(ended.is_origin_error() || no_connection_left || only_late) {
            self.record_outcome(ended.server, ended.outcome, effects);
        }
        self.record_load(&ended);
        if ended.from_server && ended.outcome.is_success_or_miss() {
            self.earn_slow_start_tokens(ended.server);
        }
        self.continue_request(request_id, &ended, finished, effects);
        if ended_fetch {
            self.end_fetch(ended.key, ended.outcome == AttemptOutcome::Completed, effects);
        }
    }

    /// Records the end of the attempt in its request and in the liveness of its server.
    fn end_attempt(
        &mut self,
        request_id: RequestId,
        attempt: usize,
        outcome: AttemptOutcome,
        took: Span,
    ) -> Option<EndedAttempt> {
        let overdue_after = self.overdue_after();
        let request = self.requests.get_mut(&request_id.0)?;
        let attempt = request.attempts.get_mut(attempt).filter(|attempt| attempt.pending)?;
        if outcome.may_still_run() && request.class.in_order {
            self.key_order.start_quiet_period(request.key, self.now + self.settings.key_quiet_period);
        }
        attempt.pending = false;
        attempt.may_have_run = outcome.may_have_run();
        // If the request is restricted to certain servers, the owner of the key is decided
        // elsewhere, and may be tried again after a connection to it broke.
        let broke_at_owner = outcome == AttemptOutcome::ConnectionLost && request.allowed_servers.is_some();
        attempt.failed = outcome != AttemptOutcome::CacheMiss && !broke_at_owner;
        let server = &mut self.servers[attempt.server];
        let server_was_silent = server.liveness.is_silent_since(attempt.sent_at);
        server.concurrency.set_rarely_answers(server.liveness.rarely_answers(self.now));
        server.liveness.end_attempt(attempt.streaming);
        if outcome.is_answer() {
            server.liveness.record_answer(attempt.sent_at, self.now);
        }
        // A server that has answered later attempts has lost this one, which must not count as a
        // late answer of the server.
        let later_attempt_answered =
            !server_was_silent && server.liveness.answered_one_sent_after(attempt.sent_at);
        let lost = outcome == AttemptOutcome::TimedOut && later_attempt_answered && took > overdue_after;
        Some(EndedAttempt {
            key: request.key,
            server: attempt.server,
            outcome: if lost { AttemptOutcome::Cancelled } else { outcome },
            took,
            target: request.class.target,
            in_flight: attempt.in_flight,
            likely_fetch: attempt.likely_fetch,
            opened_connection: attempt.opens_connection,
            from_server: Some(attempt.server) != self.origin,
            server_was_silent,
        })
    }

    /// Whether the attempt was the fetch that other requests wait for. If so, the request is no
    /// longer marked as leading that fetch.
    fn take_fetch_lead(&mut self, request_id: RequestId, ended: &EndedAttempt) -> bool {
        match self.requests.get_mut(&request_id.0) {
            Some(request) if !ended.from_server => std::mem::replace(&mut request.leads_fetch, false),
            _ => false,
        }
    }

    /// Closes, retries or answers the request, depending on the attempt's outcome.
    fn continue_request(
        &mut self,
        request_id: RequestId,
        ended: &EndedAttempt,
        finished: bool,
        effects: &mut dyn Effects,
    ) {
        let request = &self.requests[&request_id.0];
        let outcome = ended.outcome;
        let answered = request.answered;
        let on_ring = request.allowed_servers.is_none();
        let is_pending = request.is_pending();
        let answer_begun_elsewhere = request.streaming && is_pending && !answered;
        let invalid = outcome == AttemptOutcome::InvalidRequest;
        if invalid && !finished && !answered {
            effects.fail(request_id);
        }
        if answer_begun_elsewhere {
            // Another attempt's response is already being passed on to the client, so this outcome
            // does not matter.
        } else if finished || answered || invalid {
            self.close(request_id, effects);
        } else if outcome == AttemptOutcome::CacheMiss && self.settings.origin_kind.is_some() && on_ring {
            self.send_to_origin(request_id, effects);
        } else if !is_pending {
            self.retry_after_failure(request_id, ended, effects);
        }
    }

    fn retry_after_failure(
        &mut self,
        request_id: RequestId,
        ended: &EndedAttempt,
        effects: &mut dyn Effects,
    ) {
        match ended.outcome {
            AttemptOutcome::Overloaded | AttemptOutcome::TimedOut | AttemptOutcome::NotSent
                if !ended.from_server =>
            {
                self.answer_unserved(request_id, effects);
            }
            AttemptOutcome::Unreachable | AttemptOutcome::CacheMiss if ended.from_server => {
                self.retry(request_id, RetryCost::Free, effects);
            }
            // A broken connection or an error at the origin says nothing about its load, and the
            // attempt may have stored the value, so a retry is worthwhile.
            _ => self.retry(request_id, RetryCost::Budgeted, effects),
        }
    }
}
