//! Writes the figures that this process has learned about the servers, for its successor, and
//! restores those that its predecessor had learned.

use super::Operators;
use chalkwalk_balancer as balancer;
use chalkwalk_handover::{LearnedServers, ServerStats};
use chalkwalk_time::Timestamp;
use slog::info;

impl Operators {
    /// Restores the figures that a previous process had learned, if they are still valid.
    pub(super) fn restore_learned(&self, learned: LearnedServers) {
        let servers = learned.servers.len();
        if servers == 0 {
            return;
        }
        let event =
            if self.try_restore(learned) { "learned figures restored" } else { "learned figures discarded" };
        info!(self.engine.log, "{}", event; "caches" => servers);
    }

    fn try_restore(&self, learned: LearnedServers) -> bool {
        let mut requests = self.engine.requests.borrow_mut();
        if !learned.is_usable(requests.learned_settings_digest(), self.engine.clock.now()) {
            return false;
        }
        requests.restore_learned_servers(learned.bounded().servers.into_iter().map(to_balancer).collect())
    }

    /// Writes the figures learned about the servers, if there are any.
    pub(super) async fn write_learned(&self) {
        let written_at = self.engine.clock.now();
        let settings_digest = self.engine.requests.borrow().learned_settings_digest();
        let servers = self.engine.requests.borrow().learned_servers();
        let servers = servers.into_iter().map(from_balancer).collect();
        let learned = LearnedServers { written_at, settings_digest, servers }.bounded();
        if !learned.servers.is_empty() {
            self.state.borrow_mut().own_record.learned = learned;
            self.write().await;
        }
    }
}

fn to_balancer((id, figures): (String, ServerStats)) -> balancer::LearnedServer {
    balancer::LearnedServer {
        id,
        started_at: Timestamp::from_ticks(figures.started_at),
        max_weight_hundredths: figures.weight,
        key_share: figures.key_share,
        concurrency_limit: figures.concurrency_limit,
    }
}

fn from_balancer(learned: balancer::LearnedServer) -> (String, ServerStats) {
    let figures = ServerStats {
        started_at: learned.started_at.ticks(),
        weight: learned.max_weight_hundredths,
        key_share: learned.key_share,
        concurrency_limit: learned.concurrency_limit,
    };
    (learned.id, figures)
}
