//! HTTP connections to servers and the origin: attempts, one at a time, and health checks.

use super::body::body;
use super::decide::Attempt;
use super::{ConnectionCount, SimulatedServices};
use crate::clock::{MILLISECOND, Micros, micros_from_seconds};
use crate::evidence::{ClientRequest, EventKind, RequestId};
use crate::model::server::{PlannedReply, Reply};
use crate::wire::{Connection, Message, ReadError, response_head};
use smol::Timer;
use smol::future::or;
use std::time::Duration;

/// Processing time of a health check.
const HEALTH_CHECK_WORK: Micros = MILLISECOND / 2;
const HIT: &str = "X-Lookup: hit\r\n";
const MISS: &str = "X-Lookup: miss\r\n";
/// Bytes that are sent in place of a response and are not a valid response.
const GARBAGE: &[u8] = b"HTP/7.1 OK 200\x00\x01\r\n\r\n";
/// Number of bytes of the value that follow the garbage.
const GARBAGE_VALUE_BYTES: usize = 32;

/// The server's end of a connection from a proxy.
struct ServerConnection<'a> {
    services: &'a SimulatedServices,
    server: usize,
    proxy: usize,
    /// Whether the server's connection limit was reached before this connection.
    over_limit: bool,
    /// Whether no attempt has been received on the connection yet.
    is_first_attempt: bool,
}

/// Serves attempts on a connection until it ends.
pub(super) async fn serve_attempts(
    services: &SimulatedServices,
    server: usize,
    proxy: usize,
    connection: &mut Connection,
) {
    let world = &services.experiment.world;
    let limit =
        if server == services.origin_index() { world.origin_connections } else { world.max_connections };
    let count = ConnectionCount::new(&services.connections[server]);
    let over_limit = count.open_before >= limit;
    let mut server_connection =
        ServerConnection { services, server, proxy, over_limit, is_first_attempt: true };
    while server_connection.serve_next(connection).await.is_some() {}
}

/// Waits until the planned reply is due. Returns false if the peer closes the connection first.
pub(super) async fn wait_until_due(
    services: &SimulatedServices,
    connection: &mut Connection,
    plan: &PlannedReply,
) -> bool {
    let due = async {
        match plan.reply {
            Reply::NoReply => std::future::pending().await,
            _ => services.clock.sleep_until(plan.due_at).await,
        }
        true
    };
    let closed = async {
        connection.wait_closed().await;
        false
    };
    or(due, closed).await
}

/// Whether the connection is closed after a reply. If it ends with a reset, this prepares the
/// socket for it.
pub(super) fn closes_connection(connection: &Connection, plan: &PlannedReply) -> bool {
    if plan.reply == Reply::Reset {
        _ = socket2::SockRef::from(connection.stream.get_ref()).set_linger(Some(Duration::ZERO));
    }
    matches!(plan.reply, Reply::Reset | Reply::Truncated | Reply::Garbage)
}

async fn respond(
    connection: &Connection,
    status: u16,
    extra_lines: &str,
    body: &[u8],
) -> std::io::Result<()> {
    connection.write(&[response_head(status, body.len(), extra_lines).as_bytes(), body]).await
}

