//! The state that the parts of one proxy share.

use crate::budget::DescriptorBudget;
use crate::classes::RequestClasses;
use crate::clock::Clock;
use crate::close_schedule::{ClosePosition, CloseTimes, DrainWindow};
use crate::config::EngineConfig;
use crate::effect_sink::Signals;
use crate::lifecycle::{Lifecycle, Phase};
use crate::pool::ConnectionPool;
use crate::request_table::RequestTable;
use crate::response::HealthCheck;
use crate::servers::ServerRegistry;
use crate::violations::{RefusedAttempts, Violations};
use chalkwalk_capture::Recorder;
use chalkwalk_sockets::{MessageMemory, with_deadline};
use chalkwalk_time::Timestamp;
use slog::{Logger, warn};
use smol::LocalExecutor;
use smol::channel::{Receiver, bounded};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// One proxy without its protocols.
pub struct Engine {
    /// The configuration; the cells in it change when the settings are reloaded.
    pub config: EngineConfig,
    /// The request classes and their limits.
    pub classes: RequestClasses,
    /// The proxy's clock.
    pub clock: Clock,
    /// The budget of file descriptors for client and server connections.
    pub budget: DescriptorBudget,
    /// The memory that the messages of all clients and servers may hold.
    pub message_memory: MessageMemory,
    /// The phase of the process, and whether the proxy is ready.
    pub lifecycle: Lifecycle,
    /// The open requests, and the balancer.
    pub requests: RefCell<RequestTable>,
    /// Idle connections to servers.
    pub pool: ConnectionPool,
    /// Checks the health of a server in the server's protocol.
    pub health_check: Box<dyn HealthCheck>,
    /// Runs all tasks of the proxy.
    pub executor: LocalExecutor<'static>,
    /// The proxy's log.
    pub log: Logger,
    /// Counts attempts that were refused right before their first byte.
    pub(crate) refused_attempts: RefusedAttempts,
    /// Counts events that must not happen.
    pub violations: Violations,
    /// Receives a signal when a timer is set that is due before all others.
    pub(crate) earlier_timer: Receiver<()>,
    watch_requested: Receiver<()>,
    open_clients: Cell<usize>,
    accepted_clients: Cell<u64>,
    drain_window: Cell<Option<DrainWindow>>,
    has_received_list: Cell<bool>,
}

impl Engine {
    /// Creates an engine. `recorder`, if given, captures all calls to the balancer.
    pub fn new(
        mut config: EngineConfig,
        health_check: Box<dyn HealthCheck>,
        log: Logger,
        recorder: Option<Recorder>,
    ) -> Rc<Engine> {
        let (earlier_timer, earlier_timer_receiver) = bounded(1);
        let (watch_requested, watch_receiver) = bounded(1);
        let servers = ServerRegistry::new(&config.zones, &config.kinds);
        let classes = RequestClasses::new(
            std::mem::take(&mut config.settings),
            std::mem::take(&mut config.platform_limits),
            config.operator_limits.take(),
        );
        let clock = Clock::default();
        let requests = RequestTable::new(
            config.seed,
            &classes.balancer_settings(),
            servers,
            Signals { earlier_timer, watch_requested },
            log.clone(),
            recorder,
            clock.now(),
        );
        Rc::new(Engine {
            clock,
            budget: DescriptorBudget::new(config.max_descriptors),
            message_memory: MessageMemory::of_process(config.memory_limit_bytes),
            lifecycle: Lifecycle::default(),
            requests: RefCell::new(requests),
            pool: ConnectionPool::new(config.idle_timeout),
            health_check,
            executor: LocalExecutor::new(),
            log,
            refused_attempts: RefusedAttempts::default(),
            violations: Violations::default(),
            earlier_timer: earlier_timer_receiver,
            watch_requested: watch_receiver,
            open_clients: Cell::new(0),
            accepted_clients: Cell::new(0),
            drain_window: Cell::new(None),
            has_received_list: Cell::new(false),
            classes,
            config,
        })
    }

    /// Waits until the balancer requests a watch of the endpoint list.
    pub async fn wait_for_watch_request(&self) {
        _ = self.watch_requested.recv().await;
    }

    /// Discards a pending request for a watch, because a watch has just been made.
    pub fn clear_watch_request(&self) {
        _ = self.watch_requested.try_recv();
    }

    /// Records that a source of the endpoint list has answered since the start.
    pub fn record_list_received(&self) {
        self.has_received_list.set(true);
    }

    /// Whether a source of the endpoint list has answered since the start.
    pub fn has_received_list(&self) -> bool {
        self.has_received_list.get()
    }

    /// Ends the capture, which then contains all calls up to now.
    pub fn stop_capture(&self) {
        self.requests.borrow_mut().stop_capture();
    }

    /// The number of open client connections.
    pub fn open_clients(&self) -> usize {
        self.open_clients.get()
    }

    /// When every response must have been sent; `None` unless the proxy is shutting down.
    pub fn response_deadline(&self) -> Option<Timestamp> {
        self.drain_window.get().map(|window| window.response_deadline)
    }

    /// Starts to drain the proxy after a request to shut down.
    pub(crate) fn begin_drain(&self, window: DrainWindow) {
        self.drain_window.set(Some(window));
        self.lifecycle.enter(Phase::Draining);
    }
}

/// A client's connection. The proxy waits for it to close before the process exits.
pub struct ClientConnection {
    /// The proxy.
    pub engine: Rc<Engine>,
    position: ClosePosition,
}

impl ClientConnection {
    /// Logs that the proxy ends the connection because the client reads too slowly.
    pub fn log_slow_client(&self, written_bytes: u64) {
        warn!(self.engine.log, "response cut off, client too slow"; "written_bytes" => written_bytes);
    }

    /// Registers a connection that was just accepted. It counts as open until it is dropped.
    pub fn new(engine: &Rc<Engine>) -> ClientConnection {
        engine.open_clients.set(engine.open_clients.get() + 1);
        engine.accepted_clients.set(engine.accepted_clients.get() + 1);
        let position = ClosePosition::of_connection(engine.accepted_clients.get());
        ClientConnection { engine: engine.clone(), position }
    }

    fn close_times(&self) -> Option<CloseTimes> {
        let lifecycle = &self.engine.lifecycle;
        self.position.close_times(
            self.engine.drain_window.get(),
            lifecycle.is_superseded(),
            lifecycle.out_of_service_since(),
        )
    }

    /// Whether the next response must announce that the connection closes.
    pub fn must_close(&self) -> bool {
        self.close_times().is_some_and(|times| times.announce_from <= self.engine.clock.now())
    }

    /// Waits until the connection is due to close even if it is idle.
    pub async fn wait_until_close_due(&self) {
        loop {
            // Subscribes before the check, so that no change in between is missed.
            let change = self.engine.lifecycle.changed();
            let Some(CloseTimes { close_idle_from, .. }) = self.close_times() else {
                change.await;
                continue;
            };
            if close_idle_from <= self.engine.clock.now() {
                return;
            }
            _ = with_deadline(self.engine.clock.instant(close_idle_from), change).await;
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.engine.open_clients.set(self.engine.open_clients.get() - 1);
    }
}
