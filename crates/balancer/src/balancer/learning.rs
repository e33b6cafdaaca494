//! Updates the state of each decision about a server when an attempt ends.
//!
//! Input: the attempt with its outcome, reported once.

use super::Balancer;
use crate::concurrency_limit::Sample;
use crate::load_shedding::Resource;
use crate::slow_start::token_floor;
use crate::types::{AttemptOutcome, ServerIndex};
use chalkwalk_time::Span;

/// An attempt that has ended, with what the decisions learn from.
#[derive(Clone, Copy)]
pub(super) struct EndedAttempt {
    pub key: u64,
    pub server: ServerIndex,
    pub outcome: AttemptOutcome,
    pub took: Span,
    pub target: Span,
    pub in_flight: u64,
    pub likely_fetch: bool,
    pub opened_connection: bool,
    /// The attempt went to a server, and not to the origin.
    pub from_server: bool,
    /// The server had sent nothing since the attempt was sent.
    pub server_was_silent: bool,
}

impl EndedAttempt {
    /// Whether the attempt failed with an error that may be the origin's: an error on a likely
    /// fetch says nothing about the server.
    pub fn is_origin_error(&self) -> bool {
        self.likely_fetch && self.outcome == AttemptOutcome::ServerError
    }

    fn is_late(&self) -> bool {
        self.took >= self.target || self.is_origin_error() || self.outcome == AttemptOutcome::TimedOut
    }
}

impl Balancer {
    /// Learns whether servers have capacity for connections. Returns whether the attempt failed for
    /// lack of it.
    pub(super) fn record_connection(&mut self, ended: &EndedAttempt) -> bool {
        let refused = ended.outcome == AttemptOutcome::Unreachable;
        let server = &mut self.servers[ended.server];
        server.connected &= !refused && ended.outcome != AttemptOutcome::ConnectionLost;
        let group = self.zone_group(&self.servers[ended.server]);
        if ended.from_server {
            self.connections.record(refused);
        }
        let no_connection_left = refused && ended.opened_connection && self.connections.is_scarce();
        if no_connection_left {
            let connected = self.connected_count(group);
            self.connections.lower(group, connected);
        } else if ended.opened_connection && ended.from_server && ended.outcome.is_success_or_miss() {
            self.connections.raise(group);
        }
        no_connection_left
    }

    /// Learns how fast the server answers, and from that its concurrency limit and its share of
    /// keys.
    pub(super) fn record_latency(&mut self, ended: &EndedAttempt) {
        let EndedAttempt { outcome, took, target, from_server, in_flight, .. } = *ended;
        let server = &mut self.servers[ended.server];
        if matches!(outcome, AttemptOutcome::Completed | AttemptOutcome::TimedOut) {
            server.recent_latency.record(took, target);
        }
        if outcome == AttemptOutcome::Completed && from_server {
            self.latencies.record(took);
        }
        if from_server && outcome.shows_latency() {
            server.key_share.record_latency(took, target);
        }
        let shortest_target = self.settings.shortest_target().unwrap_or(target);
        server.concurrency.adjust(&Sample { outcome, took, in_flight, target, shortest_target, from_server });
    }

    /// Learns whether servers hold the key now.
    pub(super) fn record_key(&mut self, ended: &EndedAttempt) {
        if self.settings.servers_fetch && ended.outcome == AttemptOutcome::Completed {
            self.shedding.record_resolved(ended.key);
        } else if ended.outcome == AttemptOutcome::ServerError {
            self.shedding.forget_resolved(ended.key);
        }
    }

    /// Learns whether the servers, or the origin, answer late.
    pub(super) fn record_load(&mut self, ended: &EndedAttempt) {
        if ended.is_origin_error() || ended.outcome.shows_latency() {
            let by_server = ended.from_server && !ended.likely_fetch;
            let resource = if by_server { Resource::Servers } else { Resource::Origin };
            self.shedding.record(resource, ended.is_late());
        }
    }

    /// An answer earns tokens for its server and for all others in slow start.
    pub(super) fn earn_slow_start_tokens(&mut self, answered: ServerIndex) {
        let ready = self.ring.server_count();
        let floor = token_floor(&self.settings);
        for index in 0..self.servers.len() {
            let progress = self.servers[index].slow_start_progress(&self.settings, self.now);
            if !progress.is_done() && self.is_ready(index) {
                self.servers[index].slow_start.earn(index == answered, progress, ready, floor);
            }
        }
    }
}
