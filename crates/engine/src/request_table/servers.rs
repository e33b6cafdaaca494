//! The part of the request table that concerns servers: endpoint lists, health checks, operators'
//! commands, and learned state.

use super::RequestTable;
use crate::servers::{ListChanges, ListUpdate};
use chalkwalk_balancer::{LearnedServer, ServerIndex};
use chalkwalk_capture::Event;
use chalkwalk_time::{Span, Timestamp};

/// The result of applying an endpoint list.
pub(crate) struct ListOutcome {
    /// All servers that are draining or gone after the update, and those whose process was replaced.
    pub without_connections: Vec<ServerIndex>,
    /// The changes that the list has made.
    pub changes: ListChanges,
}

impl RequestTable {
    /// Applies an endpoint list.
    pub(crate) fn apply_endpoint_list(&mut self, now: Timestamp, update: &ListUpdate<'_>) -> ListOutcome {
        let was_unavailable: Vec<ServerIndex> = self.servers.unavailable().collect();
        let processes_before = self.servers.processes();
        self.sink.now = now;
        self.balancer.advance_clock(now);
        let endpoints = self.servers.apply(now, update);
        if let Some(recorder) = &mut self.sink.recorder {
            recorder.record_endpoints_listed(now, update.is_full, &endpoints);
        }
        if update.is_full {
            self.balancer.replace_endpoints(&endpoints, &mut self.sink);
        } else {
            self.balancer.update_endpoints(&endpoints, &mut self.sink);
        }
        let changes = self.servers.changes_since(&was_unavailable);
        self.servers.forget_unused(&self.balancer);
        let processes = self.servers.processes();
        let is_replaced = |server: &ServerIndex| processes_before[*server] != processes[*server];
        let replaced = (0..processes_before.len()).filter(is_replaced);
        ListOutcome { without_connections: self.servers.unavailable().chain(replaced).collect(), changes }
    }

    /// Reports a discovery call that failed. The balancer then requests another call.
    pub(crate) fn discovery_call_failed(&mut self, now: Timestamp, took: Span) {
        let (balancer, sink) = self.advance_to(now);
        sink.record_event(|| Event::DiscoveryCallFailed { took });
        balancer.discovery_call_failed(took, sink);
    }

    /// Reports that a health check has finished. `answered` is whether the server passed it.
    pub(crate) fn health_check_finished(&mut self, now: Timestamp, server: ServerIndex, answered: bool) {
        let (balancer, sink) = self.advance_to(now);
        sink.record_event(|| Event::HealthCheckFinished { server, answered });
        balancer.health_check_finished(server, answered, sink);
    }

    /// Disables a server, or enables it again, by an operator's command. `at` is when the command
    /// was given. Returns the index of the server, if it has one.
    pub(crate) fn set_server_disabled(
        &mut self,
        now: Timestamp,
        id: &str,
        disabled: bool,
        at: Timestamp,
    ) -> Option<ServerIndex> {
        let (balancer, sink) = self.advance_to(now);
        sink.record_event(|| Event::ServerDisabled { id: id.into(), out: disabled, at });
        balancer.set_disabled(id, disabled, at);
        self.servers.index_of(id)
    }

    /// Sets the number of proxies that share the servers.
    pub(crate) fn set_proxy_count(&mut self, proxies: u64) {
        self.sink.record_event(|| Event::ProxyCount(proxies));
        self.balancer.set_proxy_count(proxies);
    }

    /// Whether attempts may be sent to a server: it is in service, and operators have not disabled
    /// it.
    pub fn may_send_to(&self, server: ServerIndex) -> bool {
        self.balancer.is_available(server)
    }

    /// Whether no server is ready according to the endpoint lists so far.
    pub fn has_no_ready_server(&self) -> bool {
        self.balancer.has_no_ready_server()
    }

    /// Whether a server with this id is known, so that an operator's command can name it.
    pub fn is_known_server(&self, id: &str) -> bool {
        self.balancer.is_known_server(id)
    }

    /// What the balancer has learned about the servers, to be passed to the next process.
    pub fn learned_servers(&self) -> Vec<LearnedServer> {
        self.balancer.learned_servers()
    }

    /// Restores the state that a previous process has learned. Returns whether it was restored. It
    /// is not restored while a capture runs, because a replay of the capture would not have this
    /// state.
    pub fn restore_learned_servers(&mut self, learned: Vec<LearnedServer>) -> bool {
        if self.sink.recorder.is_some() {
            return false;
        }
        self.balancer.restore_learned_servers(learned);
        true
    }

    /// A digest of the settings under which the balancer learns. Values learned under other
    /// settings have a different meaning.
    pub fn learned_settings_digest(&self) -> u64 {
        self.balancer.learned_settings_digest()
    }
}
