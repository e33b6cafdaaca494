//! Polls the servers for the slot map, in rotation and with one call at a time.

mod fetch;

use crate::frontend::Frontend;
use chalkwalk_balancer::EndpointStatus;
use chalkwalk_engine::api;
use chalkwalk_engine::servers::ListedEndpoint;
use chalkwalk_slot_map::ClusterView;
use chalkwalk_sockets::with_timeout;
use fetch::{FetchError, fetch_view};
use slog::{info, warn};
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time for one poll. If a server takes longer, the next server is polled.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// The weight of every server, in hundredths. The cluster reports no weights, so all servers get
/// the same one.
const DEFAULT_WEIGHT_HUNDREDTHS: u64 = 100;

/// Applies the seeds as the endpoint list until the cluster has reported its nodes. Does nothing if
/// another source lists the servers.
pub fn apply_seed_endpoints(frontend: &Rc<Frontend>) {
    if frontend.discovers_servers {
        apply_endpoints(frontend, frontend.settings.seeds.iter().copied());
    }
}

/// Keeps the slot map up to date. Never returns.
pub async fn poll_slot_map(frontend: Rc<Frontend>) {
    let mut loaded = false;
    loop {
        wait_until_due(&frontend).await;
        let engine = &frontend.engine;
        let now = engine.clock.now();
        let nodes = nodes_to_poll(&frontend);
        let node_index = frontend.refresh_schedule.borrow_mut().start(now, nodes.len());
        let Some(node) = nodes.get(node_index).copied() else {
            frontend.refresh_schedule.borrow_mut().finish(now, false);
            continue;
        };
        let poll_result = poll_node(&frontend, node).await;
        frontend.refresh_schedule.borrow_mut().finish(engine.clock.now(), poll_result.is_ok());
        match poll_result {
            Ok(()) if loaded => {}
            Ok(()) => {
                loaded = true;
                let ranges = frontend.slot_map.borrow().assignments().len();
                info!(engine.log, "slot map loaded"; "parts" => ranges);
            }
            Err(error) => {
                warn!(engine.log, "slot map poll failed"; "node" => %node, "fault" => %error);
            }
        }
    }
}

/// Waits until the next poll is due. A request for a poll may bring it forward.
async fn wait_until_due(frontend: &Frontend) {
    let clock = &frontend.engine.clock;
    loop {
        let now = clock.now();
        let due = frontend.refresh_schedule.borrow().next_due().unwrap_or(now);
        if due <= now {
            return;
        }
        let timer = Timer::at(clock.instant(due));
        smol::future::or(async { _ = timer.await }, frontend.refresh_requested()).await;
    }
}

/// The nodes that are polled in rotation: the owners of slots, and the seeds.
fn nodes_to_poll(frontend: &Frontend) -> Vec<SocketAddr> {
    let slot_map = frontend.slot_map.borrow();
    let mut nodes: Vec<SocketAddr> =
        slot_map.assignments().iter().map(|assignment| assignment.owner).collect();
    nodes.extend(&frontend.settings.seeds);
    nodes.sort();
    nodes.dedup();
    nodes
}

/// Polls a node and applies its view of the cluster.
async fn poll_node(frontend: &Rc<Frontend>, node: SocketAddr) -> Result<(), FetchError> {
    let view = with_timeout(POLL_TIMEOUT, fetch_view(node)).await.unwrap_or(Err(FetchError::TimedOut))?;
    frontend.slot_map.borrow_mut().apply_view(&view)?;
    if frontend.discovers_servers {
        let now = frontend.engine.clock.now();
        frontend.known_nodes.borrow_mut().update(&view, now);
        apply_endpoints(frontend, live_nodes(&view));
    }
    Ok(())
}

fn live_nodes(view: &ClusterView) -> impl Iterator<Item = SocketAddr> {
    view.nodes.iter().filter(|node| !node.failed).map(|node| node.addr)
}

fn apply_endpoints(frontend: &Rc<Frontend>, addrs: impl Iterator<Item = SocketAddr>) {
    let endpoints: Vec<ListedEndpoint> = addrs.map(|addr| listed_endpoint(frontend, addr)).collect();
    api::apply_endpoint_list(&frontend.engine, &endpoints, true, false);
}

fn listed_endpoint(frontend: &Frontend, address: SocketAddr) -> ListedEndpoint {
    // The cluster does not report zones, so all servers are listed in the zone of this proxy.
    let engine = &frontend.engine;
    let zone = engine.config.zones.get(engine.classes.zone()).cloned().unwrap_or_default();
    ListedEndpoint {
        id: address.to_string(),
        address,
        zone,
        kind: String::new(),
        cell: 0,
        weight_hundredths: DEFAULT_WEIGHT_HUNDREDTHS,
        status: EndpointStatus::Ready,
        started_at: frontend.known_nodes.borrow().started_at(address),
    }
}
