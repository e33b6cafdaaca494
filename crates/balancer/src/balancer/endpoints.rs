//! Applies endpoint lists: what each entry changes, which servers are ready, and when discovery is
//! called again.
//!
//! A drain takes effect when the list with it is applied, and an operator's call to disable a
//! server when it is made; both stay in effect until a list or an operator reverses them. A server
//! that has restarted counts as a new one.

use super::{Balancer, DISCOVERY_TOKEN};
use crate::effects::{Effects, StateChange};
use crate::server::Server;
use crate::slow_start::{SlowStart, token_floor};
use crate::types::{Endpoint, EndpointStatus, ServerIndex};
use chalkwalk_time::{Span, Timestamp};

impl Balancer {
    /// Discovery has sent the whole list: servers that are not in it are gone.
    pub fn replace_endpoints(&mut self, endpoints: &[Endpoint], effects: &mut dyn Effects) {
        self.servers.iter_mut().for_each(|server| server.status = EndpointStatus::Gone);
        self.update_endpoints(endpoints, effects);
    }

    /// Discovery has sent the entries that changed.
    pub fn update_endpoints(&mut self, endpoints: &[Endpoint], effects: &mut dyn Effects) {
        // The watch continues, so a change right after this answer counts as notified even before
        // the next call.
        if self.discovery.record_answer() {
            effects.report(StateChange::DiscoveryRecovered);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.rebalance_keys(endpoints);
        self.rebuild_ring();
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        let index = endpoint.server;
        let server_count = self.servers.len().max(index + 1);
        self.servers.resize_with(server_count, Server::default);
        if self.servers[index].id != endpoint.id {
            self.servers[index] = Server::new(endpoint.id);
        }
        self.restart_if_newer(index, endpoint.started_at);
        let server = &mut self.servers[index];
        server.zone = endpoint.zone;
        server.cell = endpoint.cell;
        server.status = endpoint.status;
        server.key_share.update_listed_weight(endpoint.weight_hundredths, self.settings.fixed_weights);
        if Some(endpoint.kind) == self.settings.origin_kind {
            self.origin = Some(index);
        }
        self.restore_learned_server(index);
    }

    /// Resets the server's state and starts its slow start if a newer process has started under its
    /// id. A start time that is not newer is ignored.
    pub(super) fn restart_if_newer(&mut self, server: ServerIndex, started_at: Timestamp) {
        if started_at > self.servers[server].started_at {
            let draw = self.random.below(SlowStart::DRAW_END);
            self.servers[server].restart(started_at, token_floor(&self.settings), draw);
        }
    }

    /// Moves keys away from servers whose listed load is above the mean of the ready servers.
    fn rebalance_keys(&mut self, endpoints: &[Endpoint]) {
        let ready = || (0..self.servers.len()).filter(|server| self.is_ready(*server));
        let total_load: u64 = ready().map(|server| self.servers[server].key_share.load()).sum();
        let mean_load = total_load / ready().count().max(1) as u64;
        for endpoint in endpoints {
            self.servers[endpoint.server].key_share.rebalance(mean_load);
        }
    }

    pub(super) fn rebuild_ring(&mut self) {
        let mut ring = std::mem::take(&mut self.ring);
        let own_zone = self.settings.zone;
        ring.rebuild(
            self.servers
                .iter()
                .enumerate()
                .map(|(index, server)| (server.id.as_str(), self.is_ready(index), server.zone == own_zone)),
        );
        self.ring = ring;
    }

    /// A call to discovery failed after `took`. The next call follows after a backoff that stays
    /// within the time limit for noticing changes.
    pub fn discovery_call_failed(&mut self, took: Span, effects: &mut dyn Effects) {
        if self.discovery.record_failure() {
            effects.report(StateChange::DiscoveryLost);
        }
        let backoff = self.settings.discovery_backoff;
        let delay = backoff.delay(took, self.discovery.failures(), |end| self.random.span_below(end));
        effects.set_timer(DISCOVERY_TOKEN, delay);
    }

    /// Disables a server on behalf of operators, regardless of its status in the endpoint list, or
    /// enables it again; `changed_at` is the time of the change. A server is assumed to be
    /// restarted in between: once it is enabled, it is in slow start as if it had started at
    /// `changed_at`, and its recorded failures are cleared.
    pub fn set_disabled(&mut self, id: &str, disabled: bool, changed_at: Timestamp) {
        if disabled {
            self.disabled.entry(id.into()).or_insert(changed_at);
        } else {
            self.disabled.remove(id);
            for server in 0..self.servers.len() {
                if self.servers[server].id == id {
                    self.restart_if_newer(server, changed_at);
                }
            }
        }
        self.rebuild_ring();
    }
}
