//! Queries of a balancer's state, and changes to it apart from requests and endpoint lists. This
//! module makes no decisions.

use super::Balancer;
use crate::hash::mix;
use crate::settings::Settings;
use crate::types::{EndpointStatus, LearnedServer, RequestId, ServerIndex};
use std::collections::BTreeMap;

impl Balancer {
    /// Applies new settings; the retry budgets keep their counts. Open requests keep the limits
    /// that they have until `update_limits` gives them others. Zones, kinds and the origin must be
    /// the same as before.
    pub fn apply_settings(&mut self, values: &BTreeMap<String, String>) {
        let settings = Settings { proxies: self.settings.proxies, ..Settings::read(values) };
        let previous = std::mem::replace(&mut self.settings, settings);
        for (class, previous) in self.settings.classes.iter().zip(&previous.classes) {
            class.retry_budget.copy_counters_from(&previous.retry_budget);
        }
    }

    /// The number of request classes; `accept_request` and `update_limits` identify a class by its
    /// index.
    pub fn class_count(&self) -> usize {
        self.settings.classes.len()
    }

    /// A digest of the settings that the figures of `learned_servers` depend on: the target times,
    /// the proxy's own zone and what the weights mean. Figures learned under other settings are not
    /// comparable.
    pub fn learned_settings_digest(&self) -> u64 {
        let targets = self.settings.classes.iter().map(|class| class.target.ticks());
        let other = [self.settings.zone as u64, u64::from(self.settings.fixed_weights)];
        targets.chain(other).fold(0, |hash, n| mix(hash.rotate_left(7) ^ mix(n + 1)))
    }

    /// What was learned about the servers in service whose figures differ from the initial ones.
    pub fn learned_servers(&self) -> Vec<LearnedServer> {
        self.servers.iter().filter_map(|server| server.learned()).collect()
    }

    /// Restores what an earlier process learned under the same settings. A server's figures are
    /// applied once the list names the server, if the server has not restarted since. Connections,
    /// silences, failures, latencies and everything learned about the origin are not restored.
    pub fn restore_learned_servers(&mut self, learned: Vec<LearnedServer>) {
        self.pending_learned = learned.into_iter().map(|server| (server.id.clone(), server)).collect();
        (0..self.servers.len()).for_each(|server| self.restore_learned_server(server));
    }

    pub(super) fn restore_learned_server(&mut self, server: ServerIndex) {
        let server = &mut self.servers[server];
        if let Some(learned) = self.pending_learned.remove(&server.id) {
            server.restore_learned(&learned, &self.settings);
        }
    }

    /// Whether operators have disabled a server.
    pub fn is_disabled(&self, server: ServerIndex) -> bool {
        self.servers.get(server).is_some_and(|server| self.disabled.contains_key(&server.id))
    }

    /// Whether a server, or the origin, is in service according to the endpoint list, and not
    /// disabled by operators.
    pub fn is_available(&self, server: ServerIndex) -> bool {
        let ready = self.servers.get(server).is_some_and(|server| server.status == EndpointStatus::Ready);
        ready && !self.is_disabled(server)
    }

    /// Whether an operator's call may name this server: it is listed, or it is disabled. The origin
    /// is not a server here.
    pub fn is_known_server(&self, id: &str) -> bool {
        let is_listed = |(index, server): (ServerIndex, &crate::server::Server)| {
            server.id == id && Some(index) != self.origin && server.status != EndpointStatus::Gone
        };
        self.disabled.contains_key(id) || self.servers.iter().enumerate().any(is_listed)
    }

    /// Whether no server of any zone may get requests: none is listed as in service, or operators
    /// disabled all of those.
    pub fn has_no_ready_server(&self) -> bool {
        self.ring.server_count() == 0
    }

    /// Whether nothing refers to this server any more, so that its index may be given to another
    /// one.
    pub fn index_is_free(&self, index: ServerIndex) -> bool {
        let server = &self.servers[index];
        let has_attempts =
            || self.requests.values().any(|request| request.attempts.iter().any(|a| a.server == index));
        server.status == EndpointStatus::Gone && !server.ejection.has_pending_checks() && !has_attempts()
    }

    /// The number of requests that are not closed yet, or whose attempts have not all ended.
    pub fn open_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Whether the balancer still knows this request. If not, it causes no more effects.
    pub fn is_known_request(&self, request_id: RequestId) -> bool {
        self.requests.contains_key(&request_id.0)
    }

    /// Sets how many proxies send to the servers, this one included, where that can be counted.
    pub fn set_proxy_count(&mut self, proxies: u64) {
        self.settings.proxies = proxies.max(1);
    }
}
