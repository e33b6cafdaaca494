//! Queries of a balancer's state, and changes of it beside requests and lists. Nothing here decides.

use super::Balancer;
use crate::hash::mix;
use crate::settings::Settings;
use crate::types::{EndpointStatus, LearnedServer, RequestId, ServerIndex};
use std::collections::BTreeMap;

impl Balancer {
    /// Other settings hold from now on, and budgets go on counting. What is open keeps the limits that it has,
    /// until `renew_limits` gives it others. Zones, kinds and the origin must be the same.
    pub fn apply_settings(&mut self, values: &BTreeMap<String, String>) {
        let settings = Settings { proxies: self.settings.proxies, ..Settings::read(values) };
        let before = std::mem::replace(&mut self.settings, settings);
        for (class, before) in self.settings.classes.iter().zip(&before.classes) {
            class.retry_budget.continue_from(&before.retry_budget);
        }
    }

    /// Classes of requests; `accept_request` and `renew_limits` name one by its number.
    pub fn class_count(&self) -> usize {
        self.settings.classes.len()
    }

    /// What the figures of `learned` depend on: target times, the own zone, what weights state. Learned under others they mean
    /// something else.
    pub fn learning_terms(&self) -> u64 {
        let targets = self.settings.classes.iter().map(|class| class.target.ticks());
        let other = [self.settings.zone as u64, u64::from(self.settings.fixed_sizes)];
        targets.chain(other).fold(0, |hash, n| mix(hash.rotate_left(7) ^ mix(n + 1)))
    }

    /// What was learned of the servers in service, of those where it differs from what holds at first.
    pub fn learned(&self) -> Vec<LearnedServer> {
        self.servers.iter().filter_map(|server| server.learned()).collect()
    }

    /// What a process before this one has learned on the same terms: restored once the list names a server that has not
    /// started since. Connections, silences, failures, latencies, and all that is learned of the origin start afresh.
    pub fn restore_learned(&mut self, learned: Vec<LearnedServer>) {
        self.pending_learned = learned.into_iter().map(|server| (server.id.clone(), server)).collect();
        (0..self.servers.len()).for_each(|server| self.restore_learned_server(server));
    }

    pub(super) fn restore_learned_server(&mut self, server: ServerIndex) {
        let server = &mut self.servers[server];
        if let Some(learned) = self.pending_learned.remove(&server.id) {
            server.restore_learned(&learned, &self.settings);
        }
    }

    /// Whether operators have a server out.
    pub fn is_disabled(&self, server: ServerIndex) -> bool {
        self.servers.get(server).is_some_and(|server| self.disabled.contains_key(&server.id))
    }

    /// Whether a server, or the origin, is in service as notified, and not disabled by operators.
    pub fn is_available(&self, server: ServerIndex) -> bool {
        let ready = self.servers.get(server).is_some_and(|server| server.status == EndpointStatus::Ready);
        ready && !self.is_disabled(server)
    }

    /// Whether operators may mean this server: it is listed, or was taken out. The origin is none.
    pub fn knows_server(&self, id: &str) -> bool {
        let is_listed = |(index, server): (ServerIndex, &crate::server::Server)| {
            server.id == id && Some(index) != self.origin && server.status != EndpointStatus::Gone
        };
        self.disabled.contains_key(id) || self.servers.iter().enumerate().any(is_listed)
    }

    /// Whether no server of any zone may get requests: none is listed as in service, or operators took all out.
    pub fn no_server_ready(&self) -> bool {
        self.ring.server_count() == 0
    }

    /// Whether nothing will name this server any more, so that its index may be another's.
    pub fn index_is_free(&self, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let has_attempts =
            || self.requests.values().any(|request| request.attempts.iter().any(|a| a.server == index));
        server.status == EndpointStatus::Gone && !server.ejection.has_pending_checks() && !has_attempts()
    }

    /// Requests that are not done with yet.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether the balancer still knows this request; when it does not, nothing more will come of it.
    pub fn knows_request(&self, request_id: RequestId) -> bool {
        self.requests.contains_key(&request_id.0)
    }

    /// So many proxies send to the servers, this one included, where that can be counted.
    pub fn set_proxy_count(&mut self, proxies: u64) {
        self.settings.proxies = proxies.max(1);
    }
}
