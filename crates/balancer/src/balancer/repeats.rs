//! Decides whether a request may be sent, or sent again, to a server: no effect may come about twice, and nothing is sent to a
//! server that is out of service, late, or for a client that has its answer or has gone.

use super::Balancer;
use crate::admission::{SendRefusal, UnsentAttempt};
use crate::request::{Attempt, Request};
use crate::request_class::{DedupGroup, Idempotency};
use crate::types::ServerIndex;
use chalkwalk_time::Timestamp;

impl Balancer {
    /// Whether an attempt may be sent now.
    pub fn may_send(&self, attempt: &UnsentAttempt, now: Timestamp) -> Result<(), SendRefusal> {
        if !self.is_available(attempt.server) {
            return Err(SendRefusal::ServerUnavailable);
        }
        if now >= attempt.until {
            return Err(SendRefusal::TooLate);
        }
        let request = self.requests.get(&attempt.request.0);
        let Some(request) = request.filter(|request| !request.answered && !attempt.answered) else {
            return Err(SendRefusal::Answered);
        };
        if !attempt.client_connected {
            return Err(SendRefusal::ClientLeft);
        }
        match self.may_repeat(request, Some(attempt.server), now, Some(attempt.number)) {
            true => Ok(()),
            false => Err(SendRefusal::MayRunTwice),
        }
    }

    /// Whether the limits of its class allow one more attempt of the request, at that server.
    pub(super) fn may_attempt(&self, request: &Request, server: ServerIndex) -> bool {
        request.attempts.len() < request.class.max_attempts
            && (request.class.hedging || !request.is_pending())
            && self.may_repeat(request, Some(server), self.now, None)
    }

    /// Whether a repeat of the request, at that server or (for `None`) anywhere, does no harm until `then`. The attempt itself,
    /// where there is one already, is not its own repeat.
    pub(super) fn may_repeat(
        &self,
        request: &Request,
        server: Option<ServerIndex>,
        until: Timestamp,
        own_index: Option<usize>,
    ) -> bool {
        let class = &request.class;
        let mut earlier =
            request.attempts.iter().enumerate().filter(|(i, a)| a.may_have_run && Some(*i) != own_index);
        earlier.all(|(_, attempt)| match class.idempotency {
            Idempotency::Replayable => true,
            Idempotency::SingleUse => false,
            Idempotency::Tagged => {
                self.drops_repeat(class.dedup_group, attempt, server)
                    && until < attempt.sent_at + class.dedup_window
            }
        })
    }

    /// Whether the server of a repeat knows of an earlier attempt, as that was at one of its group.
    fn drops_repeat(&self, group: DedupGroup, earlier: &Attempt, server: Option<ServerIndex>) -> bool {
        let earlier_server = &self.servers[earlier.server];
        let Some(next_server) = server.map(|server| &self.servers[server]) else {
            return group == DedupGroup::All;
        };
        match group {
            DedupGroup::All => true,
            DedupGroup::Zone => next_server.zone == earlier_server.zone,
            DedupGroup::Cell => {
                next_server.zone == earlier_server.zone && next_server.cell == earlier_server.cell
            }
        }
    }
}
