//! A fake etcd endpoint with a set of keys, one watch and one lease.

use chalkwalk_etcd_wire::api::watch_request::RequestUnion;
use chalkwalk_etcd_wire::{FrameDecoder, GRPC_STATUS, Message, api, code, encode_frame, path};
use h2::server::{SendResponse, handshake};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use smol::{Async, LocalExecutor};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// The cluster id in the headers of the responses.
const CLUSTER_ID: u64 = 1;

pub struct FakeEtcd<'a> {
    executor: &'a LocalExecutor<'static>,
    listener: Async<TcpListener>,
    pub addr: SocketAddr,
    state: Rc<State>,
}

#[derive(Default)]
struct State {
    revision: Cell<i64>,
    pairs: RefCell<Vec<api::KeyValue>>,
    /// A line for each call so far.
    calls: RefCell<Vec<String>>,
    watch: RefCell<Option<SendStream<bytes::Bytes>>>,
    connection: RefCell<Option<smol::Task<()>>>,
}

impl State {
    fn header(&self) -> Option<api::ResponseHeader> {
        let revision = self.revision.get();
        Some(api::ResponseHeader { cluster_id: CLUSTER_ID, revision, ..api::ResponseHeader::default() })
    }

    fn record_call(&self, call: String) {
        self.calls.borrow_mut().push(call);
    }
}

impl<'a> FakeEtcd<'a> {
    pub fn new(executor: &'a LocalExecutor<'static>) -> FakeEtcd<'a> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let addr = listener.get_ref().local_addr().unwrap();
        FakeEtcd { executor, listener, addr, state: Rc::default() }
    }

    /// Accepts connections; never returns. A new connection replaces the previous one.
    pub async fn serve(&self) {
        loop {
            let (stream, _) = self.listener.accept().await.unwrap();
            let state = self.state.clone();
            let serving = async move {
                let mut connection = handshake(stream.compat()).await.unwrap();
                let calls = LocalExecutor::new();
                let accepting = async {
                    while let Some(Ok((request, respond))) = connection.accept().await {
                        calls.spawn(serve_call(state.clone(), request, respond)).detach();
                    }
                };
                calls.run(accepting).await;
            };
            *self.state.connection.borrow_mut() = Some(self.executor.spawn(serving));
        }
    }

    /// Writes a key, or deletes it if `value` is `None`, and notifies the watch.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let revision = self.state.revision.get() + 1;
        self.state.revision.set(revision);
        let pair = api::KeyValue {
            key: key.as_bytes().to_vec().into(),
            value: value.unwrap_or("").as_bytes().to_vec().into(),
            mod_revision: revision,
            ..api::KeyValue::default()
        };
        let mut pairs = self.state.pairs.borrow_mut();
        pairs.retain(|other| other.key != pair.key);
        if value.is_some() {
            pairs.push(pair.clone());
        }
        let event = api::Event { r#type: i32::from(value.is_none()), kv: Some(pair) };
        let events = vec![event];
        let response =
            api::WatchResponse { header: self.state.header(), events, ..api::WatchResponse::default() };
        if let Some(watch) = &mut *self.state.watch.borrow_mut() {
            watch.send_data(encode_frame(&response), false).unwrap();
        }
    }

    /// Closes the watch and the connection.
    pub fn break_connection(&self) {
        self.state.watch.take();
        self.state.connection.take();
    }

    /// A line for each call so far.
    pub fn calls(&self) -> Vec<String> {
        self.state.calls.borrow().clone()
    }
}

async fn serve_call(state: Rc<State>, request: Request<RecvStream>, mut respond: SendResponse<bytes::Bytes>) {
    let call = request.uri().path().to_string();
    let mut body = request.into_body();
    let head = Response::builder().status(200).body(()).unwrap();
    let mut responses = respond.send_response(head, false).unwrap();
    match call.as_str() {
        path::RANGE => {
            let range: api::RangeRequest = read_message(&mut body).await;
            state.record_call(format!("range at {}", range.revision));
            let kvs = state.pairs.borrow().clone();
            let page = api::RangeResponse { header: state.header(), kvs, more: false, count: 0 };
            send_last_message(responses, &page);
        }
        path::WATCH => {
            let request: api::WatchRequest = read_message(&mut body).await;
            let Some(RequestUnion::CreateRequest(create)) = request.request_union else { return };
            state.record_call(format!("watch from {}", create.start_revision));
            let created =
                api::WatchResponse { header: state.header(), created: true, ..api::WatchResponse::default() };
            responses.send_data(encode_frame(&created), false).unwrap();
            *state.watch.borrow_mut() = Some(responses);
        }
        path::LEASE_GRANT => {
            state.record_call("grant".into());
            send_last_message(
                responses,
                &api::LeaseGrantResponse { id: 42, ..api::LeaseGrantResponse::default() },
            );
        }
        path::PUT => {
            let put: api::PutRequest = read_message(&mut body).await;
            let key = String::from_utf8_lossy(&put.key).into_owned();
            state.record_call(format!("put {key} {} {}", String::from_utf8_lossy(&put.value), put.lease));
            send_last_message(responses, &api::PutResponse::default());
        }
        path::LEASE_KEEP_ALIVE => {
            let renewal: api::LeaseKeepAliveRequest = read_message(&mut body).await;
            state.record_call(format!("keep alive {}", renewal.id));
            send_last_message(
                responses,
                &api::LeaseKeepAliveResponse { ttl: 1, ..api::LeaseKeepAliveResponse::default() },
            );
        }
        path::LEASE_REVOKE => {
            let revoke: api::LeaseRevokeRequest = read_message(&mut body).await;
            state.record_call(format!("revoke {}", revoke.id));
            send_last_message(responses, &api::LeaseRevokeResponse::default());
        }
        other => panic!("unexpected call {other}"),
    }
}

async fn read_message<M: Message + Default>(body: &mut RecvStream) -> M {
    let mut decoder = FrameDecoder::new(1 << 20);
    loop {
        if let Some(message) = decoder.next_message().unwrap() {
            return message;
        }
        decoder.push(&body.data().await.unwrap().unwrap());
    }
}

fn send_last_message(mut responses: SendStream<bytes::Bytes>, message: &impl Message) {
    responses.send_data(encode_frame(message), false).unwrap();
    let mut trailers = HeaderMap::new();
    trailers.insert(GRPC_STATUS, HeaderValue::from_static(code::OK));
    responses.send_trailers(trailers).unwrap();
}
