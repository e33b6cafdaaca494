//! Ejects servers for their failures, checks their health and readmits them. `outlier.rs` keeps the
//! failure scores.

use super::{Balancer, FIRST_SERVER_TOKEN};
use crate::effects::{Effects, StateChange};
use crate::types::{AttemptOutcome, ServerIndex};

impl Balancer {
    /// Counts an outcome for or against a server, which may be ejected for it. The origin is never
    /// ejected.
    pub(super) fn record_outcome(
        &mut self,
        index: ServerIndex,
        outcome: AttemptOutcome,
        effects: &mut dyn Effects,
    ) {
        let timeout = self.silence_timeout();
        let server = &mut self.servers[index];
        let answered_recently = server.liveness.answered_within(self.now, timeout);
        if server.failures.record(outcome, answered_recently) && Some(index) != self.origin {
            self.eject(index, effects);
        }
    }

    fn eject(&mut self, index: ServerIndex, effects: &mut dyn Effects) {
        let server = &mut self.servers[index];
        server.failures.eject();
        let backoff = server.ejection.begin();
        effects.report(StateChange::ServerEjected { server: &server.id });
        // The jitter keeps the proxies that ejected the server together from checking its health
        // together.
        let jitter = self.random.span_below(backoff / 4);
        effects.set_timer(FIRST_SERVER_TOKEN + index as u64, backoff + jitter);
    }

    /// The ejection time of a server is over: its health is checked if the server is in service and
    /// the deployment supports health checks; otherwise the check counts as passed.
    pub(super) fn ejection_timer_fired(&mut self, index: ServerIndex, effects: &mut dyn Effects) {
        let is_known = index < self.servers.len();
        if is_known && self.is_ready(index) && self.settings.health_checks {
            effects.check_health(index);
        } else {
            self.health_check_finished(index, true, effects);
        }
    }

    /// A health check has ended. An ejected server that passed gets one attempt at a time until it
    /// has answered two.
    pub fn health_check_finished(&mut self, index: ServerIndex, passed: bool, effects: &mut dyn Effects) {
        let Some(server) = self.servers.get_mut(index) else { return };
        server.ejection.end_check();
        if !server.failures.is_ejected() {
            return;
        }
        if passed {
            server.failures.readmit();
            effects.report(StateChange::ServerReadmitted { server: &server.id });
        } else {
            self.eject(index, effects);
        }
    }
}
