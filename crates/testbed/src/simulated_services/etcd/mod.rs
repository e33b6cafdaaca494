//! A simulated etcd cluster on sockets, which implements its public v3 API: gRPC over HTTP/2
//! without TLS, with three endpoints for each proxy over one store. The address identifies the
//! calling proxy, and values contain the addresses that this proxy uses.

mod call;
mod stream;
mod txn;
mod unary;
mod watch;
mod writer;

use super::SimulatedServices;
use crate::clock::Micros;
use crate::evidence::EventKind;
use crate::model::etcd::EtcdTimeline;
use crate::model::store::Store;
use crate::sync::lock;
use call::{CallContext, serve_call};
use chalkwalk_etcd_wire::api;
use h2::server::handshake;
use serde_json::Value;
use smol::channel::{Receiver, Sender, bounded};
use smol::{Async, Executor};
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// The prefix of all keys. Proxies get it in their operator's file.
pub const KEY_PREFIX: &str = "/lab/";
/// The state of a server in service, as it is stored in values.
const SERVING_STATE: &str = "serving";

/// The state of the cluster.
pub struct Etcd {
    /// The faults of the cluster.
    pub timeline: EtcdTimeline,
    store: Mutex<Store>,
    /// The cluster's id; restoring the store makes it another cluster.
    cluster_id: Mutex<u64>,
    watchers: Mutex<Vec<Sender<()>>>,
    /// The last notification of each proxy about each server, by proxy and server.
    notified: Mutex<HashMap<(usize, usize), LastNotified>>,
    calls: Mutex<u64>,
    /// The id of the cluster that each proxy last read from.
    known_cluster_ids: Mutex<HashMap<usize, u64>>,
    /// When each proxy lost its watch, for proxies that have none.
    watch_lost_at: Mutex<HashMap<usize, Micros>>,
    /// Durations between the loss of a watch and its recovery.
    recovery_times: Mutex<Vec<Micros>>,
}

/// The load that a run put on etcd, and its losses of watches.
#[derive(Clone, Debug, Default)]
pub struct EtcdLoad {
    /// Total number of calls.
    pub calls: u64,
    /// Durations between the loss of a watch and its recovery.
    pub recovery_times: Vec<Micros>,
}

/// The latest state of a server that a proxy was notified of.
#[derive(Clone, Copy, Default)]
struct LastNotified {
    revision: i64,
    /// When the server's process started, as Unix time in milliseconds.
    started_ms: u64,
}

impl Etcd {
    /// A cluster with an empty store.
    pub fn new(timeline: EtcdTimeline) -> Etcd {
        Etcd {
            timeline,
            store: Mutex::default(),
            cluster_id: Mutex::new(1),
            watchers: Mutex::default(),
            notified: Mutex::default(),
            calls: Mutex::default(),
            known_cluster_ids: Mutex::default(),
            watch_lost_at: Mutex::default(),
            recovery_times: Mutex::default(),
        }
    }

    /// Wakes all watchers, and drops those whose call has ended.
    fn wake_watchers(&self) {
        let is_open =
            |wake_sender: &Sender<()>| !wake_sender.try_send(()).is_err_and(|error| error.is_closed());
        lock(&self.watchers).retain(|wake_sender| !wake_sender.is_closed() && is_open(wake_sender));
    }

    fn add_watcher(&self) -> Receiver<()> {
        let (wake_sender, wake_receiver) = bounded(1);
        lock(&self.watchers).push(wake_sender);
        wake_receiver
    }

    fn header(&self, revision: i64) -> Option<api::ResponseHeader> {
        Some(api::ResponseHeader {
            cluster_id: *lock(&self.cluster_id),
            member_id: 1,
            revision,
            raft_term: 2,
        })
    }

    /// The load of the run so far.
    pub fn load(&self) -> EtcdLoad {
        EtcdLoad { calls: *lock(&self.calls), recovery_times: lock(&self.recovery_times).clone() }
    }
}

impl SimulatedServices {
    /// Records a notification of a proxy. A state older than the last one does not revoke a drain,
    /// unless it shows a later start.
    fn record_notified(&self, proxy: usize, server: usize, revision: i64, value: Option<&[u8]>) {
        let fields: Option<Value> = value.and_then(|value| serde_json::from_slice(value).ok());
        let is_off = fields.as_ref().is_none_or(|fields| fields["state"] != SERVING_STATE);
        let started_ms = fields.as_ref().and_then(|fields| fields["started_ms"].as_u64()).unwrap_or(0);
        let mut notified = lock(&self.etcd.notified);
        let last = notified.entry((proxy, server)).or_default();
        if revision < last.revision && !is_off && started_ms <= last.started_ms {
            return;
        }
        last.revision = last.revision.max(revision);
        last.started_ms = last.started_ms.max(started_ms);
        let now = self.clock.now();
        let kind = EventKind::Notified { server: server as u16, is_off };
        self.recorder.record_at(now, 0, proxy, kind);
    }
}

/// Serves a connection until it ends or all connections are reset.
pub(super) async fn serve(
    services: Arc<SimulatedServices>,
    executor: Weak<Executor<'static>>,
    (proxy, endpoint): (usize, usize),
    stream: Async<TcpStream>,
) {
    let context = CallContext { services: services.clone(), proxy, endpoint };
    let socket = stream.get_ref().try_clone();
    _ = stream.get_ref().set_nodelay(true);
    let accepted_at = services.clock.now();
    let serving = async {
        let Ok(mut connection) = handshake(stream.compat()).await else { return false };
        while let Some(Ok((request, respond))) = connection.accept().await {
            *lock(&services.etcd.calls) += 1;
            if let Some(executor) = executor.upgrade() {
                executor.spawn(serve_call(context.clone(), request, respond)).detach();
            }
        }
        false
    };
    let reset = async {
        match services.etcd.timeline.next_connection_reset(accepted_at) {
            Some(at) => services.clock.sleep_until(at).await,
            None => std::future::pending().await,
        }
        true
    };
    let was_reset = smol::future::or(serving, reset).await;
    lock(&services.etcd.watch_lost_at).entry(proxy).or_insert_with(|| services.clock.now());
    if was_reset && let Ok(stream) = socket {
        _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}
