//! A call: its caller, and which state of the store its endpoint sees.

use super::stream::{RequestStream, ResponseStream};
use super::writer::fill_proxy_placeholder;
use super::{unary, watch};
use crate::clock::Micros;
use crate::model::store::{Item, Store};
use crate::model::timeline::Reachability;
use crate::simulated_services::SimulatedServices;
use crate::sync::lock;
use bytes::Bytes;
use chalkwalk_etcd_wire::{CONTENT_TYPE, api, path};
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response};
use std::sync::{Arc, MutexGuard};

/// The proxy that made a call and the endpoint that serves it.
#[derive(Clone)]
pub(super) struct CallContext {
    pub services: Arc<SimulatedServices>,
    pub proxy: usize,
    pub endpoint: usize,
}

impl CallContext {
    /// The time of the run.
    pub fn now(&self) -> Micros {
        self.services.clock.now()
    }

    /// The store, locked.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.services.etcd.store)
    }

    /// A response's header.
    pub fn header(&self, revision: i64) -> Option<api::ResponseHeader> {
        self.services.etcd.header(revision)
    }

    /// The latest revision that the endpoint sees.
    pub fn visible_revision(&self) -> i64 {
        let now = self.now();
        let lag = self.services.etcd.timeline.lag(self.endpoint, now);
        let store = self.store();
        if lag == 0 { store.revision() } else { store.revision_at(now.saturating_sub(lag)) }
    }

    /// Whether a response written now reaches the proxy: the link must not be cut.
    pub fn can_reach_proxy(&self) -> bool {
        let zones = self.services.zones();
        let (endpoint, proxy) = (self.endpoint % zones, self.proxy % zones);
        let (reachability, _) = self.services.timelines.zone_reachability(endpoint, proxy, self.now());
        reachability == Reachability::Up
    }

    /// Waits until the cluster no longer stalls.
    pub async fn wait_while_stalled(&self) {
        while let Some(until) = self.services.etcd.timeline.stalled_until(self.now()) {
            self.services.clock.sleep_until(until).await;
        }
    }

    /// A key's state in the form that this proxy reads.
    pub fn key_value(&self, item: &Item) -> api::KeyValue {
        let value = item.value.clone().unwrap_or_default();
        api::KeyValue {
            key: item.key.clone().into(),
            create_revision: item.create_revision,
            mod_revision: item.mod_revision,
            version: item.version,
            value: fill_proxy_placeholder(value, self.proxy).into(),
            lease: item.lease,
        }
    }
}

/// Serves one call, from its headers to its trailers.
pub(super) async fn serve_call(
    context: CallContext,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let path = request.uri().path().to_string();
    let mut requests = RequestStream::new(request.into_body());
    context.wait_while_stalled().await;
    let head = Response::builder().header("content-type", CONTENT_TYPE).body(());
    let Some(Ok(stream)) = head.ok().map(|head| respond.send_response(head, false)) else { return };
    let mut responses = ResponseStream(stream);
    let result = match path.as_str() {
        path::WATCH => watch::serve(&context, &mut requests, &mut responses).await,
        _ => unary::serve(&context, &path, &mut requests, &mut responses).await,
    };
    responses.end(result);
}
