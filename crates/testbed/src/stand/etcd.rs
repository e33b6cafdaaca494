//! A stand-in for a cluster of etcd on sockets, after its public v3 API: gRPC over HTTP/2 without TLS, three endpoints for
//! each proxy over one store. Who asks is known by the address, and values bear the addresses that this proxy is to use.

use super::{Site, lock};
use crate::clock::{MILLI, Micros};
use crate::evidence::EventKind;
use crate::model::etcd::{EtcdTimeline, NO_MAJORITY, StoreAction};
use crate::model::server_list::ListedServer;
use crate::model::store::{Condition, Item, Store, StoreError, Write};
use crate::model::timeline::{DELETED, Reachability, SERVING};
use bytes::Bytes;
use chalkwalk_etcd_wire::{
    CONTENT_TYPE, FrameDecoder, GRPC_MESSAGE, GRPC_STATUS, Message, api, code, encode_frame, path,
};
use h2::server::{SendResponse, handshake};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use serde_json::{Value, json};
use smol::channel::{Receiver, Sender, bounded};
use smol::{Async, Executor};
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// Every key begins with it.
pub const PREFIX: &str = "/lab/";
/// In values, in place of the proxy that is to read them.
const PROXY: &str = "@PROXY@";
/// Events an answer at the most, where the watcher takes fragments.
const FRAGMENT: usize = 40;
const LONGEST: usize = 2 << 20;

pub struct Etcd {
    pub timeline: EtcdTimeline,
    store: Mutex<Store>,
    cluster: Mutex<u64>,
    watchers: Mutex<Vec<Sender<()>>>,
    /// What each proxy was told last of each server.
    notified: Mutex<HashMap<(usize, usize), LastNotified>>,
    calls: Mutex<u64>,
    /// Which cluster each proxy was told of last.
    known_cluster: Mutex<HashMap<usize, u64>>,
    /// Since when a proxy is without its watch, and how long each was.
    watch_lost_at: Mutex<HashMap<usize, Micros>>,
    recovery_times: Mutex<Vec<Micros>>,
}

/// What a run asked of etcd, and how long watches were away.
#[derive(Clone, Debug, Default)]
pub struct EtcdLoad {
    pub calls: u64,
    pub recovery_times: Vec<Micros>,
}

#[derive(Clone, Copy, Default)]
struct LastNotified {
    revision: i64,
    started: u64,
}

