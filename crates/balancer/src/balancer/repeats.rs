//! Decides whether a request may be sent, or sent again, to a server. No request may take effect
//! twice, and nothing is sent to a server that is out of service, after the deadline, or for a
//! client that has its answer or has disconnected.

use super::Balancer;
use crate::admission::{SendRefusal, UnsentAttempt};
use crate::request::{Attempt, Request};
use crate::types::ServerIndex;
use chalkwalk_limits::{DedupGroup, Idempotency};
use chalkwalk_time::Timestamp;

impl Balancer {
    /// Whether an attempt may be sent now.
    pub fn may_send(&self, attempt: &UnsentAttempt, now: Timestamp) -> Result<(), SendRefusal> {
        if !self.is_available(attempt.server) {
            return Err(SendRefusal::ServerUnavailable);
        }
        if now >= attempt.deadline {
            return Err(SendRefusal::TooLate);
        }
        let request = self.requests.get(&attempt.request_id.0);
        let Some(request) = request.filter(|request| !request.answered && !attempt.answered) else {
            return Err(SendRefusal::Answered);
        };
        if !attempt.client_connected {
            return Err(SendRefusal::ClientLeft);
        }
        match self.may_repeat(request, Some(attempt.server), now, Some(attempt.index)) {
            true => Ok(()),
            false => Err(SendRefusal::MayRunTwice),
        }
    }

    /// Whether the limits of the request's class allow one more attempt at that server.
    pub(super) fn may_attempt(&self, request: &Request, server: ServerIndex) -> bool {
        request.attempts.len() < request.class.max_attempts
            && (request.class.hedging || !request.is_pending())
            && self.may_repeat(request, Some(server), self.now, None)
    }

    /// Whether repeating the request until `deadline`, at that server or (for `None`) at any
    /// server, does no harm. `own_index` is the index of the attempt in question if it exists
    /// already: it does not count as an earlier attempt.
    pub(super) fn may_repeat(
        &self,
        request: &Request,
        server: Option<ServerIndex>,
        deadline: Timestamp,
        own_index: Option<usize>,
    ) -> bool {
        let class = &request.class;
        let mut earlier_attempts =
            request.attempts.iter().enumerate().filter(|(i, a)| a.may_have_run && Some(*i) != own_index);
        earlier_attempts.all(|(_, attempt)| match class.idempotency {
            Idempotency::Replayable => true,
            Idempotency::SingleUse => false,
            Idempotency::Tagged => {
                self.drops_repeat(class.dedup_group, attempt, server)
                    && deadline < attempt.sent_at + class.dedup_window
            }
        })
    }

    /// Whether the server of a repeat knows of an earlier attempt, because that attempt was sent to
    /// a server of the same deduplication group.
    fn drops_repeat(
        &self,
        group: DedupGroup,
        earlier_attempt: &Attempt,
        server: Option<ServerIndex>,
    ) -> bool {
        let earlier_server = &self.servers[earlier_attempt.server];
        let Some(target) = server.map(|server| &self.servers[server]) else {
            return group == DedupGroup::All;
        };
        match group {
            DedupGroup::All => true,
            DedupGroup::Zone => target.zone == earlier_server.zone,
            DedupGroup::Cell => target.zone == earlier_server.zone && target.cell == earlier_server.cell,
        }
    }
}
