//! The platform's endpoint list on sockets: calls that get the whole list, and watches that wait
//! for newer versions.

use super::SimulatedServices;
use crate::clock::{MILLISECOND, Micros, SECOND, micros_from_seconds};
use crate::evidence::EventKind;
use crate::experiment::Outage;
use crate::model::server_list::ListedServer;
use crate::model::timeline::EndpointStatus;
use crate::sync::lock;
use crate::wire::{Connection, Message, response_head};
use serde_json::json;
use smol::future::or;
use std::sync::atomic::Ordering;

/// Maximum time that a call waits for its turn; a call that would wait longer is rejected.
const QUEUE_TIMEOUT: Micros = 2 * SECOND;
/// Age of the list in a stale response.
const STALE_AGE: Micros = 5 * SECOND;
/// Maximum wait of a watch, as on the platform.
const MAX_WATCH_WAIT: Micros = 60 * SECOND;
/// Changes within this time after a watch's response count as notified, unless the proxy's next
/// call has arrived before them.
const WATCH_GRACE: Micros = 200 * MILLISECOND;
/// Changes that a call misses because the list no longer answers it count as notified this long
/// after the list stopped answering, or at the end of `SILENT_WAIT_GRACE` if that is later.
const SILENT_CALL_GRACE: Micros = 6 * SECOND;
/// Time from the end of an unanswered call's wait until the changes that it misses count as
/// notified.
const SILENT_WAIT_GRACE: Micros = 2 * SECOND;
const JSON_HEADER: &str = "Content-Type: application/json\r\n";

/// A call's parameters.
struct Call {
    /// When the call was read.
    received_at: Micros,
    /// The version that the caller has; `None` for a call that gets the whole list.
    index: Option<u64>,
    /// How long the call waits for a newer version.
    wait: Micros,
}

impl Call {
    fn new(message: &Message, received_at: Micros) -> Call {
        let parameter = |name: &str| {
            let mut parts = message.target().split(['?', '&']);
            let found = parts.find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            found.and_then(|value| value.parse::<u64>().ok())
        };
        let wait = parameter("wait").unwrap_or(0).saturating_mul(MILLISECOND);
        Call { received_at, index: parameter("index"), wait }
    }
}

/// A response to a call.
struct Answer {
    version: u64,
    /// Whether the response holds an old list although the service has a newer one.
    is_stale: bool,
}

/// A response to a watch.
#[derive(Clone, Copy)]
struct WatchAnswer {
    version: u64,
    called_at: Micros,
    answered_at: Micros,
    /// Number of calls that the proxy had made by the time of the response.
    call_count: usize,
}

/// How a connection continues after a call.
enum AfterCall {
    /// The connection continues. The response is given if the call was a watch.
    Answered(Option<WatchAnswer>),
    /// The connection continues, and the previous response is kept: the call failed, which revokes
    /// no notification.
    Failed,
    /// The connection is closed.
    Close,
}

/// One proxy's connection to the list.
struct ListConnection<'a> {
    services: &'a SimulatedServices,
    proxy: usize,
}

/// Serves calls on a connection until it ends.
pub(super) async fn serve_calls(services: &SimulatedServices, proxy: usize, connection: &mut Connection) {
    let list_connection = ListConnection { services, proxy };
    let mut last_answer = None;
    loop {
        let Some(message) = list_connection.next_message(connection, last_answer).await else { return };
        match list_connection.serve_call(connection, &message).await {
            AfterCall::Answered(answer) => last_answer = answer,
            AfterCall::Failed => {}
            AfterCall::Close => return,
        }
    }
}