impl ServerConnection<'_> {
    /// Serves one request; `None` if the connection ends.
    async fn serve_next(&mut self, connection: &mut Connection) -> Option<()> {
        self.wait_for_bytes(connection).await?;
        let started_at = self.services.clock.now();
        let message = match connection.read_request().await {
            Ok(message) => message,
            Err(ReadError::Malformed) => {
                _ = respond(connection, 400, "", b"").await;
                return None;
            }
            Err(_) => return None,
        };
        if message.target() == "/alive" {
            return self.answer_health_check(connection).await;
        }
        let (id, request) = self.identify(connection, &message).await?;
        self.record_at(started_at, id, EventKind::AttemptStarted { server: self.server as u16 });
        connection.open_attempt = Some(id);
        let plan = self.plan(&message, id, &request);
        self.reply(connection, id, &request, plan).await
    }

    fn record_at(&self, at: Micros, id: RequestId, kind: EventKind) {
        self.services.recorder.record_at(at, id, self.proxy, kind);
    }

    /// Waits for the first bytes of the next message, at most for the time after which a server
    /// closes an idle connection.
    async fn wait_for_bytes(&self, connection: &mut Connection) -> Option<()> {
        if !connection.buffered.is_empty() {
            return Some(());
        }
        let idle = Duration::from_secs_f64(self.services.experiment.world.idle_timeout_s);
        let idle_timeout = async {
            Timer::after(idle).await;
            Ok(0)
        };
        matches!(or(connection.read_more(), idle_timeout).await, Ok(1..)).then_some(())
    }

    async fn answer_health_check(&self, connection: &Connection) -> Option<()> {
        let services = self.services;
        let is_origin = self.server == services.origin_index();
        let speed = if is_origin {
            &services.timelines.origin
        } else {
            &services.timelines.servers[self.server].speed
        };
        services.clock.sleep_until(speed.completion(services.clock.now(), HEALTH_CHECK_WORK)).await;
        respond(connection, 200, "", b"").await.ok()
    }

    /// Finds the client request that an attempt belongs to. An attempt that belongs to none is
    /// recorded and rejected.
    async fn identify(
        &self,
        connection: &Connection,
        message: &Message,
    ) -> Option<(RequestId, ClientRequest)> {
        let id = message.field("X-Correlation-Id").and_then(|id| RequestId::from_str_radix(id, 16).ok());
        if let Some((id, request)) = id.and_then(|id| Some((id, self.services.recorder.request(id)?))) {
            return Some((id, request));
        }
        let unknown = EventKind::UnknownRequest { server: self.server as u16 };
        self.services.recorder.record(id.unwrap_or(0), self.proxy, unknown);
        _ = respond(connection, if id.is_some() { 400 } else { 404 }, "", b"").await;
        None
    }

    /// Decides the outcome of an attempt that was received completely.
    fn plan(&mut self, message: &Message, id: RequestId, request: &ClientRequest) -> PlannedReply {
        let now = self.services.clock.now();
        let server = self.server;
        let is_write = message.method() == "PUT";
        self.record_at(now, id, EventKind::AttemptReceived { server: server as u16, is_write });
        let mut plan = if self.over_limit {
            PlannedReply::no_effect(Reply::Unprocessed, now)
        } else {
            let tag = message.field("Idempotency-Key").map(str::as_bytes);
            self.services.decide(&Attempt { server, proxy: self.proxy, now, id, request, is_write, tag })
        };
        if std::mem::take(&mut self.is_first_attempt) {
            let handshake = micros_from_seconds(self.services.experiment.world.handshake_ms / 1e3);
            plan.due_at = plan.due_at.saturating_add(handshake);
        }
        plan
    }

    async fn reply(
        &self,
        connection: &mut Connection,
        id: RequestId,
        request: &ClientRequest,
        plan: PlannedReply,
    ) -> Option<()> {
        let services = self.services;
        let server = self.server as u16;
        let was_due = wait_until_due(services, connection, &plan).await;
        connection.open_attempt = None;
        if !was_due {
            services.recorder.record(id, self.proxy, EventKind::AttemptAborted { server });
            return None;
        }
        // Recorded with the time before the write, because the proxy may act on the reply before
        // the write returns.
        let replied = services.clock.now();
        if self.write_reply(connection, id, request, &plan).await.is_err() {
            services.recorder.record(id, self.proxy, EventKind::AttemptAborted { server });
            return None;
        }
        self.record_at(replied, id, EventKind::Replied { server, reply: plan.reply });
        (!closes_connection(connection, &plan) && !self.over_limit).then_some(())
    }

    /// Writes the planned reply; fails if the peer has closed the connection.
    async fn write_reply(
        &self,
        connection: &Connection,
        id: RequestId,
        request: &ClientRequest,
        plan: &PlannedReply,
    ) -> std::io::Result<()> {
        let services = self.services;
        if plan.interim {
            connection.write(&[b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"]).await?;
        }
        let bytes = services.experiment.classes[request.class_index].bytes;
        let value = || body(id, request.key, self.server, bytes);
        match plan.reply {
            Reply::Hit => respond(connection, 200, HIT, &value()).await,
            Reply::Fetched if self.server == services.origin_index() => {
                services.store_fetched(id, request);
                respond(connection, 200, "", &value()).await
            }
            Reply::Fetched => respond(connection, 200, MISS, &value()).await,
            Reply::Miss => respond(connection, 404, MISS, b"").await,
            Reply::Error => respond(connection, 500, "", b"").await,
            Reply::Unprocessed => respond(connection, 503, "X-Unprocessed: 1\r\n", b"").await,
            Reply::Truncated => {
                let value = value();
                let head = response_head(200, value.len(), HIT);
                connection.write(&[head.as_bytes(), &value[..value.len() / 2]]).await
            }
            Reply::Garbage => connection.write(&[GARBAGE, &value()[..GARBAGE_VALUE_BYTES]]).await,
            Reply::NoReply | Reply::Reset => Ok(()),
        }
    }
}
