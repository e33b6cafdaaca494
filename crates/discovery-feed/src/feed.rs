//! From what a source reads to what the engine is notified of.
//!
//! A source reports lists, changes and proxy counts here; what it can't read it reports as
//! rejected, and that it can't be reached as unavailable. The decisions are the reconciler's.

use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_membership::format::AllowedNames;
use chalkwalk_membership::proxy_count::ProxyCount;
use chalkwalk_membership::reconcile::{
    ListError, ListUpdate, ReconcileEvent, Reconciler, RevisionedChange, SourceKind,
};
use chalkwalk_membership::{ListEntry, ListedEndpoint};
use chalkwalk_time::Timestamp;
use slog::{info, warn};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Counts of proxies fall by themselves; they are looked at once in so long.
const COUNT_INTERVAL: Duration = Duration::from_secs(5);

/// The one list of a process, fed by one source.
pub struct Feed {
    /// What is notified, with its clock and its log.
    pub engine: Rc<Engine>,
    /// The zones and kinds that the source may name.
    pub allowed_names: AllowedNames,
    reconciler: RefCell<Reconciler>,
    proxy_count: RefCell<ProxyCount>,
    /// By how many proxies the balancer divides now.
    sharing_proxies: Cell<u64>,
    /// Where the list is persisted, if the operator configures it.
    pub(crate) persistence_path: Option<PathBuf>,
    /// Whether the list has changed since it was last written to disk.
    pub(crate) unpersisted: Cell<bool>,
    rejections: Cell<u64>,
    unavailable: Cell<bool>,
    /// Wakes the timers: the next deadline may be sooner than the one that is waited for.
    wake_timers: Sender<()>,
    timers_woken: Receiver<()>,
}

impl Feed {
    /// A feed of the engine, without any list yet.
    pub fn new(engine: &Rc<Engine>, source: SourceKind, persistence_path: Option<PathBuf>) -> Rc<Feed> {
        let (wake_timers, timers_woken) = bounded(1);
        let configured = engine.classes.proxy_count();
        let allowed_names =
            AllowedNames { zones: engine.config.zones.clone(), kinds: engine.config.kinds.clone() };
        Rc::new(Feed {
            engine: engine.clone(),
            allowed_names,
            reconciler: RefCell::new(Reconciler::new(source)),
            proxy_count: RefCell::new(ProxyCount::new(configured)),
            sharing_proxies: Cell::new(configured),
            persistence_path,
            unpersisted: Cell::new(false),
            rejections: Cell::new(0),
            unavailable: Cell::new(false),
            wake_timers,
            timers_woken,
        })
    }

    /// As of which revision the list is known.
    pub fn revision(&self) -> u64 {
        self.reconciler.borrow().revision()
    }

    /// The list as the engine was notified of it.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.reconciler.borrow().endpoints()
    }

    /// Applies the whole list as of a revision. An error is in the log already; nothing was applied
    /// then but the drains.
    pub fn apply_list(&self, revision: u64, entries: Vec<ListEntry>) -> Result<(), ListError> {
        let applied = self.reconciler.borrow_mut().apply_list(self.now(), revision, entries);
        match applied {
            Ok(update) => {
                self.publish(update);
                Ok(())
            }
            Err(error) => {
                self.reject(&error.to_string());
                self.tick();
                Err(error)
            }
        }
    }

    /// What the source reports from now on is of another history.
    pub fn history_changed(&self) {
        warn!(self.engine.log, "list history changed, treated as stale");
        self.reconciler.borrow_mut().history_changed(self.now());
    }

    /// Applies changes, in order.
    pub fn apply_changes(&self, changes: Vec<RevisionedChange>) {
        let update = self.reconciler.borrow_mut().apply_changes(self.now(), changes);
        self.publish(update);
    }

    /// Nothing changed up to this revision.
    pub fn advance_to(&self, revision: u64) {
        self.reconciler.borrow_mut().advance_to(revision);
        self.source_available();
    }

    /// Something that the source reported can't be used: it is counted, and each line of the reason
    /// logged.
    pub fn reject(&self, reason: &str) {
        let rejections = self.rejections.get() + 1;
        self.rejections.set(rejections);
        for line in reason.lines() {
            warn!(self.engine.log, "list ignored"; "fault" => line, "passed_over" => rejections);
        }
    }

    /// The source can't be reached; logged once until it is available again.
    pub fn source_unavailable(&self, reason: &str) {
        if !self.unavailable.replace(true) {
            warn!(self.engine.log, "list source unavailable"; "fault" => reason);
        }
    }

    fn source_available(&self) {
        if self.unavailable.replace(false) {
            info!(self.engine.log, "list source available again");
        }
    }

    /// So many proxies are live as the source has it, this one included.
    pub fn observe_proxies(&self, live: u64) {
        self.proxy_count.borrow_mut().observe(self.now(), live);
        self.update_sharing();
    }

    fn update_sharing(&self) {
        let proxy_count = self.proxy_count.borrow_mut().effective(self.now());
        if self.sharing_proxies.replace(proxy_count) != proxy_count {
            info!(self.engine.log, "proxy count changed"; "proxies" => proxy_count);
            api::set_proxy_count(&self.engine, proxy_count);
        }
    }

    fn publish(&self, update: ListUpdate) {
        self.source_available();
        update.events.iter().for_each(|event| self.log(event));
        if update.replaces_all || !update.endpoints.is_empty() {
            self.unpersisted.set(true);
            // Staleness is the reconciler's concern: the engine takes what it decided.
            let doubted = false;
            api::apply_endpoint_list(&self.engine, &update.endpoints, update.replaces_all, doubted);
        }
        _ = self.wake_timers.try_send(());
    }

    fn log(&self, event: &ReconcileEvent) {
        match event.endpoint_id() {
            Some(id) => warn!(self.engine.log, "{}", event.message(); "cache" => id),
            None => warn!(self.engine.log, "{}", event.message()),
        }
    }

    fn next_deadline(&self) -> Option<Timestamp> {
        self.reconciler.borrow().next_deadline()
    }

    fn tick(&self) {
        let update = self.reconciler.borrow_mut().tick(self.now());
        self.publish(update);
    }

    /// Applies what time alone changes; never ends.
    pub async fn run_timers(self: Rc<Feed>) {
        loop {
            self.wait_for_deadline().await;
            if self.next_deadline().is_some_and(|deadline| deadline <= self.now()) {
                self.tick();
            }
            self.update_sharing();
        }
    }

    async fn wait_for_deadline(&self) {
        let wait = self.next_deadline().map(|deadline| deadline.saturating_since(self.now()));
        let wait = wait.map_or(COUNT_INTERVAL, |wait| Duration::from(wait).min(COUNT_INTERVAL));
        let elapsed = async { _ = Timer::after(wait).await };
        let woken = async { _ = self.timers_woken.recv().await };
        smol::future::or(elapsed, woken).await;
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.engine.clock.now()
    }
}
