//! Calls with one request and one response, and the renewal of leases, which is a stream.

use super::KEY_PREFIX;
use super::call::CallContext;
use super::stream::{GrpcError, RequestStream, ResponseStream};
use super::txn;
use super::writer::key_of;
use crate::clock::Micros;
use crate::model::etcd::QUORUM_TIMEOUT;
use crate::model::store::{Item, Write};
use crate::sync::lock;
use chalkwalk_etcd_wire::{Message, api, path};
use std::time::Duration;

/// Interval at which an endpoint that lags checks the store.
const LAG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves the call that a path names.
pub(super) async fn serve(
    context: &CallContext,
    path: &str,
    requests: &mut RequestStream,
    responses: &mut ResponseStream,
) -> Result<(), GrpcError> {
    let now = context.now();
    if path.starts_with("/etcdserverpb.Lease/") {
        let delay = context.services.etcd.timeline.lease_delay(now);
        context.services.clock.sleep_until(now + delay).await;
    }
    let mut responder = Responder { context, responses };
    match path {
        path::RANGE => responder.send(range(context, &requests.single().await?).await?).await,
        path::PUT => responder.send(put(context, requests.single().await?, now)?).await,
        path::DELETE_RANGE => responder.send(delete_range(context, requests.single().await?, now)?).await,
        path::TXN => responder.send(txn::run(context, requests.single().await?, now)?).await,
        path::COMPACT => responder.send(compact(context, requests.single().await?)?).await,
        path::LEASE_GRANT => responder.send(grant(context, requests.single().await?)).await,
        path::LEASE_REVOKE => responder.send(revoke(context, requests.single().await?, now)?).await,
        path::LEASE_KEEP_ALIVE => {
            while let Some(request) = requests.next::<api::LeaseKeepAliveRequest>().await {
                responder.send(keep_alive(context, request)).await?;
            }
            Ok(())
        }
        _ => Err(GrpcError::unimplemented("unknown method")),
    }
}

/// Sends responses, and holds them back while the cluster stalls.
struct Responder<'a> {
    context: &'a CallContext,
    responses: &'a mut ResponseStream,
}

impl Responder<'_> {
    async fn send(&mut self, response: impl Message) -> Result<(), GrpcError> {
        self.context.wait_while_stalled().await;
        let sent = self.responses.send(&response).await;
        sent.ok_or_else(|| GrpcError::unavailable("no question"))
    }
}

fn put(context: &CallContext, request: api::PutRequest, now: Micros) -> Result<api::PutResponse, GrpcError> {
    let write = Write::Put { key: request.key.to_vec(), value: request.value.to_vec(), lease: request.lease };
    let revision = context.store().write(now, &[write])?;
    context.services.etcd.wake_watchers();
    Ok(api::PutResponse { header: context.header(revision) })
}

fn delete_range(
    context: &CallContext,
    request: api::DeleteRangeRequest,
    now: Micros,
) -> Result<api::DeleteRangeResponse, GrpcError> {
    let (revision, deleted) = {
        let mut store = context.store();
        let deleted = store.range(&request.key, &request.range_end, 0, 0)?.0.len() as i64;
        let write = Write::Delete { key: request.key.to_vec(), end: request.range_end.to_vec() };
        (store.write(now, &[write])?, deleted)
    };
    context.services.etcd.wake_watchers();
    Ok(api::DeleteRangeResponse { header: context.header(revision), deleted })
}

fn compact(
    context: &CallContext,
    request: api::CompactionRequest,
) -> Result<api::CompactionResponse, GrpcError> {
    let mut store = context.store();
    store.compact(request.revision)?;
    Ok(api::CompactionResponse { header: context.header(store.revision()) })
}

fn grant(context: &CallContext, request: api::LeaseGrantRequest) -> api::LeaseGrantResponse {
    let lease = context.store().grant(context.now(), request.ttl);
    api::LeaseGrantResponse {
        header: context.header(context.visible_revision()),
        id: lease.id,
        ttl: lease.ttl_s,
        error: String::new(),
    }
}

fn revoke(
    context: &CallContext,
    request: api::LeaseRevokeRequest,
    now: Micros,
) -> Result<api::LeaseRevokeResponse, GrpcError> {
    context.store().revoke(now, request.id)?;
    context.services.etcd.wake_watchers();
    Ok(api::LeaseRevokeResponse { header: context.header(context.visible_revision()) })
}

fn keep_alive(context: &CallContext, request: api::LeaseKeepAliveRequest) -> api::LeaseKeepAliveResponse {
    let ttl = context.store().keep_alive(context.now(), request.id);
    api::LeaseKeepAliveResponse { header: context.header(context.visible_revision()), id: request.id, ttl }
}

async fn range(context: &CallContext, request: &api::RangeRequest) -> Result<api::RangeResponse, GrpcError> {
    if !request.serializable {
        wait_for_newest(context).await?;
    }
    let visible = context.visible_revision();
    let revision = if request.revision > 0 { request.revision } else { visible };
    let (items, more) = {
        let store = context.store();
        let limit = request.limit.max(0) as usize;
        let (items, more) = store.range(&request.key, &request.range_end, revision, limit)?;
        (items.into_iter().cloned().collect::<Vec<Item>>(), more)
    };
    let kvs: Vec<api::KeyValue> = items.iter().map(|item| context.key_value(item)).collect();
    // The proxy is notified when the response is written: servers that are missing from the whole
    // list are gone.
    if request.key.as_ref() == KEY_PREFIX.as_bytes() && !more && context.can_reach_proxy() {
        record_snapshot(context, &items, visible);
    }
    let count = kvs.len() as i64;
    Ok(api::RangeResponse { header: context.header(visible), kvs, more, count })
}

/// Waits until the endpoint sees all that was written before, as a linearizable read does. Fails
/// after [`QUORUM_TIMEOUT`].
async fn wait_for_newest(context: &CallContext) -> Result<(), GrpcError> {
    let start = context.now();
    let newest = context.store().revision();
    while context.visible_revision() < newest {
        if context.now() > start + QUORUM_TIMEOUT {
            return Err(GrpcError::unavailable("etcdserver: request timed out"));
        }
        smol::Timer::after(LAG_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Records the notifications of a proxy by the whole list.
fn record_snapshot(context: &CallContext, items: &[Item], revision: i64) {
    let (services, proxy) = (&context.services, context.proxy);
    let cluster_id = *lock(&services.etcd.cluster_id);
    let last_cluster_id = lock(&services.etcd.known_cluster_ids).insert(proxy, cluster_id);
    let cluster_changed = last_cluster_id.is_some_and(|last_cluster_id| last_cluster_id != cluster_id);
    for server in 0..services.origin_index() {
        let key = key_of(services, server);
        let item = items.iter().find(|item| item.key == key);
        // A server that is missing after a restore was not deleted, because no delete of it was
        // written.
        if cluster_changed && item.is_none() {
            continue;
        }
        let value = item.and_then(|item| item.value.as_deref());
        services.record_notified(proxy, server, revision, value);
    }
}
