//! One proxy: what its parts share.

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
use chalkwalk_sockets::{MemoryBudget, wait_until};
use chalkwalk_time::Timestamp;
use slog::Logger;
use smol::LocalExecutor;
use smol::channel::{Receiver, bounded};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Long responses may take this part of the memory: the rest of the proxy needs a few megabytes,
/// and as much again is the system's for what is on its way.
const RESPONSE_MEMORY_DIVISOR: usize = 3;

/// One proxy without its protocols.
pub struct Engine {
    /// What it was given at its start; its cells change with the settings.
    pub config: EngineConfig,
    /// The limits of requests.
    pub classes: RequestClasses,
    /// The proxy's time.
    pub clock: Clock,
    /// The descriptors that connections need.
    pub budget: DescriptorBudget,
    /// For long responses.
    pub response_memory: MemoryBudget,
    /// The phases of the process.
    pub lifecycle: Lifecycle,
    /// The open requests, and the balancer.
    pub requests: RefCell<RequestTable>,
    /// Idle connections to servers.
    pub pool: ConnectionPool,
    /// How the health of a server is checked.
    pub health_check: Box<dyn HealthCheck>,
    /// All tasks of the proxy.
    pub executor: LocalExecutor<'static>,
    /// The proxy's log.
    pub log: Logger,
    /// Attempts that were not written, counted by why not.
    pub(crate) refused: RefusedAttempts,
    /// What must not happen, counted.
    pub violations: Violations,
    /// A timer is due before the one that is waited for.
    pub(crate) earlier_timer: Receiver<()>,
    watch_requested: Receiver<()>,
    open_clients: Cell<usize>,
    clients_so_far: Cell<u64>,
    drain: Cell<Option<DrainWindow>>,
    has_received_list: Cell<bool>,
}

impl Engine {
    /// An engine that was given this configuration, and checks servers in this way. `recorder`:
    /// where all calls to the balancer are captured.
    pub fn new(
        mut config: EngineConfig,
        health_check: Box<dyn HealthCheck>,
        log: Logger,
        recorder: Option<Recorder>,
    ) -> Rc<Engine> {
        let (earlier_timer, earlier_timer_signal) = bounded(1);
        let (watch_requested, watch_signal) = bounded(1);
        let servers = ServerRegistry::new(&config.zones, &config.kinds);
        let classes = RequestClasses::new(
            std::mem::take(&mut config.settings),
            std::mem::take(&mut config.platform_limits),
            config.limits.take(),
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
            budget: DescriptorBudget::new(config.descriptors),
            response_memory: MemoryBudget::new(config.memory / RESPONSE_MEMORY_DIVISOR),
            lifecycle: Lifecycle::default(),
            requests: RefCell::new(requests),
            pool: ConnectionPool::new(config.idle_timeout),
            health_check,
            executor: LocalExecutor::new(),
            log,
            refused: RefusedAttempts::default(),
            violations: Violations::default(),
            earlier_timer: earlier_timer_signal,
            watch_requested: watch_signal,
            open_clients: Cell::new(0),
            clients_so_far: Cell::new(0),
            drain: Cell::new(None),
            has_received_list: Cell::new(false),
            classes,
            config,
        })
    }

    /// Returns once the balancer wants the endpoint list watched.
    pub async fn watch_requested(&self) {
        _ = self.watch_requested.recv().await;
    }

    /// Whatever watch the balancer wanted by now has been made.
    pub fn clear_watch_request(&self) {
        _ = self.watch_requested.try_recv();
    }

    /// A source of the endpoint list has answered since the start.
    pub fn list_received(&self) {
        self.has_received_list.set(true);
    }

    /// Whether a source of the endpoint list has answered since the start.
    pub fn has_received_list(&self) -> bool {
        self.has_received_list.get()
    }

    /// Ends the capture, with all that happened by now.
    pub fn stop_capture(&self) {
        self.requests.borrow_mut().stop_capture();
    }

    /// How many client connections are open.
    pub fn open_clients(&self) -> usize {
        self.open_clients.get()
    }

    /// When every response must be sent, once the proxy has been asked to shut down.
    pub fn response_deadline(&self) -> Option<Timestamp> {
        self.drain.get().map(|window| window.response_deadline)
    }

    /// The proxy has been asked to shut down.
    pub(crate) fn begin_drain(&self, window: DrainWindow) {
        self.drain.set(Some(window));
        self.lifecycle.enter(Phase::Draining);
    }
}

/// A client's connection among those that the proxy waits for before it ends.
pub struct ClientConnection {
    /// The proxy.
    pub engine: Rc<Engine>,
    position: ClosePosition,
}

impl ClientConnection {
    /// A connection that was just accepted; it counts as open until this is dropped.
    pub fn new(engine: &Rc<Engine>) -> ClientConnection {
        engine.open_clients.set(engine.open_clients.get() + 1);
        engine.clients_so_far.set(engine.clients_so_far.get() + 1);
        let position = ClosePosition::of_connection(engine.clients_so_far.get());
        ClientConnection { engine: engine.clone(), position }
    }

    fn close_times(&self) -> Option<CloseTimes> {
        let lifecycle = &self.engine.lifecycle;
        self.position.close_times(
            self.engine.drain.get(),
            lifecycle.is_superseded(),
            lifecycle.out_of_service_since(),
        )
    }

    /// Whether the next response on it says that it closes.
    pub fn must_close(&self) -> bool {
        self.close_times().is_some_and(|times| times.with_response <= self.engine.clock.now())
    }

    /// Returns once it is to be closed though it is idle.
    pub async fn close_due(&self) {
        loop {
            // Listens before it looks, so that no change between the two is missed.
            let change = self.engine.lifecycle.changed();
            let Some(CloseTimes { when_idle, .. }) = self.close_times() else {
                change.await;
                continue;
            };
            if when_idle <= self.engine.clock.now() {
                return;
            }
            _ = wait_until(self.engine.clock.instant(when_idle), change).await;
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.engine.open_clients.set(self.engine.open_clients.get() - 1);
    }
}