type GrpcError = (&'static str, String);

fn grpc_error(error: StoreError) -> GrpcError {
    match error {
        StoreError::Compacted(_) => {
            (code::OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted".into())
        }
        StoreError::FutureRevision => {
            (code::OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision".into())
        }
        StoreError::LeaseNotFound => (code::NOT_FOUND, "etcdserver: requested lease not found".into()),
    }
}

impl Etcd {
    pub fn new(timeline: EtcdTimeline) -> Etcd {
        Etcd {
            timeline,
            store: Mutex::default(),
            cluster: Mutex::new(1),
            watchers: Mutex::default(),
            notified: Mutex::default(),
            calls: Mutex::default(),
            known_cluster: Mutex::default(),
            watch_lost_at: Mutex::default(),
            recovery_times: Mutex::default(),
        }
    }

    fn changed(&self) {
        lock(&self.watchers).retain(|notify| !notify.is_closed() && notify.try_send(()).is_ok_or_full());
    }

    fn header(&self, revision: i64) -> Option<api::ResponseHeader> {
        Some(api::ResponseHeader { cluster_id: *lock(&self.cluster), member_id: 1, revision, raft_term: 2 })
    }

    pub fn load(&self) -> EtcdLoad {
        EtcdLoad { calls: *lock(&self.calls), recovery_times: lock(&self.recovery_times).clone() }
    }
}

trait OkOrFull {
    fn is_ok_or_full(&self) -> bool;
}

impl OkOrFull for Result<(), smol::channel::TrySendError<()>> {
    fn is_ok_or_full(&self) -> bool {
        !matches!(self, Err(e) if e.is_closed())
    }
}

// ---- what stands in the store ----

fn key_of(site: &Site, server: usize) -> Vec<u8> {
    let id = if server == site.origin() { "origin".to_string() } else { format!("cache-{server:03}") };
    format!("{PREFIX}caches/{id}").into_bytes()
}

fn value_of(site: &Site, entry: &ListedServer) -> Vec<u8> {
    let mut response = site.list_entry(0, entry);
    let state = if entry.state == SERVING { "serving" } else { "draining" };
    let addr = response["addr"].as_str().unwrap_or("").to_string();
    // Addresses are 127.block.proxy.peer, the proxy counted from 1.
    let parts: Vec<&str> = addr.splitn(4, '.').collect();
    let addr =
        if parts.len() == 4 { format!("{}.{}.{PROXY}.{}", parts[0], parts[1], parts[3]) } else { addr };
    if let Some(fields) = response.as_object_mut() {
        fields.remove("id");
        fields.remove("weight");
        fields.insert("v".into(), json!(1));
        fields.insert("addr".into(), json!(addr));
        fields.insert("state".into(), json!(state));
    }
    response.to_string().into_bytes()
}

impl Site {
    /// Writes the list as of the beginning.
    pub fn seed_etcd(&self) {
        let entries = self.server_list.snapshot(crate::model::server_list::FIRST_VERSION);
        let put =
            |l: &ListedServer| Write::Put { key: key_of(self, l.server), value: value_of(self, l), lease: 0 };
        let writes: Vec<Write> = entries.iter().map(put).collect();
        _ = lock(&self.etcd.store).write(0, &writes);
    }

    /// Writes what becomes known at the time at which it does, and does to the store what the course has; never ends.
    pub async fn write_etcd(self: Arc<Site>) {
        let mut updates = self.timelines.updates.iter().peekable();
        let mut actions = self.etcd.timeline.actions.iter().peekable();
        let mut starts = vec![0; self.origin() + 1];
        loop {
            let expiry = lock(&self.etcd.store).next_expiry();
            let next = [updates.peek().map(|n| n.published), actions.peek().map(|(at, _)| *at), expiry];
            let Some(at) = next.into_iter().flatten().min() else {
                smol::Timer::after(Duration::from_millis(100)).await;
                continue;
            };
            // A lease may be kept alive meanwhile, and new ones come.
            self.clock.sleep_until(at.min(self.clock.now() + 100 * MILLI)).await;
            let now = self.clock.now();
            lock(&self.etcd.store).expire(now);
            while let Some((_, action)) = actions.next_if(|(at, _)| *at <= now) {
                let mut store = lock(&self.etcd.store);
                let revision = store.revision();
                match action {
                    StoreAction::Compact => _ = store.compact(revision),
                    StoreAction::Restore(by) => {
                        store.restore(now.saturating_sub(*by));
                        *lock(&self.etcd.cluster) += 1;
                    }
                }
            }
            // What becomes known at one moment is one transaction, as far as each key is in it once.
            let mut writes: Vec<(usize, Write)> = Vec::new();
            while let Some(n) =
                updates.next_if(|n| n.published <= now && !writes.iter().any(|(c, _)| *c == n.server))
            {
                let key = key_of(&self, n.server);
                if n.state == SERVING {
                    starts[n.server] = n.started;
                }
                let entry = ListedServer { server: n.server, state: n.state, started: starts[n.server] };
                let write = match n.state {
                    DELETED => Write::Delete { key, end: vec![] },
                    _ => Write::Put { key, value: value_of(&self, &entry), lease: 0 },
                };
                writes.push((n.server, write));
            }
            let writes: Vec<Write> = writes.into_iter().map(|(_, write)| write).collect();
            if !writes.is_empty() {
                _ = lock(&self.etcd.store).write(now, &writes);
            }
            self.etcd.changed();
        }
    }

    /// Notes what a proxy is told of a server. An older word than one it had takes no drain back, but for a later start.
    fn record_notified(&self, proxy: usize, server: usize, revision: i64, value: Option<&[u8]>) {
        let response: Option<Value> = value.and_then(|v| serde_json::from_slice(v).ok());
        let off = response.as_ref().is_none_or(|s| s["state"] != "serving");
        let started = response.as_ref().and_then(|s| s["started_ms"].as_u64()).unwrap_or(0);
        let mut notified = lock(&self.etcd.notified);
        let before = notified.entry((proxy, server)).or_default();
        if revision < before.revision && !off && started <= before.started {
            return;
        }
        *before =
            LastNotified { revision: revision.max(before.revision), started: started.max(before.started) };
        let now = self.clock.now();
        self.evidence.record_at(now, 0, proxy, EventKind::Notified { server: server as u16, off });
    }

    fn server_of(&self, key: &[u8]) -> Option<usize> {
        (0..self.origin()).find(|c| key_of(self, *c) == key)
    }
}

// ---- on sockets ----

/// What a call needs to know of where it came from.
#[derive(Clone)]
struct CallContext {
    site: Arc<Site>,
    proxy: usize,
    endpoint: usize,
}

impl CallContext {
    fn store(&self) -> std::sync::MutexGuard<'_, Store> {
        lock(&self.site.etcd.store)
    }

    /// Up to which revision this endpoint sees.
    fn visible_revision(&self) -> i64 {
        let now = self.site.clock.now();
        let lag = self.site.etcd.timeline.lag(self.endpoint, now);
        let store = self.store();
        if lag == 0 { store.revision() } else { store.revision_at(now.saturating_sub(lag)) }
    }

    /// Whether what is written now reaches the proxy: not across a link that is cut.
    fn can_reach_proxy(&self) -> bool {
        let zones = self.site.zones();
        let (reachability, _) = self.site.timelines.zone_reachability(
            self.endpoint % zones,
            self.proxy % zones,
            self.site.clock.now(),
        );
        reachability == Reachability::Up
    }

    async fn wait_stalled(&self) {
        while let Some(until) = self.site.etcd.timeline.stalled_until(self.site.clock.now()) {
            self.site.clock.sleep_until(until).await;
        }
    }

    fn kv(&self, item: &Item) -> api::KeyValue {
        let value = item.value.clone().unwrap_or_default();
        let own = match String::from_utf8(value) {
            Ok(text) => text.replace(PROXY, &(self.proxy + 1).to_string()).into_bytes(),
            Err(e) => e.into_bytes(),
        };
        api::KeyValue {
            key: item.key.clone().into(),
            create_revision: item.created,
            mod_revision: item.modified,
            version: item.version,
            value: own.into(),
            lease: item.lease,
        }
    }
}

/// One connection, until it ends or every connection is reset.
pub async fn serve(
    site: Arc<Site>,
    ex: Weak<Executor<'static>>,
    (proxy, endpoint): (usize, usize),
    stream: Async<TcpStream>,
) {
    let context = CallContext { site: site.clone(), proxy, endpoint };
    let reset = stream.get_ref().try_clone();
    _ = stream.get_ref().set_nodelay(true);
    let begun = site.clock.now();
    let serving = async {
        let Ok(mut connection) = handshake(stream.compat()).await else { return false };
        while let Some(Ok((request, respond))) = connection.accept().await {
            *lock(&site.etcd.calls) += 1;
            if let Some(ex) = ex.upgrade() {
                ex.spawn(call(context.clone(), request, respond)).detach();
            }
        }
        false
    };
    let broken = async {
        match site.etcd.timeline.next_break(begun) {
            Some(at) => site.clock.sleep_until(at).await,
            None => std::future::pending().await,
        }
        true
    };
    let was_broken = smol::future::or(serving, broken).await;
    lock(&site.etcd.watch_lost_at).entry(proxy).or_insert_with(|| site.clock.now());
    if was_broken && let Ok(stream) = reset {
        _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// Where answers of one call go.
struct ResponseStream(SendStream<Bytes>);

impl ResponseStream {
    /// Writes a message, and waits until the peer has room for it.
    async fn send(&mut self, message: &impl Message) -> Option<()> {
        let mut bytes = encode_frame(message);
        while !bytes.is_empty() {
            self.0.reserve_capacity(bytes.len());
            let room = std::future::poll_fn(|cx| self.0.poll_capacity(cx)).await?.ok()?;
            let part = bytes.split_to(room.min(bytes.len()));
            self.0.send_data(part, false).ok()?;
        }
        Some(())
    }

    fn end(mut self, (code, reason): (&str, &str)) {
        let mut trailers = HeaderMap::new();
        let value = |v: &str| HeaderValue::from_str(v).unwrap_or(HeaderValue::from_static(""));
        trailers.insert(GRPC_STATUS, value(code));
        if !reason.is_empty() {
            trailers.insert(GRPC_MESSAGE, value(reason));
        }
        _ = self.0.send_trailers(trailers);
    }
}

/// Messages of a call as they come.
struct RequestStream(RecvStream, FrameDecoder);

impl RequestStream {
    async fn next<M: Message + Default>(&mut self) -> Option<M> {
        loop {
            if let Some(message) = self.1.next_message().ok()? {
                return Some(message);
            }
            let bytes = self.0.data().await?.ok()?;
            _ = self.0.flow_control().release_capacity(bytes.len());
            self.1.push(&bytes);
        }
    }
}

async fn call(context: CallContext, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    let path = request.uri().path().to_string();
    let mut requests = RequestStream(request.into_body(), FrameDecoder::new(LONGEST));
    context.wait_stalled().await;
    let head = Response::builder().header("content-type", CONTENT_TYPE).body(());
    let Some(Ok(stream)) = head.ok().map(|head| respond.send_response(head, false)) else { return };
    let mut reply = ResponseStream(stream);
    let ended = match path.as_str() {
        path::WATCH => watch(&context, &mut requests, &mut reply).await,
        _ => unary(&context, &path, &mut requests, &mut reply).await,
    };
    match ended {
        Ok(()) => reply.end((code::OK, "")),
        Err((code, reason)) => reply.end((code, &reason)),
    }
}

/// A call of one question and one answer.
async fn unary(
    context: &CallContext,
    path: &str,
    requests: &mut RequestStream,
    reply: &mut ResponseStream,
) -> Result<(), GrpcError> {
    let broken = || (code::UNAVAILABLE, "no question".to_string());
    macro_rules! ask {
        () => {
            requests.next().await.ok_or_else(broken)?
        };
    }
    macro_rules! send {
        ($answer:expr) => {{
            let answer = $answer;
            context.wait_stalled().await;
            reply.send(&answer).await.ok_or_else(broken)
        }};
    }
    let (site, etcd) = (&context.site, &context.site.etcd);
    let now = site.clock.now();
    if path.starts_with("/etcdserverpb.Lease/") {
        let lag = etcd.timeline.lease_lag(now);
        site.clock.sleep_until(now + lag).await;
    }
    match path {
        path::RANGE => {
            let request: api::RangeRequest = ask!();
            send!(range(context, &request).await?)
        }
        path::PUT => {
            let request: api::PutRequest = ask!();
            let write =
                Write::Put { key: request.key.to_vec(), value: request.value.to_vec(), lease: request.lease };
            let revision = context.store().write(now, &[write]).map_err(grpc_error)?;
            etcd.changed();
            send!(api::PutResponse { header: etcd.header(revision) })
        }
        path::DELETE_RANGE => {
            let request: api::DeleteRangeRequest = ask!();
            let (header, deleted) = {
                let mut store = context.store();
                let deleted =
                    store.range(&request.key, &request.range_end, 0, 0).map_err(grpc_error)?.0.len() as i64;
                let write = Write::Delete { key: request.key.to_vec(), end: request.range_end.to_vec() };
                (etcd.header(store.write(now, &[write]).map_err(grpc_error)?), deleted)
            };
            etcd.changed();
            send!(api::DeleteRangeResponse { header, deleted })
        }
        path::TXN => {
            let request: api::TxnRequest = ask!();
            let answer = txn(context, request, now)?;
            etcd.changed();
            send!(answer)
        }
        path::COMPACT => {
            let request: api::CompactionRequest = ask!();
            let header = {
                let mut store = context.store();
                store.compact(request.revision).map_err(grpc_error)?;
                etcd.header(store.revision())
            };
            send!(api::CompactionResponse { header })
        }
        path::LEASE_GRANT => {
            let request: api::LeaseGrantRequest = ask!();
            let (id, ttl) = context.store().grant(site.clock.now(), request.ttl);
            send!(api::LeaseGrantResponse {
                header: etcd.header(context.visible_revision()),
                id,
                ttl,
                error: String::new()
            })
        }
        path::LEASE_REVOKE => {
            let request: api::LeaseRevokeRequest = ask!();
            context.store().revoke(now, request.id).map_err(grpc_error)?;
            etcd.changed();
            send!(api::LeaseRevokeResponse { header: etcd.header(context.visible_revision()) })
        }
        path::LEASE_KEEP_ALIVE => {
            while let Some(request) = requests.next::<api::LeaseKeepAliveRequest>().await {
                let ttl = context.store().keep_alive(site.clock.now(), request.id);
                send!(api::LeaseKeepAliveResponse {
                    header: etcd.header(context.visible_revision()),
                    id: request.id,
                    ttl
                })?;
            }
            Ok(())
        }
        _ => Err((code::UNIMPLEMENTED, "unknown method".into())),
    }
}

async fn range(context: &CallContext, request: &api::RangeRequest) -> Result<api::RangeResponse, GrpcError> {
    let (site, etcd) = (&context.site, &context.site.etcd);
    let began = site.clock.now();
    // By a majority: one that is behind has to hear of all that was written before.
    let newest = context.store().revision();
    while !request.serializable && context.visible_revision() < newest {
        if site.clock.now() > began + NO_MAJORITY {
            return Err((code::UNAVAILABLE, "etcdserver: request timed out".into()));
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    let visible_revision = context.visible_revision();
    let (kvs, more, items) = {
        let store = context.store();
        let revision = if request.revision > 0 { request.revision } else { visible_revision };
        let (items, more) = store
            .range(&request.key, &request.range_end, revision, request.limit.max(0) as usize)
            .map_err(grpc_error)?;
        let kvs: Vec<api::KeyValue> = items.iter().map(|i| context.kv(i)).collect();
        (kvs, more, items.into_iter().cloned().collect::<Vec<Item>>())
    };
    // Told from when it is written: what is missing in the whole of it is gone.
    if request.key.as_ref() == PREFIX.as_bytes() && !more && context.can_reach_proxy() {
        // What is missing in an older state was not taken away: nobody has said so.
        let cluster = *lock(&etcd.cluster);
        let other_cluster =
            lock(&etcd.known_cluster).insert(context.proxy, cluster).is_some_and(|before| before != cluster);
        for server in 0..site.origin() {
            if other_cluster && !items.iter().any(|i| i.key == key_of(site, server)) {
                continue;
            }
            let item = items.iter().find(|i| i.key == key_of(site, server));
            site.record_notified(
                context.proxy,
                server,
                visible_revision,
                item.and_then(|i| i.value.as_deref()),
            );
        }
    }
    let count = kvs.len() as i64;
    Ok(api::RangeResponse { header: etcd.header(visible_revision), kvs, more, count })
}

fn txn(context: &CallContext, request: api::TxnRequest, now: Micros) -> Result<api::TxnResponse, GrpcError> {
    use api::compare::TargetUnion;
    use api::request_op::Request;
    let etcd = &context.site.etcd;
    let mut store = context.store();
    let unknown = || (code::UNIMPLEMENTED, "only EQUAL, and puts and deletes".to_string());
    let mut succeeded = true;
    for c in &request.compare {
        let condition = match c.target_union.clone().filter(|_| c.result() == api::compare::Result::Equal) {
            Some(TargetUnion::Version(n)) => Condition::Version(n),
            Some(TargetUnion::CreateRevision(n)) => Condition::Created(n),
            Some(TargetUnion::ModRevision(n)) => Condition::Modified(n),
            Some(TargetUnion::Value(v)) => Condition::Value(v.to_vec()),
            _ => return Err(unknown()),
        };
        succeeded &= store.satisfies(&c.key, &condition);
    }
    let mut writes = Vec::new();
    for op in if succeeded { request.success } else { request.failure } {
        writes.push(match op.request {
            Some(Request::RequestPut(p)) => {
                Write::Put { key: p.key.to_vec(), value: p.value.to_vec(), lease: p.lease }
            }
            Some(Request::RequestDeleteRange(d)) => {
                Write::Delete { key: d.key.to_vec(), end: d.range_end.to_vec() }
            }
            _ => return Err(unknown()),
        });
    }
    let revision = store.write(now, &writes).map_err(grpc_error)?;
    let header = etcd.header(revision);
    let put = || api::response_op::Response::ResponsePut(api::PutResponse { header });
    let responses = writes.iter().map(|_| api::ResponseOp { response: Some(put()) }).collect();
    Ok(api::TxnResponse { header, succeeded, responses })
}

/// One watch a call: what chalkwalk opens.
async fn watch(
    context: &CallContext,
    requests: &mut RequestStream,
    reply: &mut ResponseStream,
) -> Result<(), GrpcError> {
    use api::watch_request::RequestUnion;
    let gone = || (code::UNAVAILABLE, "the watcher is gone".to_string());
    let create = loop {
        match requests.next::<api::WatchRequest>().await.ok_or_else(gone)?.request_union {
            Some(RequestUnion::CreateRequest(create)) => break create,
            _ => continue,
        }
    };
    let etcd = &context.site.etcd;
    let (notify, notified): (Sender<()>, Receiver<()>) = bounded(1);
    lock(&etcd.watchers).push(notify);
    let response = |created| api::WatchResponse {
        created,
        header: etcd.header(context.visible_revision()),
        ..Default::default()
    };
    context.wait_stalled().await;
    reply.send(&response(true)).await.ok_or_else(gone)?;
    if context.store().compacted() < create.start_revision
        && let Some(since) = lock(&etcd.watch_lost_at).remove(&context.proxy)
    {
        lock(&etcd.recovery_times).push(context.site.clock.now().saturating_sub(since));
    }
    let mut next =
        if create.start_revision > 0 { create.start_revision } else { context.visible_revision() + 1 };
    loop {
        context.wait_stalled().await;
        let visible_revision = context.visible_revision();
        let found = {
            let store = context.store();
            store
                .changes(&create.key, &create.range_end, next, visible_revision)
                .map(|items| items.into_iter().cloned().collect::<Vec<Item>>())
        };
        match found {
            Err(StoreError::Compacted(revision)) => {
                let last =
                    api::WatchResponse { canceled: true, compact_revision: revision, ..response(false) };
                reply.send(&last).await.ok_or_else(gone)?;
                return Ok(());
            }
            Err(other) => return Err(grpc_error(other)),
            Ok(items) => {
                next = next.max(visible_revision + 1);
                send(context, reply, &create, visible_revision, &items).await.ok_or_else(gone)?;
            }
        }
        // A change, a question, or, where the endpoint is behind, time.
        let behind = etcd.timeline.lag(context.endpoint, context.site.clock.now()) > 0;
        let step = Duration::from_millis(if behind { 5 } else { 1000 });
        let changed = async {
            smol::future::or(async { _ = notified.recv().await }, async {
                _ = smol::Timer::after(step).await
            })
            .await;
            Some(None)
        };
        let request = async { requests.next::<api::WatchRequest>().await.map(Some) };
        match smol::future::or(request, changed).await {
            None => return Ok(()),
            Some(None) => {}
            Some(Some(request)) => match request.request_union {
                Some(RequestUnion::CancelRequest(_)) => {
                    reply
                        .send(&api::WatchResponse { canceled: true, ..response(false) })
                        .await
                        .ok_or_else(gone)?;
                    return Ok(());
                }
                Some(RequestUnion::ProgressRequest(_)) if context.visible_revision() < next => {
                    let at = api::WatchResponse { header: etcd.header(next - 1), ..Default::default() };
                    // Behind, it can't say more than it sees.
                    let at = if context.visible_revision() < next - 1 { response(false) } else { at };
                    reply.send(&at).await.ok_or_else(gone)?;
                }
                _ => {}
            },
        }
    }
}

async fn send(
    context: &CallContext,
    reply: &mut ResponseStream,
    create: &api::WatchCreateRequest,
    visible_revision: i64,
    items: &[Item],
) -> Option<()> {
    let site = &context.site;
    let most = if create.fragment { FRAGMENT } else { usize::MAX };
    let parts = items.len().div_ceil(most);
    for (i, part) in items.chunks(most.min(items.len().max(1))).enumerate() {
        let event = |item: &Item| api::Event {
            r#type: if item.value.is_some() { api::event::Kind::Put } else { api::event::Kind::Delete }
                .into(),
            kv: Some(context.kv(item)),
        };
        let answer = api::WatchResponse {
            header: site.etcd.header(visible_revision),
            fragment: i + 1 < parts,
            events: part.iter().map(event).collect(),
            ..Default::default()
        };
        reply.send(&answer).await?;
        for item in part.iter().filter(|_| context.can_reach_proxy()) {
            if let Some(server) = site.server_of(&item.key) {
                site.record_notified(context.proxy, server, item.modified, item.value.as_deref());
            }
        }
    }
    Some(())
}
