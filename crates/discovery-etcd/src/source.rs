//! The source, which connects to one endpoint after the other and runs a session on each until it
//! ends.

use crate::announcement::Announcement;
use crate::call::Connection;
use crate::error::SessionError;
use crate::live_proxies::LiveProxies;
use crate::machine::{ConnectAttempt, Machine};
use chalkwalk_discovery_feed::Feed;
use chalkwalk_engine::engine::Engine;
use chalkwalk_time::Span;
use slog::info;
use smol::Timer;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An etcd cluster as the source of a feed.
pub struct EtcdSource {
    pub(crate) feed: Rc<Feed>,
    endpoints: Vec<SocketAddr>,
    /// Decides on the requests, for all connections.
    pub(crate) machine: RefCell<Machine>,
    /// This proxy's own key, if the proxies count each other through etcd.
    pub(crate) announcement: Option<Announcement>,
    pub(crate) live_proxies: RefCell<LiveProxies>,
}

impl EtcdSource {
    /// Creates a source that reads all keys with the prefix. It does not open a connection yet.
    pub fn new(
        engine: &Rc<Engine>,
        feed: Rc<Feed>,
        endpoints: Vec<SocketAddr>,
        prefix: &str,
        announcement: Option<Announcement>,
    ) -> Rc<EtcdSource> {
        let machine = RefCell::new(Machine::new(prefix, endpoints.len(), engine.config.seed));
        Rc::new(EtcdSource { feed, endpoints, machine, announcement, live_proxies: RefCell::default() })
    }

    /// Keeps the feed up to date; never returns.
    pub async fn run(self: Rc<EtcdSource>) {
        let mut attempt = self.machine.borrow().first_attempt();
        loop {
            Timer::after(Duration::from(attempt.delay)).await;
            attempt = self.try_endpoint(attempt.endpoint_index).await;
        }
    }

    /// Connects to an endpoint and runs a session until it fails; returns the next attempt.
    async fn try_endpoint(&self, endpoint_index: usize) -> ConnectAttempt {
        let engine = &self.feed.engine;
        let addr = self.endpoints[endpoint_index];
        let started_at = engine.clock.now();
        let error = match Connection::open(&engine.executor, addr).await {
            Ok(connection) => self.run_session(&connection).await,
            Err(error) => error.into(),
        };
        self.feed.source_unavailable(&format!("{addr}: {error}"));
        let elapsed = engine.clock.now() - started_at;
        let next_attempt = self.next_attempt(&error, elapsed);
        info!(engine.log, "etcd call failed"; "endpoint" => %addr, "fault" => %error,
            "took_ms" => elapsed.as_millis(), "next" => %self.endpoints[next_attempt.endpoint_index],
            "rest_ms" => next_attempt.delay.as_millis());
        next_attempt
    }

    fn next_attempt(&self, error: &SessionError, elapsed: Span) -> ConnectAttempt {
        let mut machine = self.machine.borrow_mut();
        match error {
            SessionError::ListRejected(_) => machine.list_rejected(),
            _ => machine.connection_failed(elapsed),
        }
    }
}
