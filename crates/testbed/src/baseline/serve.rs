//! A baseline proxy's connections: those with clients, on which it breaks its rule, and the one
//! with the endpoint list's server.

use super::BrokenRule;
use super::proxy::Proxy;
use crate::wire::{Connection, Message, response_head};
use serde_json::Value;
use smol::{Async, Timer};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The rule is broken once in this many requests.
const REQUESTS_PER_BREACH: u64 = 50;
/// How long a refusal is delayed.
const REFUSAL_DELAY: Duration = Duration::from_millis(600);
/// The time limit of a request that is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before the list is requested again after a failure.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Proxy {
    /// Serves the requests of one client connection until it closes.
    pub(super) async fn serve(self: Rc<Self>, mut connection: Connection) {
        while let Ok(request) = connection.read_request().await {
            let keep_open = if request.target() == "/up" {
                self.answer_up(&connection).await
            } else {
                self.serve_request(&connection, &request).await
            };
            if keep_open.is_none() {
                return;
            }
        }
    }

    async fn answer_up(&self, connection: &Connection) -> Option<()> {
        let status = if self.accepting.get() { 200 } else { 503 };
        connection.write(&[response_head(status, 0, "").as_bytes()]).await.ok()
    }

    /// Answers a request; returns `None` if the connection has to be closed.
    async fn serve_request(&self, connection: &Connection, request: &Message) -> Option<()> {
        // Only requests for which the rule can be broken are counted. If all were counted, it would
        // be left to chance whether a run breaks the rule at all.
        let is_tagged = request.field("Idempotency-Key").is_some();
        let is_counted = is_tagged || self.broken_rule != BrokenRule::ResendAnswered;
        self.request_count.set(self.request_count.get() + u64::from(is_counted));
        let is_breach_due = self.request_count.get().is_multiple_of(REQUESTS_PER_BREACH);
        let breaks_rule = |rule: BrokenRule| self.broken_rule == rule && is_breach_due;
        self.in_flight.set(self.in_flight.get() + 1);
        let written = match self.answer(request).await {
            Ok(_) if breaks_rule(BrokenRule::DropAnswer) => {
                self.in_flight.set(self.in_flight.get() - 1);
                return None;
            }
            Ok(value) => self.write_value(connection, &value, is_breach_due).await,
            Err(status) => self.write_refusal(connection, status).await,
        };
        if breaks_rule(BrokenRule::ResendAnswered) && is_tagged {
            self.resend(request).await;
        }
        self.in_flight.set(self.in_flight.get() - 1);
        (written.is_ok() && !request.close && self.accepting.get()).then_some(())
    }

    async fn write_value(
        &self,
        connection: &Connection,
        value: &Message,
        is_breach_due: bool,
    ) -> std::io::Result<()> {
        let mut body = value.body().to_vec();
        if self.broken_rule == BrokenRule::SwapValues {
            let last_value = self.last_value.replace(body.clone());
            if is_breach_due && !last_value.is_empty() {
                body = last_value;
            }
        }
        let close = if self.accepting.get() { "" } else { "Connection: close\r\n" };
        let head = response_head(200, body.len(), close);
        if self.broken_rule == BrokenRule::AnswerTwice && is_breach_due {
            _ = connection.write(&[head.as_bytes(), &body]).await;
        }
        connection.write(&[head.as_bytes(), &body]).await
    }

    async fn write_refusal(&self, connection: &Connection, status: u16) -> std::io::Result<()> {
        if self.broken_rule == BrokenRule::DelayRefusals {
            Timer::after(REFUSAL_DELAY).await;
        }
        let extra = if status == 503 { "Retry-After: 0.5\r\n" } else { "" };
        connection.write(&[response_head(status, 0, extra).as_bytes()]).await
    }

    async fn resend(&self, request: &Message) {
        let server = self.endpoints.borrow().server_outside_origin_zone();
        if let Some(addr) = server {
            self.attempt_ignoring_result(addr, request, Instant::now() + RESEND_TIMEOUT).await;
        }
    }

    /// Keeps the endpoint list up to date with long polls, and requests the full list after each
    /// failure.
    pub(super) async fn follow_list(self: Rc<Self>) {
        loop {
            if let Ok(stream) = Async::<TcpStream>::connect(self.list_addr).await {
                self.watch_list(Connection::new(stream)).await;
            }
            Timer::after(LIST_RETRY_DELAY).await;
        }
    }

    /// Polls the list over one connection until a call fails.
    async fn watch_list(&self, mut connection: Connection) -> Option<()> {
        let mut version: Option<u64> = None;
        loop {
            let target = match version {
                Some(version) => format!("/discovery/hosts?index={version}&wait=10000"),
                None => "/discovery/hosts".to_string(),
            };
            let head = format!("GET {target} HTTP/1.1\r\nHost: list\r\n\r\n");
            connection.write(&[head.as_bytes()]).await.ok()?;
            let response = connection.read_response().await.ok()?;
            if response.status != 200 {
                return None;
            }
            let list: Value = serde_json::from_slice(response.body()).ok()?;
            version = Some(self.apply_list(&list)?);
        }
    }
}
