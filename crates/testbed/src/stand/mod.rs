//! The stand-ins on sockets: servers, the origin and the list, each at an address of its own for each proxy, so that who
//! sent an attempt is known without asking. The models decide what is said; what is here reads, waits and writes.

pub mod etcd;
pub mod file;
pub mod list;
pub mod resp;
pub mod server;

use crate::clock::{Clock, MILLI, Micros, micros};
use crate::evidence::{EventKind, Evidence, Id};
use crate::experiment::{Experiment, Outage, PROTOCOL_RESP, SOURCE_ETCD};
use crate::model::cluster::Cluster;
use crate::model::etcd::{ENDPOINTS, EtcdTimeline};
use crate::model::server::{OriginModel, ServerModel, ServerSpec};
use crate::model::server_list::ServerList;
use crate::model::timeline::{Reachability, Timelines};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use smol::{Async, Executor};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};

/// Every address of a run: 127.`block`.proxy.peer, all on one port.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    block: u8,
}

const PORT: u16 = 3000;
/// Addresses of one proxy's view: itself, its list, the origin, and servers from 10 on.
const PROXY: u8 = 1;
const LIST: u8 = 2;
const ORIGIN: u8 = 3;
/// Where the list stands once it has moved.
const MOVED_LIST: u8 = 4;
const ETCD: u8 = 5;
/// Where a proxy listens for RESP.
const RESP_LISTENER: u8 = 8;
const SERVERS: u8 = 10;

impl Net {
    /// A block of addresses that no other run on this machine has now: who holds its first address has it.
    pub fn claim() -> io::Result<(Net, TcpListener)> {
        let start = std::process::id() as u8;
        for i in 0..=u8::MAX {
            // From 127.16 on: what lies below is used by hand.
            let net = Net { block: 16 + start.wrapping_add(i) % 224 };
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, net.block, 255, 1), PORT)) {
                return Ok((net, claim));
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no block of loopback addresses is free"))
    }

    fn addr(&self, proxy: usize, last: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.block, 1 + proxy as u8, last)), PORT)
    }

    pub fn proxy(&self, proxy: usize) -> SocketAddr {
        self.addr(proxy, PROXY)
    }

    pub fn list(&self, proxy: usize, moved: bool) -> SocketAddr {
        self.addr(proxy, if moved { MOVED_LIST } else { LIST })
    }

    pub fn resp(&self, proxy: usize) -> SocketAddr {
        self.addr(proxy, RESP_LISTENER)
    }

    /// One of etcd's endpoints.
    pub fn etcd(&self, proxy: usize, endpoint: usize) -> SocketAddr {
        self.addr(proxy, ETCD + endpoint as u8)
    }

    /// The origin is the server after the last.
    pub fn server(&self, proxy: usize, server: usize, servers: usize) -> SocketAddr {
        self.addr(proxy, if server == servers { ORIGIN } else { SERVERS + server as u8 })
    }
}

/// All that the stand-ins share.
pub struct Site {
    pub experiment: Experiment,
    pub timelines: Timelines,
    pub clock: Clock,
    pub evidence: Evidence,
    pub net: Net,
    pub etcd: etcd::Etcd,
    pub cluster: Cluster,
    pub server_list: ServerList,
    spec: ServerSpec,
    servers: Vec<Mutex<(usize, ServerModel)>>, // the life, and the process that lives it
    connections: Vec<AtomicUsize>,             // to each server, the origin last
    origin: Mutex<OriginModel>,
    /// Which servers missed for a request, until the origin has answered it.
    missed: Mutex<HashMap<Id, Vec<(usize, usize)>>>,
    /// When the effect of a tagged request came about, by its tag and the group that drops repeats.
    tags: Mutex<HashMap<(Vec<u8>, u64), Micros>>,
    list_free_at: Mutex<Micros>,  // from when on the list takes another call
    list_calls: Vec<AtomicUsize>, // that each proxy has made
    chance: Mutex<ChaCha8Rng>,
}

/// The lock, also where a thread broke while it held it: the run is over then, and what is there is still read.
fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|broken| broken.into_inner())
}

