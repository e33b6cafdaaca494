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
use std::rc::Rc;

/// Accepts a request; its one final response comes by the channel.
pub fn accept_request(
    engine: &Rc<Engine>,
    request: Rc<dyn ClientRequest>,
) -> (RequestId, Receiver<Response>) {
    call(engine, |requests, now| requests.accept_request(now, request))
}

/// The client of a request has gone, or given it up: nothing more is sent for it.
pub fn client_left(engine: &Rc<Engine>, request_id: RequestId) {
    call(engine, |requests, now| requests.client_left(now, request_id));
}

/// Fails all requests that are open now.
pub fn fail_all(engine: &Rc<Engine>) {
    call(engine, |requests, now| requests.fail_all(now));
}

/// A source of the endpoint list has read it: the whole list, or what changed. A `doubted` one,
/// which may be older than what was known before, brings no server back that was notified to be off
/// and has not started since.
pub fn apply_endpoint_list(
    engine: &Rc<Engine>,
    endpoints: &[ListedEndpoint],
    whole_list: bool,
    doubted: bool,
) {
    let update = ListUpdate { endpoints, whole: whole_list, doubted };
    let outcome = call(engine, |requests, now| requests.apply_endpoint_list(now, &update));
    for server in outcome.off {
        engine.pool.close_all(server);
    }
    let changes = outcome.changes;
    if changes != ListChanges::default() {
        info!(engine.log, "servers changed"; "off" => ids_to_log(&changes.off), "back" => ids_to_log(&changes.back));
    }
}

/// So many ids are named in a line of the log; of the first list of a large fleet all are new.
const MAX_LOGGED_IDS: usize = 8;

fn ids_to_log(ids: &[String]) -> String {
    let more = ids.len().saturating_sub(MAX_LOGGED_IDS);
    let named = ids[..ids.len() - more].join(" ");
    if more > 0 { format!("{named} and {more} more") } else { named }
}

/// Operators disable a server at that moment, or enable it again. Idle connections to it are
/// closed: it restarts meanwhile.
pub fn set_server_disabled(engine: &Rc<Engine>, id: &str, disabled: bool, at: Timestamp) {
    let server = call(engine, |requests, now| requests.set_server_disabled(now, id, disabled, at));
    if let Some(server) = server {
        engine.pool.close_all(server);
    }
}

/// A call to discovery failed after so long; the balancer will want another.
pub fn discovery_call_failed(engine: &Rc<Engine>, took: Span) {
    call(engine, |requests, now| requests.discovery_call_failed(now, took));
}

/// So many proxies share the servers, this one included, as a source of the endpoint list counts
/// them.
pub fn set_proxy_count(engine: &Rc<Engine>, proxies: u64) {
    engine.requests.borrow_mut().set_proxy_count(proxies);
}

/// Other limits of the operator apply from now on: the balancer reads them, and each open request
/// has its class and its time limit anew, where it can still be found by its attributes.
pub fn set_limits(engine: &Rc<Engine>, limits: Option<LimitTable>) {
    engine.classes.set_limits(limits);
    let settings = engine.classes.balancer_settings();
    let renewed = |request: &dyn ClientRequest| {
        let limits = engine.classes.find(request.attributes()?);
        Some(RenewedLimits { class: limits.class, time_limit: limits.time_limit })
    };
    call(engine, |requests, now| requests.apply_settings(now, &settings, renewed));
}

/// Other settings of the platform apply from now on, with an operator's limits on them. Open
/// requests keep the limits that they were accepted with.
pub fn apply_settings(engine: &Rc<Engine>, mut config: EngineConfig) {
    let limits = config.limits.take();
    engine.config.connect_timeout.set(config.connect_timeout.get());
    engine.config.drain_grace.set(config.drain_grace.get());
    engine.classes.apply_settings(config.settings, config.platform_limits, limits);
    let settings = engine.classes.balancer_settings();
    call(engine, |requests, now| requests.apply_settings(now, &settings, |_| None));
}
