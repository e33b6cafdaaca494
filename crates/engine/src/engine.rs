//! One proxy: what its parts share.

use crate::budget::DescriptorBudget;
use crate::classes::RequestClasses;
use crate::clock::Clock;
use crate::config::EngineConfig;
use crate::lifecycle::{Lifecycle, Phase};
use crate::pool::ConnectionPool;
use crate::requests::RequestTable;
use crate::response::HealthCheck;
use crate::servers::ServerRegistry;
use crate::violations::{RefusedAttempts, Violations};
use chalkwalk_capture::Recorder;
use chalkwalk_sockets::{MemoryBudget, wait_until};
use chalkwalk_time::{Span, Timestamp};
use slog::Logger;
use smol::LocalExecutor;
use smol::channel::{Receiver, bounded};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

pub struct Engine {
    pub config: EngineConfig,
    pub classes: RequestClasses,
    pub clock: Clock,
    pub budget: DescriptorBudget,
    /// For long answers.
    pub response_memory: MemoryBudget,
    pub lifecycle: Lifecycle,
    pub requests: RefCell<RequestTable>,
    pub pool: ConnectionPool,
    pub health_check: Box<dyn HealthCheck>,
    pub executor: LocalExecutor<'static>,
    pub log: Logger,
    /// Attempts that were not written, by why not.
    pub(crate) refused: RefusedAttempts,
    /// What must not happen, counted.
    pub violations: Violations,
    pub(crate) sooner: Receiver<()>,
    wanted: Receiver<()>,
    clients: Cell<usize>, // their open connections
    welcomed: Cell<u64>,
    leaving: Cell<Option<(Timestamp, Timestamp)>>, // since when, and when every answer must be out
    heard_list: Cell<bool>,
}

impl Engine {
    pub fn new(
        mut config: EngineConfig,
        health_check: Box<dyn HealthCheck>,
        log: Logger,
        recorder: Option<Recorder>,
    ) -> Rc<Engine> {
        let (sooner, sooner_told) = bounded(1);
        let (wanted, wanted_told) = bounded(1);
        let servers = ServerRegistry::new(&config.zones, &config.kinds);
        let classes = RequestClasses::new(
            std::mem::take(&mut config.settings),
            std::mem::take(&mut config.platform_limits),
            config.limits.take(),
        );
        let clock = Clock::default();
        let recorder = (recorder, clock.now());
        let requests = RequestTable::new(
            config.seed,
            &classes.balancer_settings(),
            servers,
            (sooner, wanted),
            log.clone(),
            recorder,
        );
        Rc::new(Engine {
            clock,
            budget: DescriptorBudget::new(config.descriptors),
            // A third of the memory: the rest of the proxy needs a few megabytes, and as much again is the system's for
            // what is on its way.
            response_memory: MemoryBudget::new(config.memory / 3),
            lifecycle: Lifecycle::default(),
            requests: RefCell::new(requests),
            pool: ConnectionPool::new(config.idle_timeout),
            health_check,
            executor: LocalExecutor::new(),
            log,
            refused: RefusedAttempts::default(),
            violations: Violations::default(),
            sooner: sooner_told,
            wanted: wanted_told,
            clients: Cell::new(0),
            welcomed: Cell::new(0),
            leaving: Cell::new(None),
            heard_list: Cell::new(false),
            classes,
            config,
        })
    }

    /// Comes to its end when the balancer wants the list watched.
    pub async fn watch_requested(&self) {
        _ = self.wanted.recv().await;
    }

    /// What the balancer wanted by now, it has.
    pub fn clear_watch_request(&self) {
        _ = self.wanted.try_recv();
    }

    /// A source of the list has answered since the start.
    pub fn list_received(&self) {
        self.heard_list.set(true);
    }

    pub fn has_received_list(&self) -> bool {
        self.heard_list.get()
    }

    /// The capture ends, with all that was told by now.
    pub fn stop_capture(&self) {
        self.requests.borrow_mut().stop_capture();
    }

    /// Open connections of clients.
    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    /// When every answer must be out, once the proxy has been told to end.
    pub fn response_deadline(&self) -> Option<Timestamp> {
        self.leaving.get().map(|(_, last)| last)
    }

    /// The proxy has been told to end: since when, and when every answer must be out.
    pub fn leave(&self, told: Timestamp, last: Timestamp) {
        self.leaving.set(Some((told, last)));
        self.lifecycle.enter(Phase::Draining);
    }
}

/// A client's connection among those that the proxy waits for before it ends.
pub struct ClientConnection {
    pub engine: Rc<Engine>,
    /// Its place among those that are closed one after the other when the proxy leaves, in thousandths.
    place: u64,
}

impl ClientConnection {
    pub fn new(engine: &Rc<Engine>) -> ClientConnection {
        engine.clients.set(engine.clients.get() + 1);
        engine.welcomed.set(engine.welcomed.get() + 1);
        // Steps of the golden section lie evenly spread, however many there are.
        ClientConnection { engine: engine.clone(), place: engine.welcomed.get() * 618 % 1000 }
    }

    /// When it is closed: from the first moment on with an answer that says so, at the second though it is idle.
    ///
    /// Told to end, not before two thirds of the time that is left to the proxy, as whoever was restarted before may not be
    /// heard of yet, and not after five sixths, so that what is taken until then is answered; in between one by one, not to
    /// flood the others. Where another process of this proxy has taken over, with answers from the first second on: who
    /// connects again comes to that one, and a connection that is told to close meets no request.
    ///
    /// Out of service, with answers within the first second, and idle within two: the front has heard of it by then, and at
    /// four seconds none may be open that had a request in the last two. Told to end as well, whichever comes first.
    fn turn(&self) -> Option<(Timestamp, Timestamp)> {
        let lifecycle = &self.engine.lifecycle;
        let leaving = self.engine.leaving.get().map(|(told, last)| {
            let late = told + (last - told) * (4000 + self.place) / 6000;
            (if lifecycle.is_superseded() { told + Span::from_ticks(10 * self.place) } else { late }, late)
        });
        let emptied = lifecycle.out_of_service_since().map(|since| {
            (
                since + Span::from_ticks(2000) + Span::from_ticks(8 * self.place),
                since + Span::from_ticks(10_000) + Span::from_ticks(8 * self.place),
            )
        });
        match (leaving, emptied) {
            (Some(a), Some(b)) => Some((a.0.min(b.0), a.1.min(b.1))),
            (a, b) => a.or(b),
        }
    }

    pub fn must_close(&self) -> bool {
        self.turn().is_some_and(|(answered, _)| answered <= self.engine.clock.now())
    }

    /// Comes to its end when it is closed though idle.
    pub async fn close_due(&self) {
        loop {
            let turns = self.engine.lifecycle.changed();
            match self.turn() {
                None => turns.await,
                Some((_, idle)) if idle <= self.engine.clock.now() => return,
                Some((_, idle)) => _ = wait_until(self.engine.clock.instant(idle), turns).await,
            }
        }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.engine.clients.set(self.engine.clients.get() - 1);
    }
}