impl ListConnection<'_> {
    /// Reads the next call. In the meantime, changes within the grace period of the last response
    /// are recorded.
    async fn next_message(
        &self,
        connection: &mut Connection,
        last_answer: Option<WatchAnswer>,
    ) -> Option<Message> {
        let Some(answer) = last_answer else { return connection.read_request().await.ok() };
        let grace = async {
            self.record_grace_changes(answer).await;
            std::future::pending().await
        };
        let message = or(connection.read_request(), grace).await;
        if message.is_err() {
            self.record_grace_changes(answer).await;
        }
        message.ok()
    }

    async fn serve_call(&self, connection: &mut Connection, message: &Message) -> AfterCall {
        let services = self.services;
        services.list_calls[self.proxy].fetch_add(1, Ordering::Relaxed);
        let call = Call::new(message, services.clock.now());
        if let Some(outage) = services.timelines.list_outage(call.received_at) {
            return self.fail(connection, outage).await;
        }
        let Some(slot) = self.queue_slot(call.received_at) else {
            _ = connection.write(&[response_head(503, 0, "").as_bytes()]).await;
            return AfterCall::Answered(None);
        };
        services.clock.sleep_until(slot).await;
        if connection.is_closed() {
            // The caller closed the connection before its turn: the call notifies the proxy of
            // nothing.
            return AfterCall::Close;
        }
        let newer_exists = |index: u64| index < services.server_list.version(services.clock.now());
        if let Some(index) = call.index.filter(|index| !newer_exists(*index)) {
            if !self.wait(connection, &call, index).await {
                return AfterCall::Close;
            }
            if let Some(outage) = services.timelines.list_outage(services.clock.now()) {
                return self.fail(connection, outage).await;
            }
        }
        let Some(answer) = self.answer(connection, &call).await else { return AfterCall::Close };
        if answer.is_stale {
            // A service that is stale notifies the proxy of nothing until it is up to date again.
            return AfterCall::Answered(None);
        }
        let answered_at = services.clock.now();
        let call_count = services.list_calls[self.proxy].load(Ordering::Relaxed);
        let version = answer.version;
        let answer = WatchAnswer { version, called_at: call.received_at, answered_at, call_count };
        AfterCall::Answered(call.index.map(|_| answer))
    }

    /// The time at which a call is answered, as calls are answered one at a time; `None` if it
    /// would wait longer than [`QUEUE_TIMEOUT`].
    fn queue_slot(&self, now: Micros) -> Option<Micros> {
        let mut free_at = lock(&self.services.list_free_at);
        let at = (*free_at).max(now);
        if at > now + QUEUE_TIMEOUT {
            return None;
        }
        *free_at = at + micros_from_seconds(self.services.experiment.world.list_call_ms / 1e3);
        Some(*free_at)
    }

    /// Waits for a newer version, or until the call's wait ends or the list goes down. Returns
    /// false if the call gets no answer.
    async fn wait(&self, connection: &mut Connection, call: &Call, index: u64) -> bool {
        let services = self.services;
        let newer = services.server_list.next_change(index).unwrap_or(Micros::MAX);
        let outages = services.timelines.list_outages.iter().map(|outage| outage.span.start);
        let next_outage = outages.filter(|at| *at > call.received_at).min().unwrap_or(Micros::MAX);
        let wait = call.wait.min(MAX_WATCH_WAIT);
        let until = newer.min(call.received_at + wait).min(next_outage);
        let silent =
            services.timelines.list_silences.iter().find(|at| (call.received_at..until).contains(at));
        if let Some(from) = silent {
            let notified_from = (from + SILENT_CALL_GRACE).max(call.received_at + wait + SILENT_WAIT_GRACE);
            or(self.record_missed_changes(call.received_at, index, notified_from), connection.wait_closed())
                .await;
            return false;
        }
        let waited = async {
            services.clock.sleep_until(until).await;
            true
        };
        let closed = async {
            connection.wait_closed().await;
            false
        };
        or(waited, closed).await
    }

    /// Makes a call fail in the way that the outage specifies.
    async fn fail(&self, connection: &mut Connection, outage: Outage) -> AfterCall {
        let clock = &self.services.clock;
        match outage {
            Outage::Closes | Outage::Refuses => AfterCall::Close,
            Outage::Unavailable | Outage::UnavailableLate => {
                if outage == Outage::UnavailableLate {
                    clock.sleep_until(clock.now() + QUEUE_TIMEOUT).await;
                }
                let written = connection.write(&[response_head(503, 0, "").as_bytes()]).await;
                if written.is_ok() { AfterCall::Failed } else { AfterCall::Close }
            }
            Outage::Silent => {
                connection.wait_closed().await;
                AfterCall::Close
            }
            Outage::HalfAnswer => {
                let partial_response = response_head(200, 1000, JSON_HEADER) + "{\"version\":";
                _ = connection.write(&[partial_response.as_bytes()]).await;
                connection.wait_closed().await;
                AfterCall::Close
            }
        }
    }

    /// Records the changes that a call misses because the list no longer answers it; they count as
    /// notified from the time `notified_from`, at the earliest.
    async fn record_missed_changes(&self, called_at: Micros, index: u64, notified_from: Micros) {
        let services = self.services;
        let mut version = index;
        while let Some(change) = services.server_list.next_change(version) {
            services.clock.sleep_until(change.max(notified_from)).await;
            let now_version = services.server_list.version(services.clock.now());
            let changes = services.server_list.changes_since(version, now_version);
            self.record_notified(called_at, &changes, services.clock.now());
            version = now_version;
        }
        std::future::pending().await
    }

    /// Records changes after a watch's response: within `WATCH_GRACE` they count as notified to the
    /// process that called. A process that was killed between its call and the response was not
    /// notified by the response, and neither is the process that was started after it. Once the
    /// proxy's next call has arrived, on any connection, that call covers all later changes.
    async fn record_grace_changes(&self, answer: WatchAnswer) {
        let services = self.services;
        let end = answer.answered_at + WATCH_GRACE;
        let mut version = answer.version;
        while let Some(change) = services.server_list.next_change(version).filter(|change| *change <= end) {
            services.clock.sleep_until(change).await;
            if services.list_calls[self.proxy].load(Ordering::Relaxed) != answer.call_count {
                return;
            }
            let next = services.server_list.version(change);
            self.record_notified(
                answer.called_at,
                &services.server_list.changes_since(version, next),
                change,
            );
            version = next;
        }
    }

    /// Records entries as notified to a proxy at that time, unless the process that called has
    /// ended since: what is written to it is not read.
    fn record_notified(&self, called_at: Micros, entries: &[ListedServer], at: Micros) {
        let services = self.services;
        if services.recorder.process_ended_since(self.proxy, called_at) {
            return;
        }
        for entry in entries.iter().filter(|entry| entry.server < services.origin_index()) {
            let is_off = entry.status != EndpointStatus::Ready;
            let kind = EventKind::Notified { server: entry.server as u16, is_off };
            services.recorder.record_at(at, 0, self.proxy, kind);
        }
    }

    /// Answers a call; `None` if the connection is closed.
    async fn answer(&self, connection: &Connection, call: &Call) -> Option<Answer> {
        let services = self.services;
        let now = services.clock.now();
        let is_stale = services.timelines.stale_list_spans.iter().any(|span| span.contains(&now));
        let version =
            services.server_list.version(if is_stale { now.saturating_sub(STALE_AGE) } else { now });
        let full = is_stale || call.index.is_none_or(|index| index > version);
        let entries = match call.index {
            Some(index) if !full => services.server_list.changes_since(index, version),
            _ => services.server_list.snapshot(version),
        };
        let servers: Vec<_> = entries.iter().map(|entry| services.list_entry(self.proxy, entry)).collect();
        let text = json!({"version": version, "full": full, "servers": servers}).to_string();
        let head = response_head(200, text.len(), JSON_HEADER);
        connection.write(&[head.as_bytes(), text.as_bytes()]).await.ok()?;
        if is_stale {
            // A stale response notifies the proxy of nothing new and revokes no earlier
            // notification.
            return Some(Answer { version, is_stale });
        }
        let now = services.clock.now();
        self.record_notified(call.received_at, &entries, now);
        if full {
            self.record_notified(call.received_at, &missing_servers(&entries, services.origin_index()), now);
        }
        Some(Answer { version, is_stale })
    }
}

/// The servers that are missing from the whole list, as entries that say that they are gone.
fn missing_servers(entries: &[ListedServer], servers: usize) -> Vec<ListedServer> {
    (0..servers)
        .filter(|server| !entries.iter().any(|entry| entry.server == *server))
        .map(|server| ListedServer { server, status: EndpointStatus::Gone, started_at: 0 })
        .collect()
}
