//! The calls that frontends, sources of the endpoint list and operators make to the engine.

use crate::config::EngineConfig;
use crate::dispatch::call;
use crate::engine::Engine;
use crate::request_table::RenewedLimits;
use crate::response::{ClientRequest, Response};
use crate::servers::{ListChanges, ListUpdate, ListedEndpoint};
use chalkwalk_balancer::RequestId;
use chalkwalk_limits::LimitTable;
use chalkwalk_time::{Span, Timestamp};
use slog::info;
use smol::channel::Receiver;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Accepts a request. Its one final response is sent on the returned channel.
pub fn accept_request(
    engine: &Rc<Engine>,
    request: Rc<dyn ClientRequest>,
) -> (RequestId, Receiver<Response>) {
    call(engine, |requests, now| requests.accept_request(now, request))
}

/// Reports that the client of a request has disconnected or cancelled it. No further attempt is
/// sent for it.
pub fn client_disconnected(engine: &Rc<Engine>, request_id: RequestId) {
    call(engine, |requests, now| requests.client_disconnected(now, request_id));
}

/// Fails all requests that are open now.
pub fn fail_all(engine: &Rc<Engine>) {
    call(engine, |requests, now| requests.fail_all(now));
}

/// Applies an endpoint list that a source has read: the full list, or only the changed endpoints. A
/// list that may be stale, that is, older than the list applied before it, does not put a server
/// that was reported draining or gone back into service, unless the server's process has restarted
/// since.
pub fn apply_endpoint_list(
    engine: &Rc<Engine>,
    endpoints: &[ListedEndpoint],
    is_full_list: bool,
    may_be_stale: bool,
) {
    let update = ListUpdate { endpoints, is_full: is_full_list, may_be_stale };
    let outcome = call(engine, |requests, now| requests.apply_endpoint_list(now, &update));
    for server in outcome.without_connections {
        engine.pool.close_all(server);
    }
    let changes = outcome.changes;
    if changes != ListChanges::default() {
        info!(engine.log, "servers changed";
            "off" => ids_to_log(&changes.became_unavailable),
            "back" => ids_to_log(&changes.became_available));
    }
}

/// Applies what another process of this proxy was told: these servers, by id and the start of their
/// processes, are draining or gone.
pub fn apply_drains(engine: &Rc<Engine>, starts: &BTreeMap<String, Timestamp>) {
    let endpoints = engine.requests.borrow().servers.as_draining(starts);
    if !endpoints.is_empty() {
        apply_endpoint_list(engine, &endpoints, false, false);
    }
}

/// Maximum number of server ids in one field of a log line. One list can change the status of every
/// server of a large fleet.
const MAX_LOGGED_IDS: usize = 8;

fn ids_to_log(ids: &[String]) -> String {
    let more = ids.len().saturating_sub(MAX_LOGGED_IDS);
    let named = ids[..ids.len() - more].join(" ");
    if more > 0 { format!("{named} and {more} more") } else { named }
}

/// Disables a server, or enables it again, by an operator's command that was given at `decided_at`.
/// Idle connections to the server are closed in either case, because the server is restarted while
/// it is disabled.
pub fn set_server_disabled(engine: &Rc<Engine>, id: &str, disabled: bool, decided_at: Timestamp) {
    let server = call(engine, |requests, now| requests.set_server_disabled(now, id, disabled, decided_at));
    if let Some(server) = server {
        engine.pool.close_all(server);
    }
}

/// Reports that a discovery call failed after running for `took`. The balancer then requests
/// another call.
pub fn discovery_call_failed(engine: &Rc<Engine>, took: Span) {
    call(engine, |requests, now| requests.discovery_call_failed(now, took));
}

/// Sets the number of proxies that share the servers, including this one, as counted by a source of
/// the endpoint list.
pub fn set_proxy_count(engine: &Rc<Engine>, proxies: u64) {
    engine.requests.borrow_mut().set_proxy_count(proxies);
}

/// Replaces the operator's limits. The balancer reads the new limits, and the class and time limit
/// of each open request are looked up again, unless its attributes are no longer valid.
pub fn set_limits(engine: &Rc<Engine>, limits: Option<LimitTable>) {
    engine.classes.set_limits(limits);
    let settings = engine.classes.balancer_settings();
    let renewed = |request: &dyn ClientRequest| {
        let limits = engine.classes.find(request.attributes()?);
        Some(RenewedLimits { class: limits.class, time_limit: limits.time_limit })
    };
    call(engine, |requests, now| requests.apply_settings(now, &settings, renewed));
}

/// Replaces the platform's settings, and the operator's limits along with them. Open requests keep
/// the limits under which they were accepted.
pub fn apply_settings(engine: &Rc<Engine>, mut config: EngineConfig) {
    let limits = config.operator_limits.take();
    engine.config.connect_timeout.set(config.connect_timeout.get());
    engine.config.drain_grace.set(config.drain_grace.get());
    engine.classes.apply_settings(config.settings, config.platform_limits, limits);
    let settings = engine.classes.balancer_settings();
    call(engine, |requests, now| requests.apply_settings(now, &settings, |_| None));
}