impl Site {
    pub fn new(experiment: Experiment, clock: Clock, net: Net) -> Arc<Site> {
        let world = &experiment.world;
        let timelines = Timelines::new(&experiment);
        let spec = ServerSpec {
            cores: world.cores,
            queue: world.queue,
            values: world.values,
            slow_start_share: world.slow_start_share,
            slow_start: micros(world.slow_start_s),
            collapse_multiple: world.collapse_multiple,
            collapse_window: micros(world.collapse_window_s),
            // Servers that speak RESP hold what they are asked for.
            through: world.mode == "through" || experiment.fleet.protocol == PROTOCOL_RESP,
        };
        let warm = |_| {
            let mut model = ServerModel::new(spec.clone(), 0);
            let kept = ((experiment.load.keys as f64 * world.cached_share) as u64).min(world.values as u64);
            (0..kept).rev().for_each(|key| model.store(key));
            Mutex::new((0, model))
        };
        Arc::new(Site {
            server_list: ServerList::new(world.servers, timelines.updates.clone()),
            servers: (0..world.servers).map(warm).collect(),
            connections: (0..=world.servers).map(|_| AtomicUsize::new(0)).collect(),
            origin: Mutex::new(OriginModel::new(
                world.origin_slots,
                world.origin_queue,
                world.origin_contention,
            )),
            missed: Mutex::default(),
            tags: Mutex::default(),
            list_free_at: Mutex::default(),
            list_calls: (0..experiment.fleet.proxies).map(|_| AtomicUsize::new(0)).collect(),
            chance: Mutex::new(ChaCha8Rng::seed_from_u64(experiment.seed)),
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

    pub fn origin(&self) -> usize {
        self.experiment.world.servers
    }

    fn zones(&self) -> usize {
        self.experiment.world.zones.len()
    }

    /// How a server, or the origin or the list for what lies above them, stands to a proxy, and until when.
    fn reachability(&self, peer: usize, proxy: usize) -> (Reachability, Micros) {
        let (zone, now) = (proxy % self.zones(), self.clock.now());
        if let Some(endpoint) = self.endpoint(peer) {
            let turn = self.etcd.timeline.next_transition(now);
            if self.etcd.timeline.is_down(now) {
                return (Reachability::Refused, turn);
            }
            let (reachability, until) = self.timelines.zone_reachability(endpoint % self.zones(), zone, now);
            return (reachability, until.min(turn));
        }
        if peer < self.origin() {
            return self.timelines.reachability(peer, (peer % self.zones(), zone), now);
        }
        let (reachability, until) = self.timelines.origin_reachability(zone, now);
        if peer == self.origin() {
            return (reachability, until);
        }
        // The list has outages of its own in which nothing listens.
        let refuses = |(_, how): &&(Range<Micros>, Outage)| *how == Outage::Refuses;
        let spans = self.timelines.list_down.iter().filter(refuses).map(|(span, _)| span);
        let turn = spans.clone().flat_map(|span| [span.start, span.end]).filter(|at| *at > now).min();
        let down = spans.clone().any(|span| span.contains(&now));
        (if down { Reachability::Refused } else { reachability }, until.min(turn.unwrap_or(Micros::MAX)))
    }

    /// Peers beyond the origin and the list's two addresses are endpoints of etcd.
    fn endpoint(&self, peer: usize) -> Option<usize> {
        peer.checked_sub(self.origin() + 3)
    }

    fn draw_luck(&self) -> f64 {
        lock(&self.chance).random()
    }

    /// Binds every address that proxies are told, and serves on them.
    pub fn open(self: &Arc<Site>, ex: &Arc<Executor<'static>>) -> io::Result<()> {
        for proxy in 0..self.experiment.fleet.proxies {
            let from_etcd = self.experiment.fleet.source == SOURCE_ETCD;
            for peer in 0..=self.origin() + 2 + if from_etcd { ENDPOINTS } else { 0 } {
                let addr = match (self.endpoint(peer), peer.checked_sub(self.origin() + 1)) {
                    (Some(endpoint), _) => self.net.etcd(proxy, endpoint),
                    (None, Some(moved)) => self.net.list(proxy, moved == 1),
                    (None, None) => self.net.server(proxy, peer, self.origin()),
                };
                let listener = listen(addr)?;
                ex.spawn(run_listener(self.clone(), Arc::downgrade(ex), (peer, proxy), addr, listener))
                    .detach();
            }
        }
        Ok(())
    }
}

fn listen(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(addr)?;
    // All proxies connect at once after a restart.
    socket2::SockRef::from(&listener).listen(1024)?;
    Async::new(listener)
}

/// Comes to an end when a stretch does.
async fn sleep_until_or_forever(clock: &Clock, until: Micros) {
    match until {
        Micros::MAX => std::future::pending().await,
        until => clock.sleep_until(until).await,
    }
}

/// Accepts while the peer is up; refuses while its process is gone; and lets nothing come up while it is silent.
async fn run_listener(
    site: Arc<Site>,
    // Weak, or the executor would hold itself by its own tasks.
    ex: Weak<Executor<'static>>,
    (peer, proxy): (usize, usize),
    addr: SocketAddr,
    listener: Async<TcpListener>,
) {
    let mut open = Some(listener);
    loop {
        let (reachability, until) = site.reachability(peer, proxy);
        if reachability == Reachability::Refused {
            open = None;
            sleep_until_or_forever(&site.clock, until).await;
            continue;
        }
        let listener = match open.take().map_or_else(|| listen(addr), Ok) {
            Ok(listener) => listener,
            // The address is still being let go of.
            Err(_) => {
                smol::Timer::after(std::time::Duration::from_millis(5)).await;
                continue;
            }
        };
        if reachability == Reachability::Silent {
            let filling = fill_backlog(&listener, addr);
            sleep_until_or_forever(&site.clock, until).await;
            drop(filling);
            // What came meanwhile is reset: the machine knows nothing of it.
            while let Ok((stream, _)) = listener.get_ref().accept() {
                _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
            }
            _ = socket2::SockRef::from(listener.get_ref()).listen(1024);
            open = Some(listener);
            continue;
        }
        let accepting = async {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let Some(running) = ex.upgrade() else { return };
                        match site.endpoint(peer) {
                            Some(endpoint) => {
                                let serving =
                                    etcd::serve(site.clone(), ex.clone(), (proxy, endpoint), stream);
                                running
                                    .spawn(serve_etcd(site.clone(), (peer, proxy), serving, until))
                                    .detach();
                            }
                            None => running.spawn(serve(site.clone(), (peer, proxy), stream, until)).detach(),
                        }
                    }
                    Err(_) => _ = smol::Timer::after(std::time::Duration::from_millis(5)).await,
                }
            }
        };
        smol::future::or(accepting, sleep_until_or_forever(&site.clock, until)).await;
        open = Some(listener);
    }
}

