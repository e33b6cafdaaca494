//! A stand-in for a cluster of etcd on sockets, after its public v3 API: gRPC over HTTP/2 without TLS, three endpoints for
//! each proxy over one store. Who asks is known by the address, and values bear the addresses that this proxy is to use.

use super::{Site, lock};
use crate::clock::{MILLI, Micros};
use crate::evidence::What;
use crate::model::course::{DELETED, Reach, SERVING};
use crate::model::etcd::{Deed, EtcdCourse, NO_MAJORITY};
use crate::model::listing::Line;
use crate::model::store::{Fault, Item, Store, Want, Write};
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
    pub course: EtcdCourse,
    store: Mutex<Store>,
    cluster: Mutex<u64>,
    watchers: Mutex<Vec<Sender<()>>>,
    /// What each proxy was told last of each cache.
    told: Mutex<HashMap<(usize, usize), Word>>,
    calls: Mutex<u64>,
    /// Which cluster each proxy was told of last.
    heard_of: Mutex<HashMap<usize, u64>>,
    /// Since when a proxy is without its watch, and how long each was.
    without: Mutex<HashMap<usize, Micros>>,
    back: Mutex<Vec<Micros>>,
}

/// What a run asked of etcd, and how long watches were away.
#[derive(Clone, Debug, Default)]
pub struct Load {
    pub calls: u64,
    pub back: Vec<Micros>,
}

#[derive(Clone, Copy, Default)]
struct Word {
    revision: i64,
    started: u64,
}

