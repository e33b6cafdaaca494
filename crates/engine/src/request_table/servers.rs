//! The part of the request table that concerns servers: endpoint lists, health checks, operators,
//! and what was learned of them.

use super::RequestTable;
use crate::servers::{ListChanges, ListUpdate};
use chalkwalk_balancer::{LearnedServer, ServerIndex};
use chalkwalk_capture::Event;
use chalkwalk_time::{Span, Timestamp};

/// What an endpoint list has left behind.
pub(crate) struct ListOutcome {
    /// All servers that are off now.
    pub off: Vec<ServerIndex>,
    /// What the list has changed.
    pub changes: ListChanges,
}

impl RequestTable {
    /// Takes up what an endpoint list says.
    pub(crate) fn apply_endpoint_list(&mut self, now: Timestamp, update: &ListUpdate<'_>) -> ListOutcome {
        let was_off: Vec<ServerIndex> = self.servers.off().collect();
        self.sink.now = now;
        self.balancer.advance_clock(now);
        let endpoints = self.servers.apply(now, update);
        if let Some(recorder) = &mut self.sink.recorder {
            recorder.endpoints_listed(now, update.whole, &endpoints);
        }
        if update.whole {
            self.balancer.replace_endpoints(&endpoints, &mut self.sink);
        } else {
            self.balancer.update_endpoints(&endpoints, &mut self.sink);
        }
        let changes = self.servers.changes_since(&was_off);
        self.servers.forget_unused(&self.balancer);
        ListOutcome { off: self.servers.off().collect(), changes }
    }

    /// A call to discovery failed; the balancer will want another.
    pub(crate) fn discovery_call_failed(&mut self, now: Timestamp, took: Span) {
        let (balancer, sink) = self.at(now);
        sink.record_event(|| Event::DiscoveryCallFailed { took });
        balancer.discovery_call_failed(took, sink);
    }

    /// A health check has finished; `answered`: whether the server passed it.
    pub(crate) fn health_check_finished(&mut self, now: Timestamp, server: ServerIndex, answered: bool) {
        let (balancer, sink) = self.at(now);
        sink.record_event(|| Event::HealthCheckFinished { server, answered });
        balancer.health_check_finished(server, answered, sink);
    }

    /// Operators disable a server at that moment, or enable it again. Returns its index, if it has
    /// one.
    pub(crate) fn set_server_disabled(
        &mut self,
        now: Timestamp,
        id: &str,
        disabled: bool,
        at: Timestamp,
    ) -> Option<ServerIndex> {
        let (balancer, sink) = self.at(now);
        sink.record_event(|| Event::ServerDisabled { id: id.into(), out: disabled, at });
        balancer.set_disabled(id, disabled, at);
        self.servers.index_of(id)
    }

    /// So many proxies share the servers.
    pub(crate) fn set_proxy_count(&mut self, proxies: u64) {
        self.sink.record_event(|| Event::ProxyCount(proxies));
        self.balancer.set_proxy_count(proxies);
    }

    /// Whether anything may be sent to a server: it is in service, and not disabled by operators.
    pub fn may_send_to(&self, server: ServerIndex) -> bool {
        self.balancer.is_available(server)
    }

    /// Whether no server is ready, as far as notified.
    pub fn no_server_ready(&self) -> bool {
        self.balancer.no_server_ready()
    }

    /// Whether there is a server by this id for operators to name.
    pub fn knows_server(&self, id: &str) -> bool {
        self.balancer.knows_server(id)
    }

    /// What was learned of the servers, for the process that comes after this one.
    pub fn learned(&self) -> Vec<LearnedServer> {
        self.balancer.learned()
    }

    /// Restores what a process before this one has learned; whether it did. It does not while a
    /// capture runs, as a replay would not know of it.
    pub fn restore_learned(&mut self, learned: Vec<LearnedServer>) -> bool {
        if self.sink.recorder.is_some() {
            return false;
        }
        self.balancer.restore_learned(learned);
        true
    }

    /// The terms on which this balancer learns: what was learned under others means something else.
    pub fn learning_terms(&self) -> u64 {
        self.balancer.learning_terms()
    }
}
