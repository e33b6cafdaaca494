//! The simulated services on sockets: servers, the origin and the list. Each has an address of its
//! own for each proxy, which identifies the proxy that sent an attempt. The models decide the
//! replies; the code in this module reads, waits and writes.

pub mod body;
mod decide;
pub mod etcd;
pub mod file;
pub mod list;
mod list_entries;
mod listener;
mod net;
mod peer;
pub mod resp;
pub mod server;

pub use net::LoopbackAddresses;

use crate::clock::{Clock, MILLISECOND, Micros, micros_from_seconds};
use crate::evidence::{EventRecorder, RequestId};
use crate::experiment::{CacheMode, Experiment, Protocol};
use crate::model::cluster::Cluster;
use crate::model::etcd::EtcdTimeline;
use crate::model::server::{OriginModel, ServerModel, ServerSpec};
use crate::model::server_list::ServerList;
use crate::model::timeline::Timelines;
use crate::sync::lock;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The current process of a server.
struct RunningServer {
    /// The process's index in the server's timeline.
    incarnation: usize,
    model: ServerModel,
}

/// A server process that answered a request with a miss.
struct MissedServer {
    server: usize,
    incarnation: usize,
}

/// A tagged request, and the deduplication group of servers that drops its repeats.
#[derive(PartialEq, Eq, Hash)]
struct TagKey {
    tag: Vec<u8>,
    group: u64,
}

/// The simulated services of a run, with the state that they share.
pub struct SimulatedServices {
    /// The experiment that is run.
    pub experiment: Experiment,
    /// The states and faults of the servers, the origin, the links and the list.
    pub timelines: Timelines,
    /// The run's clock.
    pub clock: Clock,
    /// The recorder of the run's events.
    pub recorder: EventRecorder,
    /// The addresses of the run.
    pub addresses: LoopbackAddresses,
    /// The simulated etcd cluster.
    pub etcd: etcd::Etcd,
    /// The owners of the hash slots.
    pub cluster: Cluster,
    /// The endpoint list.
    pub server_list: ServerList,
    spec: ServerSpec,
    servers: Vec<Mutex<RunningServer>>,
    /// Number of open connections, by server; the origin is last.
    connections: Vec<AtomicUsize>,
    origin: Mutex<OriginModel>,
    /// The servers that missed for a request, until the origin has answered it.
    missed_servers: Mutex<HashMap<RequestId, Vec<MissedServer>>>,
    /// When the effect of a tagged request was applied.
    tagged_effects: Mutex<HashMap<TagKey, Micros>>,
    /// The time from which the list can answer another call.
    list_free_at: Mutex<Micros>,
    /// Number of calls that each proxy has made to the list.
    list_calls: Vec<AtomicUsize>,
    random: Mutex<ChaCha8Rng>,
}

/// Maximum deviation of a request's work from its class's mean, as a share of the mean; deviations
/// are distributed uniformly. A half is typical of people's requests to a busy service.
const WORK_SPREAD: f64 = 0.5;

fn server_spec(experiment: &Experiment) -> ServerSpec {
    let world = &experiment.world;
    ServerSpec {
        cores: world.cores,
        max_queued: world.max_queued,
        max_values: world.max_cached_values,
        slow_start_share: world.slow_start_share,
        slow_start: micros_from_seconds(world.slow_start_s),
        collapse_multiple: world.collapse_multiple,
        collapse_window: micros_from_seconds(world.collapse_window_s),
        // Servers that speak RESP have the value of every key that is requested.
        read_through: world.cache_mode() == CacheMode::Through
            || experiment.fleet.protocol() == Protocol::Resp,
    }
}

/// The process of a server that started before the run, with its share of the keys cached.
fn warm_server(experiment: &Experiment, spec: &ServerSpec) -> RunningServer {
    let world = &experiment.world;
    let mut model = ServerModel::new(spec.clone(), 0);
    let cached =
        ((experiment.load.keys as f64 * world.cached_share) as u64).min(world.max_cached_values as u64);
    for key in (0..cached).rev() {
        model.store(key);
    }
    RunningServer { incarnation: 0, model }
}

impl SimulatedServices {
    /// The simulated services of an experiment, before their addresses are bound.
    pub fn new(experiment: Experiment, clock: Clock, addresses: LoopbackAddresses) -> Arc<SimulatedServices> {
        let world = &experiment.world;
        let timelines = Timelines::new(&experiment);
        let spec = server_spec(&experiment);
        let origin = OriginModel::new(world.origin_slots, world.origin_queue, world.origin_contention);
        Arc::new(SimulatedServices {
            server_list: ServerList::new(world.servers, timelines.list_updates.clone()),
            servers: (0..world.servers).map(|_| Mutex::new(warm_server(&experiment, &spec))).collect(),
            connections: (0..=world.servers).map(|_| AtomicUsize::new(0)).collect(),
            origin: Mutex::new(origin),
            missed_servers: Mutex::default(),
            tagged_effects: Mutex::default(),
            list_free_at: Mutex::default(),
            list_calls: (0..experiment.fleet.proxies).map(|_| AtomicUsize::new(0)).collect(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(experiment.seed)),
            recorder: EventRecorder::new(clock.clone()),
            cluster: Cluster::new(&experiment),
            etcd: etcd::Etcd::new(EtcdTimeline::new(&experiment)),
            spec,
            timelines,
            clock,
            addresses,
            experiment,
        })
    }

    /// The index of the origin: the one after the last server's.
    pub fn origin_index(&self) -> usize {
        self.experiment.world.servers
    }

    fn zones(&self) -> usize {
        self.experiment.world.zones.len()
    }

    fn draw_sample(&self) -> f64 {
        lock(&self.random).random()
    }

    /// Draws the work of a request, distributed uniformly around the mean.
    fn draw_work(&self, mean_ms: f64) -> Micros {
        (mean_ms * MILLISECOND as f64 * (1.0 - WORK_SPREAD + 2.0 * WORK_SPREAD * self.draw_sample()))
            as Micros
    }
}

/// A connection of a peer; it is counted as open until this is dropped.
struct ConnectionCount<'a> {
    counter: &'a AtomicUsize,
    /// Number of open connections before this one.
    open_before: usize,
}

impl ConnectionCount<'_> {
    fn new(counter: &AtomicUsize) -> ConnectionCount<'_> {
        ConnectionCount { counter, open_before: counter.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for ConnectionCount<'_> {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::Relaxed);
    }
}
