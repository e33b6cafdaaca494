//! Decides what follows an attempt that did not serve its request: a retry, a hedged request or the
//! final answer.
//!
//! Inputs: the end of attempts, and timers. The retry budget of the class protects the servers from
//! retry storms, and the client is protected from a retry that would run its request twice.

use super::{Balancer, SECOND};
use crate::effects::Effects;
use crate::request::{Attempt, Request};
use crate::types::{AttemptOutcome, RequestId};
use chalkwalk_time::{Span, Timestamp};

/// Whether a retry counts against the budget of the class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryCost {
    /// The retry does not count, as the previous attempt put no load on a server.
    Free,
    /// The retry counts against the budget.
    Budgeted,
}

/// The state of a request's last pending attempt when the request's timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitStatus {
    /// The attempt shows no sign of a failure yet.
    InProgress,
    /// The server has sent nothing since the attempt was sent.
    Silent,
    /// The attempt is lost, or it takes so long that its class asks for a hedged request.
    HedgeDue,
}

impl Balancer {
    /// Sends one more attempt if the limits and the budget allow it, else answers the request.
    pub(super) fn retry(&mut self, request_id: RequestId, cost: RetryCost, effects: &mut dyn Effects) {
        let request = &self.requests[&request_id.0];
        let budget = &request.class.retry_budget;
        let budgeted = cost == RetryCost::Budgeted;
        if self.now >= request.useful_until || (budgeted && !budget.allows_retry(self.now)) {
            return self.answer_unserved(request_id, effects);
        }
        if budgeted {
            budget.record_retry(self.now);
        }
        self.route_request(request_id, effects);
    }

    /// Answers the request as unserved, unless an attempt is pending. It is rejected only if a
    /// retry by the client does no harm; otherwise it fails.
    pub(super) fn answer_unserved(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        if self.requests[&request_id.0].is_pending() {
            return;
        }
        // Half a second to one and a half, spread so that rejected clients do not return together.
        let random_delay = SECOND / 2 + self.random.span_below(SECOND);
        let retry_after = random_delay.min(self.settings.max_retry_after);
        if self.may_repeat(&self.requests[&request_id.0], None, self.now + retry_after, None) {
            effects.reject(request_id, retry_after);
        } else {
            effects.fail(request_id);
        }
        self.close(request_id, effects);
    }

    /// The timer of a request has fired: it has waited too long, its time limit is over, or its
    /// attempt may be lost.
    pub(super) fn request_timer_fired(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        let Some(request) = self.requests.get(&request_id.0) else { return };
        if request.answered || request.streaming {
            return;
        }
        if request.waiting {
            let key = request.key;
            return match self.now >= request.useful_until {
                true => self.answer_unserved(request_id, effects),
                false => self.advance_key(key, effects),
            };
        }
        if request.time_limit_shortened && self.now >= request.expires {
            return request
                .pending_attempts()
                .for_each(|attempt| effects.cancel_attempt(request_id, attempt));
        }
        let Some(last) = request.attempts.iter().rposition(|attempt| attempt.pending) else { return };
        let server = request.attempts[last].server;
        if Some(server) == self.origin || self.now >= request.useful_until {
            return;
        }
        match self.wait_status(request, last) {
            WaitStatus::InProgress => {
                return effects.set_timer(request_id.0, self.silence_timeout() + Span::TICK);
            }
            WaitStatus::Silent => {
                if self.servers[server].liveness.count_silence() {
                    self.record_outcome(server, AttemptOutcome::TimedOut, effects);
                }
            }
            WaitStatus::HedgeDue => {}
        }
        self.hedge_or_cancel(request_id, last, effects);
    }

    /// The state of a request's last pending attempt.
    fn wait_status(&self, request: &Request, last: usize) -> WaitStatus {
        let attempt = &request.attempts[last];
        let liveness = &self.servers[attempt.server].liveness;
        if self.is_lost(attempt) || (last == 0 && self.is_hedge_due(request, attempt.sent_at)) {
            WaitStatus::HedgeDue
        } else if !liveness.is_silent_since(attempt.sent_at) || !self.is_silent(attempt.server) {
            WaitStatus::InProgress
        } else {
            WaitStatus::Silent
        }
    }

    /// Detects an attempt that was accepted and is never answered: the server answered an attempt
    /// that was sent later, and this one is overdue.
    fn is_lost(&self, attempt: &Attempt) -> bool {
        let liveness = &self.servers[attempt.server].liveness;
        liveness.answered_one_sent_after(attempt.sent_at) && self.now > attempt.sent_at + self.overdue_after()
    }

    /// Protects urgent requests from tail latency where the class asks for it, with one hedged
    /// request within the budget.
    fn is_hedge_due(&self, request: &Request, sent_at: Timestamp) -> bool {
        let class = &request.class;
        let hedge_after = class.hedge_after.and_then(|thousandths| self.latencies.quantile(thousandths));
        hedge_after.is_some_and(|after| self.now > sent_at + after)
            && class.hedging
            && class.retry_budget.allows_retry(self.now)
    }

    /// Sends a hedged request if the class allows it, else cancels the attempt so that its end
    /// leads to a retry.
    fn hedge_or_cancel(&mut self, request_id: RequestId, attempt: usize, effects: &mut dyn Effects) {
        let request = &self.requests[&request_id.0];
        if request.class.hedging {
            self.retry(request_id, RetryCost::Budgeted, effects);
        } else if self.settings.cancellation
            && request.class.retry_budget.allows_retry(self.now)
            && self.may_repeat(request, None, self.now, None)
        {
            effects.cancel_attempt(request_id, attempt);
        }
    }
}
