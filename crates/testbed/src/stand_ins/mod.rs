//! The stand-ins on sockets: servers, the origin and the list, each at an address of its own for each proxy, so that it is known
//! who sent an attempt. The models decide what is replied; what is here reads, waits and writes.

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

pub use net::Net;

use crate::clock::{Clock, MILLI, Micros, micros};
use crate::evidence::{Evidence, Id};
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

/// The process of a server that runs now.
struct RunningServer {
    /// Which of its timeline's.
    incarnation: usize,
    model: ServerModel,
}

/// A server missed for a request.
struct MissedAt {
    server: usize,
    incarnation: usize,
}

/// A tagged request, and the group of servers that drops its repeats.
#[derive(PartialEq, Eq, Hash)]
struct TagKey {
    tag: Vec<u8>,
    group: u64,
}

/// All that the stand-ins share.
pub struct Site {
    /// What is played.
    pub experiment: Experiment,
    /// What happens to servers, origin, links and list.
    pub timelines: Timelines,
    /// The run's clock.
    pub clock: Clock,
    /// The run's recorder.
    pub evidence: Evidence,
    /// The run's addresses.
    pub net: Net,
    /// The stand-in for etcd.
    pub etcd: etcd::Etcd,
    /// Who holds which hash slots.
    pub cluster: Cluster,
    /// The endpoint list.
    pub server_list: ServerList,
    spec: ServerSpec,
    servers: Vec<Mutex<RunningServer>>,
    /// To each server, the origin last.
    connections: Vec<AtomicUsize>,
    origin: Mutex<OriginModel>,
    /// Which servers missed for a request, until the origin has answered it.
    missed: Mutex<HashMap<Id, Vec<MissedAt>>>,
    /// When the effect of a tagged request came about.
    tags: Mutex<HashMap<TagKey, Micros>>,
    /// From when on the list answers another call.
    list_free_at: Mutex<Micros>,
    /// Calls to the list that each proxy has made.
    list_calls: Vec<AtomicUsize>,
    random: Mutex<ChaCha8Rng>,
}

/// The work of requests differs from its mean by up to this part, evenly: half, as with people's requests to a busy service.
const WORK_SPREAD: f64 = 0.5;

fn server_spec(experiment: &Experiment) -> ServerSpec {
    let world = &experiment.world;
    ServerSpec {
        cores: world.cores,
        queue: world.queue,
        values: world.values,
        slow_start_share: world.slow_start_share,
        slow_start: micros(world.slow_start_s),
        collapse_multiple: world.collapse_multiple,
        collapse_window: micros(world.collapse_window_s),
        // Servers that speak RESP hold every key that is requested.
        through: world.cache_mode() == CacheMode::Through || experiment.fleet.protocol() == Protocol::Resp,
    }
}

/// A server that has run since long ago, with its share of the keys cached.
fn warm_server(experiment: &Experiment, spec: &ServerSpec) -> RunningServer {
    let world = &experiment.world;
    let mut model = ServerModel::new(spec.clone(), 0);
    let cached = ((experiment.load.keys as f64 * world.cached_share) as u64).min(world.values as u64);
    for key in (0..cached).rev() {
        model.store(key);
    }
    RunningServer { incarnation: 0, model }
}

impl Site {
    /// The stand-ins of an experiment, not yet on sockets.
    pub fn new(experiment: Experiment, clock: Clock, net: Net) -> Arc<Site> {
        let world = &experiment.world;
        let timelines = Timelines::new(&experiment);
        let spec = server_spec(&experiment);
        let origin = OriginModel::new(world.origin_slots, world.origin_queue, world.origin_contention);
        Arc::new(Site {
            server_list: ServerList::new(world.servers, timelines.updates.clone()),
            servers: (0..world.servers).map(|_| Mutex::new(warm_server(&experiment, &spec))).collect(),
            connections: (0..=world.servers).map(|_| AtomicUsize::new(0)).collect(),
            origin: Mutex::new(origin),
            missed: Mutex::default(),
            tags: Mutex::default(),
            list_free_at: Mutex::default(),
            list_calls: (0..experiment.fleet.proxies).map(|_| AtomicUsize::new(0)).collect(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(experiment.seed)),
            evidence: Evidence::new(clock.clone()),
            cluster: Cluster::new(&experiment),
            etcd: etcd::Etcd::new(EtcdTimeline::new(&experiment)),
            spec,
            timelines,
            clock,
            net,
            experiment,
        })
    }

    /// The number of the origin: the one after the last server.
    pub fn origin(&self) -> usize {
        self.experiment.world.servers
    }

    fn zones(&self) -> usize {
        self.experiment.world.zones.len()
    }

    fn draw_luck(&self) -> f64 {
        lock(&self.random).random()
    }

    /// The work of a request, spread evenly about its class's mean.
    fn draw_work(&self, mean_ms: f64) -> Micros {
        (mean_ms * MILLI as f64 * (1.0 - WORK_SPREAD + 2.0 * WORK_SPREAD * self.draw_luck())) as Micros
    }
}

/// One of the connections that a peer holds, counted until it is dropped.
struct ConnectionCount<'a> {
    counter: &'a AtomicUsize,
    /// So many there were before it.
    before: usize,
}

impl ConnectionCount<'_> {
    fn new(counter: &AtomicUsize) -> ConnectionCount<'_> {
        ConnectionCount { counter, before: counter.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for ConnectionCount<'_> {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::Relaxed);
    }
}
