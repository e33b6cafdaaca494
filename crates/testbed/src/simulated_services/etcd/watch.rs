//! A watch: the changes of a range from one revision on, as its endpoint sees them. Each call has
//! one watch, because chalkwalk opens one watch per call.

use super::call::CallContext;
use super::stream::{GrpcError, RequestStream, ResponseStream};
use crate::model::store::{Item, StoreError};
use crate::sync::lock;
use chalkwalk_etcd_wire::api;
use chalkwalk_etcd_wire::api::watch_request::RequestUnion;
use smol::channel::Receiver;
use smol::future::or;
use std::time::Duration;

/// Maximum number of events in a response, where the watcher accepts fragments.
const MAX_FRAGMENT_EVENTS: usize = 40;
/// Time after which a watch checks the store again if no change wakes it.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// The same time for a watch whose endpoint lags.
const LAGGING_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a watch stops waiting.
enum WakeReason {
    /// A change was written, or the check interval has passed.
    Changed,
    /// A request arrived on the watch's stream.
    Request(Option<RequestUnion>),
    /// The watcher closed the stream.
    Closed,
}

struct Watch<'a> {
    context: &'a CallContext,
    responses: &'a mut ResponseStream,
    create: api::WatchCreateRequest,
    /// The next revision to send.
    next_revision: i64,
}

fn watcher_closed() -> GrpcError {
    GrpcError::unavailable("the watcher is gone")
}

/// Serves a watch until it ends.
pub(super) async fn serve(
    context: &CallContext,
    requests: &mut RequestStream,
    responses: &mut ResponseStream,
) -> Result<(), GrpcError> {
    let create = loop {
        let request = requests.next::<api::WatchRequest>().await.ok_or_else(watcher_closed)?;
        if let Some(RequestUnion::CreateRequest(create)) = request.request_union {
            break create;
        }
    };
    let wake_receiver = context.services.etcd.add_watcher();
    context.wait_while_stalled().await;
    let created = api::WatchResponse { created: true, ..response(context) };
    responses.send(&created).await.ok_or_else(watcher_closed)?;
    record_recovery(context, &create);
    let next_revision =
        if create.start_revision > 0 { create.start_revision } else { context.visible_revision() + 1 };
    Watch { context, responses, create, next_revision }.run(requests, &wake_receiver).await
}

/// A response without events, whose header has the revision that the endpoint sees.
fn response(context: &CallContext) -> api::WatchResponse {
    api::WatchResponse { header: context.header(context.visible_revision()), ..Default::default() }
}

/// Records how long a proxy was without its watch, once it has one again; a watch from a compacted
/// revision does not count.
fn record_recovery(context: &CallContext, create: &api::WatchCreateRequest) {
    let etcd = &context.services.etcd;
    if context.store().compacted() < create.start_revision
        && let Some(since) = lock(&etcd.watch_lost_at).remove(&context.proxy)
    {
        lock(&etcd.recovery_times).push(context.now().saturating_sub(since));
    }
}

impl Watch<'_> {
    async fn run(
        mut self,
        requests: &mut RequestStream,
        wake_receiver: &Receiver<()>,
    ) -> Result<(), GrpcError> {
        loop {
            self.context.wait_while_stalled().await;
            let visible = self.context.visible_revision();
            match self.changes(visible) {
                Ok(items) => {
                    self.next_revision = self.next_revision.max(visible + 1);
                    self.send_events(visible, &items).await.ok_or_else(watcher_closed)?;
                }
                Err(StoreError::Compacted(revision)) => return self.cancel(revision).await,
                Err(other) => return Err(other.into()),
            }
            match self.wait(requests, wake_receiver).await {
                WakeReason::Changed => {}
                WakeReason::Closed => return Ok(()),
                WakeReason::Request(Some(RequestUnion::CancelRequest(_))) => return self.cancel(0).await,
                WakeReason::Request(Some(RequestUnion::ProgressRequest(_))) => self.send_progress().await?,
                WakeReason::Request(_) => {}
            }
        }
    }

    fn changes(&self, visible: i64) -> Result<Vec<Item>, StoreError> {
        let store = self.context.store();
        let create = &self.create;
        let items = store.changes(&create.key, &create.range_end, self.next_revision, visible)?;
        Ok(items.into_iter().cloned().collect())
    }

    /// Waits for a change, a request, or the next check of the store.
    async fn wait(&self, requests: &mut RequestStream, wake_receiver: &Receiver<()>) -> WakeReason {
        let lag = self.context.services.etcd.timeline.lag(self.context.endpoint, self.context.now());
        let interval = if lag > 0 { LAGGING_POLL_INTERVAL } else { POLL_INTERVAL };
        let changed = async {
            or(async { _ = wake_receiver.recv().await }, async { _ = smol::Timer::after(interval).await })
                .await;
            WakeReason::Changed
        };
        let request = async {
            match requests.next::<api::WatchRequest>().await {
                Some(request) => WakeReason::Request(request.request_union),
                None => WakeReason::Closed,
            }
        };
        or(request, changed).await
    }

    /// Sends the last response, which ends the watch; after a compaction, it has the revision of
    /// the compaction, otherwise 0.
    async fn cancel(self, compact_revision: i64) -> Result<(), GrpcError> {
        let last = api::WatchResponse { canceled: true, compact_revision, ..response(self.context) };
        self.responses.send(&last).await.ok_or_else(watcher_closed)
    }

    /// Sends a progress response, unless events are waiting to be sent: all events up to its
    /// revision have been sent. The revision is never later than what the endpoint sees.
    async fn send_progress(&mut self) -> Result<(), GrpcError> {
        if self.context.visible_revision() >= self.next_revision {
            return Ok(());
        }
        let is_behind = self.context.visible_revision() < self.next_revision - 1;
        let progress = if is_behind {
            response(self.context)
        } else {
            api::WatchResponse { header: self.context.header(self.next_revision - 1), ..Default::default() }
        };
        self.responses.send(&progress).await.ok_or_else(watcher_closed)
    }

    /// Sends changes, in fragments if the watcher accepts them; `None` if the watcher is gone.
    async fn send_events(&mut self, visible: i64, items: &[Item]) -> Option<()> {
        let limit = if self.create.fragment { MAX_FRAGMENT_EVENTS } else { usize::MAX };
        let fragments = items.len().div_ceil(limit);
        for (i, fragment) in items.chunks(limit.min(items.len().max(1))).enumerate() {
            let response = api::WatchResponse {
                header: self.context.header(visible),
                fragment: i + 1 < fragments,
                events: fragment.iter().map(|item| event(self.context, item)).collect(),
                ..Default::default()
            };
            self.responses.send(&response).await?;
            record_events(self.context, fragment);
        }
        Some(())
    }
}

fn event(context: &CallContext, item: &Item) -> api::Event {
    let kind = if item.value.is_some() { api::event::Kind::Put } else { api::event::Kind::Delete };
    api::Event { r#type: kind.into(), kv: Some(context.key_value(item)) }
}

/// Records the notifications of a proxy by events, if the events reach it.
fn record_events(context: &CallContext, items: &[Item]) {
    let services = &context.services;
    for item in items.iter().filter(|_| context.can_reach_proxy()) {
        let servers = &mut (0..services.origin_index());
        if let Some(server) = servers.find(|server| super::writer::key_of(services, *server) == item.key) {
            services.record_notified(context.proxy, server, item.mod_revision, item.value.as_deref());
        }
    }
}
