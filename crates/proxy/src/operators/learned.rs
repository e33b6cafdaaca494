//! What this process learned of the servers, written for its successor; and what the process before it had learned.

use super::Operators;
use chalkwalk_balancer as balancer;
use chalkwalk_handover::{LearnedServers, ServerFigures};
use chalkwalk_time::Timestamp;
use slog::info;

impl Operators {
    /// Restores what a process before this one had learned, if that still means the same.
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
        if !learned.is_usable(requests.learning_terms(), self.engine.clock.now()) {
            return false;
        }
        requests.restore_learned(learned.bounded().servers.into_iter().map(to_balancer).collect())
    }

    /// Writes what was learned of the servers, if that is anything.
    pub(super) async fn write_learned(&self) {
        let written_at = self.engine.clock.now();
        let settings_digest = self.engine.requests.borrow().learning_terms();
        let servers = self.engine.requests.borrow().learned();
        let servers = servers.into_iter().map(from_balancer).collect();
        let learned = LearnedServers { written_at, settings_digest, servers }.bounded();
        if !learned.servers.is_empty() {
            self.state.borrow_mut().own.learned = learned;
            self.write().await;
        }
    }
}

fn to_balancer((id, figures): (String, ServerFigures)) -> balancer::LearnedServer {
    balancer::LearnedServer {
        id,
        born: Timestamp::from_ticks(figures.started),
        size: figures.weight,
        key_share: figures.key_share,
        concurrency_limit: figures.concurrency_limit,
    }
}

fn from_balancer(learned: balancer::LearnedServer) -> (String, ServerFigures) {
    let figures = ServerFigures {
        started: learned.born.ticks(),
        weight: learned.size,
        key_share: learned.key_share,
        concurrency_limit: learned.concurrency_limit,
    };
    (learned.id, figures)
}