/// A listen queue of no length, filled: from then on the kernel drops what would open a connection, as a machine that is
/// gone does. (Linux lets one connection into a queue of no length.)
fn fill_backlog(listener: &Async<TcpListener>, addr: SocketAddr) -> Vec<socket2::Socket> {
    _ = socket2::SockRef::from(listener.get_ref()).listen(0);
    let connect = |_| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        _ = socket.connect(&addr.into());
        Some(socket)
    };
    (0..2).filter_map(connect).collect()
}

/// One connection, until it ends or the stretch does in which the peer is up.
async fn serve(site: Arc<Site>, (peer, proxy): (usize, usize), stream: Async<TcpStream>, until: Micros) {
    let mut conn = crate::wire::Connection::new(stream);
    let served = async {
        if peer > site.origin() {
            list::calls(&site, proxy, &mut conn).await;
        } else if site.experiment.fleet.protocol == PROTOCOL_RESP {
            resp::serve_attempts(&site, peer, proxy, &mut conn).await;
        } else {
            server::serve_attempts(&site, peer, proxy, &mut conn).await;
        }
        false
    };
    let gone = async {
        sleep_until_or_forever(&site.clock, until).await;
        true
    };
    if !smol::future::or(served, gone).await {
        return;
    }
    // Open and silent, until whoever was away is back and knows nothing of it. An attempt that is open ends with the connection,
    // whichever side ends it.
    let cut = |id: Option<Id>| {
        id.into_iter().for_each(|id| {
            site.evidence.record(id, proxy, EventKind::AttemptAborted { server: peer as u16 })
        });
    };
    loop {
        match site.reachability(peer, proxy) {
            (Reachability::Silent, until) => {
                let closed = async {
                    match conn.open_attempt {
                        Some(_) => conn.wait_closed().await,
                        None => std::future::pending().await,
                    }
                    true
                };
                let returned = async {
                    sleep_until_or_forever(&site.clock, until).await;
                    false
                };
                if smol::future::or(closed, returned).await {
                    cut(conn.open_attempt.take());
                }
            }
            _ => {
                cut(conn.open_attempt.take());
                return conn.reset();
            }
        }
    }
}

/// The same for a connection to etcd.
async fn serve_etcd(
    site: Arc<Site>,
    (peer, proxy): (usize, usize),
    serving: impl Future<Output = ()>,
    until: Micros,
) {
    let mut serving = std::pin::pin!(serving);
    let gone = async {
        sleep_until_or_forever(&site.clock, until).await;
        true
    };
    let served = async {
        serving.as_mut().await;
        false
    };
    if !smol::future::or(served, gone).await {
        return;
    }
    // Not played on, it is silent; it is reset by the end of this.
    while let (Reachability::Silent, until) = site.reachability(peer, proxy) {
        sleep_until_or_forever(&site.clock, until).await;
    }
}

/// One of the connections that a peer holds.
struct ConnectionCount<'a> {
    of: &'a AtomicUsize,
    /// So many there were before it.
    before: usize,
}

impl ConnectionCount<'_> {
    fn new(of: &AtomicUsize) -> ConnectionCount<'_> {
        ConnectionCount { of, before: of.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for ConnectionCount<'_> {
    fn drop(&mut self) {
        self.of.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Half of what clients of a busy house wait for: work differs that much from request to request.
const SPREAD: f64 = 0.5;

impl Site {
    /// The work of a request, spread evenly about its request class's mean.
    fn draw_work(&self, mean_ms: f64) -> Micros {
        (mean_ms * MILLI as f64 * (1.0 - SPREAD + 2.0 * SPREAD * self.draw_luck())) as Micros
    }
}