type Fail = (&'static str, String);

fn fail(fault: Fault) -> Fail {
    match fault {
        Fault::Compacted(_) => {
            (code::OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted".into())
        }
        Fault::Future => {
            (code::OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision".into())
        }
        Fault::NoLease => (code::NOT_FOUND, "etcdserver: requested lease not found".into()),
    }
}

impl Etcd {
    pub fn new(course: EtcdCourse) -> Etcd {
        Etcd {
            course,
            store: Mutex::default(),
            cluster: Mutex::new(1),
            watchers: Mutex::default(),
            told: Mutex::default(),
            calls: Mutex::default(),
            heard_of: Mutex::default(),
            without: Mutex::default(),
            back: Mutex::default(),
        }
    }

    fn changed(&self) {
        lock(&self.watchers).retain(|tell| !tell.is_closed() && tell.try_send(()).is_ok_or_full());
    }

    fn header(&self, revision: i64) -> Option<api::ResponseHeader> {
        Some(api::ResponseHeader { cluster_id: *lock(&self.cluster), member_id: 1, revision, raft_term: 2 })
    }

    pub fn load(&self) -> Load {
        Load { calls: *lock(&self.calls), back: lock(&self.back).clone() }
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

fn key_of(site: &Site, cache: usize) -> Vec<u8> {
    let id = if cache == site.origin() { "origin".to_string() } else { format!("cache-{cache:03}") };
    format!("{PREFIX}caches/{id}").into_bytes()
}

fn value_of(site: &Site, line: &Line) -> Vec<u8> {
    let mut said = site.line(0, line);
    let state = if line.state == SERVING { "serving" } else { "draining" };
    let addr = said["addr"].as_str().unwrap_or("").to_string();
    // Addresses are 127.block.proxy.peer, the proxy counted from 1.
    let parts: Vec<&str> = addr.splitn(4, '.').collect();
    let addr =
        if parts.len() == 4 { format!("{}.{}.{PROXY}.{}", parts[0], parts[1], parts[3]) } else { addr };
    if let Some(fields) = said.as_object_mut() {
        fields.remove("id");
        fields.remove("weight");
        fields.insert("v".into(), json!(1));
        fields.insert("addr".into(), json!(addr));
        fields.insert("state".into(), json!(state));
    }
    said.to_string().into_bytes()
}

impl Site {
    /// Writes the list as of the beginning.
    pub fn seed_etcd(&self) {
        let lines = self.listing.whole(crate::model::listing::FIRST);
        let put = |l: &Line| Write::Put { key: key_of(self, l.cache), value: value_of(self, l), lease: 0 };
        let writes: Vec<Write> = lines.iter().map(put).collect();
        _ = lock(&self.etcd.store).write(0, &writes);
    }

    /// Writes what becomes known at the time at which it does, and does to the store what the course has; never ends.
    pub async fn write_etcd(self: Arc<Site>) {
        let mut notices = self.courses.notices.iter().peekable();
        let mut deeds = self.etcd.course.deeds.iter().peekable();
        let mut starts = vec![0; self.origin() + 1];
        loop {
            let expiry = lock(&self.etcd.store).next_expiry();
            let next = [notices.peek().map(|n| n.told), deeds.peek().map(|(at, _)| *at), expiry];
            let Some(at) = next.into_iter().flatten().min() else {
                smol::Timer::after(Duration::from_millis(100)).await;
                continue;
            };
            // A lease may be kept alive meanwhile, and new ones come.
            self.clock.reach(at.min(self.clock.now() + 100 * MILLI)).await;
            let now = self.clock.now();
            lock(&self.etcd.store).expire(now);
            while let Some((_, deed)) = deeds.next_if(|(at, _)| *at <= now) {
                let mut store = lock(&self.etcd.store);
                let revision = store.revision();
                match deed {
                    Deed::Compact => _ = store.compact(revision),
                    Deed::Restore(by) => {
                        store.restore(now.saturating_sub(*by));
                        *lock(&self.etcd.cluster) += 1;
                    }
                }
            }
            // What becomes known at one moment is one transaction, as far as each key is in it once.
            let mut writes: Vec<(usize, Write)> = Vec::new();
            while let Some(n) =
                notices.next_if(|n| n.told <= now && !writes.iter().any(|(c, _)| *c == n.cache))
            {
                let key = key_of(&self, n.cache);
                if n.state == SERVING {
                    starts[n.cache] = n.born;
                }
                let line = Line { cache: n.cache, state: n.state, born: starts[n.cache] };
                let write = match n.state {
                    DELETED => Write::Delete { key, end: vec![] },
                    _ => Write::Put { key, value: value_of(&self, &line), lease: 0 },
                };
                writes.push((n.cache, write));
            }
            let writes: Vec<Write> = writes.into_iter().map(|(_, write)| write).collect();
            if !writes.is_empty() {
                _ = lock(&self.etcd.store).write(now, &writes);
            }
            self.etcd.changed();
        }
    }

    /// Notes what a proxy is told of a cache. An older word than one it had takes no drain back, but for a later start.
    fn note_told(&self, proxy: usize, cache: usize, revision: i64, value: Option<&[u8]>) {
        let said: Option<Value> = value.and_then(|v| serde_json::from_slice(v).ok());
        let off = said.as_ref().is_none_or(|s| s["state"] != "serving");
        let started = said.as_ref().and_then(|s| s["started_ms"].as_u64()).unwrap_or(0);
        let mut told = lock(&self.etcd.told);
        let before = told.entry((proxy, cache)).or_default();
        if revision < before.revision && !off && started <= before.started {
            return;
        }
        *before = Word { revision: revision.max(before.revision), started: started.max(before.started) };
        let now = self.clock.now();
        self.evidence.note_at(now, 0, proxy, What::Told { cache: cache as u16, off });
    }

    fn cache_of(&self, key: &[u8]) -> Option<usize> {
        (0..self.origin()).find(|c| key_of(self, *c) == key)
    }
}

// ---- on sockets ----

/// What a call needs to know of where it came from.
#[derive(Clone)]
struct Asked {
    site: Arc<Site>,
    proxy: usize,
    endpoint: usize,
}

impl Asked {
    fn store(&self) -> std::sync::MutexGuard<'_, Store> {
        lock(&self.site.etcd.store)
    }

    /// Up to which revision this endpoint sees.
    fn sees(&self) -> i64 {
        let now = self.site.clock.now();
        let lag = self.site.etcd.course.lag(self.endpoint, now);
        let store = self.store();
        if lag == 0 { store.revision() } else { store.revision_at(now.saturating_sub(lag)) }
    }

    /// Whether what is written now reaches the proxy: not across a link that is cut.
    fn reaches(&self) -> bool {
        let zones = self.site.zones();
        let (reach, _) =
            self.site.courses.reach_zone(self.endpoint % zones, self.proxy % zones, self.site.clock.now());
        reach == Reach::Up
    }

    async fn unstalled(&self) {
        while let Some(until) = self.site.etcd.course.stalled_until(self.site.clock.now()) {
            self.site.clock.reach(until).await;
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
    let asked = Asked { site: site.clone(), proxy, endpoint };
    let reset = stream.get_ref().try_clone();
    _ = stream.get_ref().set_nodelay(true);
    let begun = site.clock.now();
    let serving = async {
        let Ok(mut connection) = handshake(stream.compat()).await else { return false };
        while let Some(Ok((request, respond))) = connection.accept().await {
            *lock(&site.etcd.calls) += 1;
            if let Some(ex) = ex.upgrade() {
                ex.spawn(call(asked.clone(), request, respond)).detach();
            }
        }
        false
    };
    let broken = async {
        match site.etcd.course.next_break(begun) {
            Some(at) => site.clock.reach(at).await,
            None => std::future::pending().await,
        }
        true
    };
    let was_broken = smol::future::or(serving, broken).await;
    lock(&site.etcd.without).entry(proxy).or_insert_with(|| site.clock.now());
    if was_broken && let Ok(stream) = reset {
        _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// Where answers of one call go.
struct Reply(SendStream<Bytes>);

impl Reply {
    /// Writes a message, and waits until the peer has room for it.
    async fn say(&mut self, message: &impl Message) -> Option<()> {
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
struct Questions(RecvStream, FrameDecoder);

impl Questions {
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

async fn call(asked: Asked, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    let path = request.uri().path().to_string();
    let mut questions = Questions(request.into_body(), FrameDecoder::new(LONGEST));
    asked.unstalled().await;
    let head = Response::builder().header("content-type", CONTENT_TYPE).body(());
    let Some(Ok(stream)) = head.ok().map(|head| respond.send_response(head, false)) else { return };
    let mut reply = Reply(stream);
    let ended = match path.as_str() {
        path::WATCH => watch(&asked, &mut questions, &mut reply).await,
        _ => one(&asked, &path, &mut questions, &mut reply).await,
    };
    match ended {
        Ok(()) => reply.end((code::OK, "")),
        Err((code, reason)) => reply.end((code, &reason)),
    }
}

/// A call of one question and one answer.
async fn one(asked: &Asked, path: &str, questions: &mut Questions, reply: &mut Reply) -> Result<(), Fail> {
    let broken = || (code::UNAVAILABLE, "no question".to_string());
    macro_rules! ask {
        () => {
            questions.next().await.ok_or_else(broken)?
        };
    }
    macro_rules! say {
        ($answer:expr) => {{
            let answer = $answer;
            asked.unstalled().await;
            reply.say(&answer).await.ok_or_else(broken)
        }};
    }
    let (site, etcd) = (&asked.site, &asked.site.etcd);
    let now = site.clock.now();
    if path.starts_with("/etcdserverpb.Lease/") {
        let lag = etcd.course.lease_lag(now);
        site.clock.reach(now + lag).await;
    }
    match path {
        path::RANGE => {
            let q: api::RangeRequest = ask!();
            say!(range(asked, &q).await?)
        }
        path::PUT => {
            let q: api::PutRequest = ask!();
            let write = Write::Put { key: q.key.to_vec(), value: q.value.to_vec(), lease: q.lease };
            let revision = asked.store().write(now, &[write]).map_err(fail)?;
            etcd.changed();
            say!(api::PutResponse { header: etcd.header(revision) })
        }
        path::DELETE_RANGE => {
            let q: api::DeleteRangeRequest = ask!();
            let (header, deleted) = {
                let mut store = asked.store();
                let deleted = store.range(&q.key, &q.range_end, 0, 0).map_err(fail)?.0.len() as i64;
                let write = Write::Delete { key: q.key.to_vec(), end: q.range_end.to_vec() };
                (etcd.header(store.write(now, &[write]).map_err(fail)?), deleted)
            };
            etcd.changed();
            say!(api::DeleteRangeResponse { header, deleted })
        }
        path::TXN => {
            let q: api::TxnRequest = ask!();
            let answer = txn(asked, q, now)?;
            etcd.changed();
            say!(answer)
        }
        path::COMPACT => {
            let q: api::CompactionRequest = ask!();
            let header = {
                let mut store = asked.store();
                store.compact(q.revision).map_err(fail)?;
                etcd.header(store.revision())
            };
            say!(api::CompactionResponse { header })
        }
        path::LEASE_GRANT => {
            let q: api::LeaseGrantRequest = ask!();
            let (id, ttl) = asked.store().grant(site.clock.now(), q.ttl);
            say!(api::LeaseGrantResponse { header: etcd.header(asked.sees()), id, ttl, error: String::new() })
        }
        path::LEASE_REVOKE => {
            let q: api::LeaseRevokeRequest = ask!();
            asked.store().revoke(now, q.id).map_err(fail)?;
            etcd.changed();
            say!(api::LeaseRevokeResponse { header: etcd.header(asked.sees()) })
        }
        path::LEASE_KEEP_ALIVE => {
            while let Some(q) = questions.next::<api::LeaseKeepAliveRequest>().await {
                let ttl = asked.store().keep_alive(site.clock.now(), q.id);
                say!(api::LeaseKeepAliveResponse { header: etcd.header(asked.sees()), id: q.id, ttl })?;
            }
            Ok(())
        }
        _ => Err((code::UNIMPLEMENTED, "unknown method".into())),
    }
}

async fn range(asked: &Asked, q: &api::RangeRequest) -> Result<api::RangeResponse, Fail> {
    let (site, etcd) = (&asked.site, &asked.site.etcd);
    let began = site.clock.now();
    // By a majority: one that is behind has to hear of all that was written before.
    let newest = asked.store().revision();
    while !q.serializable && asked.sees() < newest {
        if site.clock.now() > began + NO_MAJORITY {
            return Err((code::UNAVAILABLE, "etcdserver: request timed out".into()));
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    let sees = asked.sees();
    let (kvs, more, items) = {
        let store = asked.store();
        let revision = if q.revision > 0 { q.revision } else { sees };
        let (items, more) =
            store.range(&q.key, &q.range_end, revision, q.limit.max(0) as usize).map_err(fail)?;
        let kvs: Vec<api::KeyValue> = items.iter().map(|i| asked.kv(i)).collect();
        (kvs, more, items.into_iter().cloned().collect::<Vec<Item>>())
    };
    // Told from when it is written: what is missing in the whole of it is gone.
    if q.key.as_ref() == PREFIX.as_bytes() && !more && asked.reaches() {
        // What is missing in an older state was not taken away: nobody has said so.
        let cluster = *lock(&etcd.cluster);
        let another =
            lock(&etcd.heard_of).insert(asked.proxy, cluster).is_some_and(|before| before != cluster);
        for cache in 0..site.origin() {
            if another && !items.iter().any(|i| i.key == key_of(site, cache)) {
                continue;
            }
            let item = items.iter().find(|i| i.key == key_of(site, cache));
            site.note_told(asked.proxy, cache, sees, item.and_then(|i| i.value.as_deref()));
        }
    }
    let count = kvs.len() as i64;
    Ok(api::RangeResponse { header: etcd.header(sees), kvs, more, count })
}

fn txn(asked: &Asked, q: api::TxnRequest, now: Micros) -> Result<api::TxnResponse, Fail> {
    use api::compare::TargetUnion;
    use api::request_op::Request;
    let etcd = &asked.site.etcd;
    let mut store = asked.store();
    let unknown = || (code::UNIMPLEMENTED, "only EQUAL, and puts and deletes".to_string());
    let mut succeeded = true;
    for c in &q.compare {
        let want = match c.target_union.clone().filter(|_| c.result() == api::compare::Result::Equal) {
            Some(TargetUnion::Version(n)) => Want::Version(n),
            Some(TargetUnion::CreateRevision(n)) => Want::Created(n),
            Some(TargetUnion::ModRevision(n)) => Want::Modified(n),
            Some(TargetUnion::Value(v)) => Want::Value(v.to_vec()),
            _ => return Err(unknown()),
        };
        succeeded &= store.holds(&c.key, &want);
    }
    let mut writes = Vec::new();
    for op in if succeeded { q.success } else { q.failure } {
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
    let revision = store.write(now, &writes).map_err(fail)?;
    let header = etcd.header(revision);
    let put = || api::response_op::Response::ResponsePut(api::PutResponse { header });
    let responses = writes.iter().map(|_| api::ResponseOp { response: Some(put()) }).collect();
    Ok(api::TxnResponse { header, succeeded, responses })
}

/// One watch a call: what chalkwalk opens.
async fn watch(asked: &Asked, questions: &mut Questions, reply: &mut Reply) -> Result<(), Fail> {
    use api::watch_request::RequestUnion;
    let gone = || (code::UNAVAILABLE, "the watcher is gone".to_string());
    let create = loop {
        match questions.next::<api::WatchRequest>().await.ok_or_else(gone)?.request_union {
            Some(RequestUnion::CreateRequest(create)) => break create,
            _ => continue,
        }
    };
    let etcd = &asked.site.etcd;
    let (tell, told): (Sender<()>, Receiver<()>) = bounded(1);
    lock(&etcd.watchers).push(tell);
    let said =
        |created| api::WatchResponse { created, header: etcd.header(asked.sees()), ..Default::default() };
    asked.unstalled().await;
    reply.say(&said(true)).await.ok_or_else(gone)?;
    if asked.store().compacted() < create.start_revision
        && let Some(since) = lock(&etcd.without).remove(&asked.proxy)
    {
        lock(&etcd.back).push(asked.site.clock.now().saturating_sub(since));
    }
    let mut next = if create.start_revision > 0 { create.start_revision } else { asked.sees() + 1 };
    loop {
        asked.unstalled().await;
        let sees = asked.sees();
        let found = {
            let store = asked.store();
            store
                .changes(&create.key, &create.range_end, next, sees)
                .map(|items| items.into_iter().cloned().collect::<Vec<Item>>())
        };
        match found {
            Err(Fault::Compacted(revision)) => {
                let last = api::WatchResponse { canceled: true, compact_revision: revision, ..said(false) };
                reply.say(&last).await.ok_or_else(gone)?;
                return Ok(());
            }
            Err(other) => return Err(fail(other)),
            Ok(items) => {
                next = next.max(sees + 1);
                send(asked, reply, &create, sees, &items).await.ok_or_else(gone)?;
            }
        }
        // A change, a question, or, where the endpoint is behind, time.
        let behind = etcd.course.lag(asked.endpoint, asked.site.clock.now()) > 0;
        let step = Duration::from_millis(if behind { 5 } else { 1000 });
        let changed = async {
            smol::future::or(async { _ = told.recv().await }, async { _ = smol::Timer::after(step).await })
                .await;
            Some(None)
        };
        let question = async { questions.next::<api::WatchRequest>().await.map(Some) };
        match smol::future::or(question, changed).await {
            None => return Ok(()),
            Some(None) => {}
            Some(Some(question)) => match question.request_union {
                Some(RequestUnion::CancelRequest(_)) => {
                    reply
                        .say(&api::WatchResponse { canceled: true, ..said(false) })
                        .await
                        .ok_or_else(gone)?;
                    return Ok(());
                }
                Some(RequestUnion::ProgressRequest(_)) if asked.sees() < next => {
                    let at = api::WatchResponse { header: etcd.header(next - 1), ..Default::default() };
                    // Behind, it can't say more than it sees.
                    let at = if asked.sees() < next - 1 { said(false) } else { at };
                    reply.say(&at).await.ok_or_else(gone)?;
                }
                _ => {}
            },
        }
    }
}

async fn send(
    asked: &Asked,
    reply: &mut Reply,
    create: &api::WatchCreateRequest,
    sees: i64,
    items: &[Item],
) -> Option<()> {
    let site = &asked.site;
    let most = if create.fragment { FRAGMENT } else { usize::MAX };
    let parts = items.len().div_ceil(most);
    for (i, part) in items.chunks(most.min(items.len().max(1))).enumerate() {
        let event = |item: &Item| api::Event {
            r#type: if item.value.is_some() { api::event::Kind::Put } else { api::event::Kind::Delete }
                .into(),
            kv: Some(asked.kv(item)),
        };
        let answer = api::WatchResponse {
            header: site.etcd.header(sees),
            fragment: i + 1 < parts,
            events: part.iter().map(event).collect(),
            ..Default::default()
        };
        reply.say(&answer).await?;
        for item in part.iter().filter(|_| asked.reaches()) {
            if let Some(cache) = site.cache_of(&item.key) {
                site.note_told(asked.proxy, cache, item.modified, item.value.as_deref());
            }
        }
    }
    Some(())
}
