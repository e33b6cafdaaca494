//! A baseline's connections: with clients, where it breaks its rule, and with the list.

use super::BrokenRule;
use super::proxy::Proxy;
use crate::wire::{Connection, Message, response_head};
use serde_json::Value;
use smol::{Async, Timer};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A rule is broken in every so many requests.
const BREAK_EVERY: u64 = 50;
/// For how long a refusal is held back.
const HOLD_TIME: Duration = Duration::from_millis(600);
/// What a request that is sent again gets.
const RESEND_TIME: Duration = Duration::from_secs(1);
/// Before the list is called again after a failure.
const LIST_RETRY: Duration = Duration::from_millis(500);

impl Proxy {
    /// One connection with a client, to its end.
    pub(super) async fn serve(self: Rc<Self>, mut connection: Connection) {
        while let Ok(request) = connection.read_request().await {
            let goes_on = if request.target() == "/up" {
                self.answer_up(&connection).await
            } else {
                self.serve_request(&connection, &request).await
            };
            if goes_on.is_none() {
                return;
            }
        }
    }

    async fn answer_up(&self, connection: &Connection) -> Option<()> {
        let status = if self.accepting.get() { 200 } else { 503 };
        connection.write(&[response_head(status, 0, "").as_bytes()]).await.ok()
    }

    /// Answers a request; `None` where the connection ends.
    async fn serve_request(&self, connection: &Connection, request: &Message) -> Option<()> {
        // Of those that it can be broken for: else chance decides whether it is broken at all.
        let is_tagged = request.field("Idempotency-Key").is_some();
        let counts = is_tagged || self.broken != BrokenRule::Resend;
        self.count.set(self.count.get() + u64::from(counts));
        let breaks_now = self.count.get().is_multiple_of(BREAK_EVERY);
        let breaks = |rule: BrokenRule| self.broken == rule && breaks_now;
        self.in_flight.set(self.in_flight.get() + 1);
        let written = match self.answer(request).await {
            Ok(_) if breaks(BrokenRule::Lose) => {
                self.in_flight.set(self.in_flight.get() - 1);
                return None;
            }
            Ok(value) => self.write_value(connection, &value, breaks_now).await,
            Err(status) => self.write_refusal(connection, status).await,
        };
        if breaks(BrokenRule::Resend) && is_tagged {
            self.resend(request).await;
        }
        self.in_flight.set(self.in_flight.get() - 1);
        (written.is_ok() && !request.close && self.accepting.get()).then_some(())
    }

    async fn write_value(
        &self,
        connection: &Connection,
        value: &Message,
        breaks_now: bool,
    ) -> std::io::Result<()> {
        let mut body = value.body().to_vec();
        if self.broken == BrokenRule::Swap {
            let last = self.last.replace(body.clone());
            if breaks_now && !last.is_empty() {
                body = last;
            }
        }
        let close = if self.accepting.get() { "" } else { "Connection: close\r\n" };
        let head = response_head(200, body.len(), close);
        if self.broken == BrokenRule::Twice && breaks_now {
            _ = connection.write(&[head.as_bytes(), &body]).await;
        }
        connection.write(&[head.as_bytes(), &body]).await
    }

    async fn write_refusal(&self, connection: &Connection, status: u16) -> std::io::Result<()> {
        if self.broken == BrokenRule::Hold {
            Timer::after(HOLD_TIME).await;
        }
        let extra = if status == 503 { "Retry-After: 0.5\r\n" } else { "" };
        connection.write(&[response_head(status, 0, extra).as_bytes()]).await
    }

    async fn resend(&self, request: &Message) {
        let server = self.endpoints.borrow().server_outside_origin_zone();
        if let Some(addr) = server {
            self.attempt(addr, request, Instant::now() + RESEND_TIME).await;
        }
    }

    /// Follows the list by its watch, from the whole of it on after each failure.
    pub(super) async fn follow_list(self: Rc<Self>) {
        loop {
            if let Ok(stream) = Async::<TcpStream>::connect(self.list).await {
                self.watch_list(Connection::new(stream)).await;
            }
            Timer::after(LIST_RETRY).await;
        }
    }

    /// One connection to the list, until it fails.
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
