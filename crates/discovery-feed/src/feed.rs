//! The feed, which passes what a source reads on to the engine.
//!
//! A source reports lists, changes and proxy counts to the feed. It also reports values that it
//! can't parse, as rejected, and that its server or file can't be reached, as unavailable. The
//! reconciler decides what to apply.

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

/// Interval at which the proxy count is evaluated. The count can decrease through the passage of
/// time alone, without a report from the source.
const PROXY_COUNT_INTERVAL: Duration = Duration::from_secs(5);

/// The endpoint list of a process, updated by one source.
pub struct Feed {
    /// The engine that is notified, with its clock and its log.
    pub engine: Rc<Engine>,
    /// The zones and kinds that the source may name.
    pub allowed_names: AllowedNames,
    reconciler: RefCell<Reconciler>,
    proxy_count: RefCell<ProxyCount>,
    /// The number of proxies that the engine was last notified of, among which the balancer divides
    /// the servers' capacity.
    effective_proxy_count: Cell<u64>,
    /// The file that the list is persisted in, if the operator configures one.
    pub(crate) persistence_path: Option<PathBuf>,
    /// Whether the list has changed since it was last written to disk.
    pub(crate) has_unpersisted_changes: Cell<bool>,
    /// The number of reports that were rejected so far.
    rejection_count: Cell<u64>,
    /// Whether the source is unavailable, which has then been logged.
    is_source_unavailable: Cell<bool>,
    /// Wakes `run_timers`, as the next deadline may be earlier than the one that it waits for.
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl Feed {
    /// Creates a feed that notifies this engine. It has no list yet.
    pub fn new(engine: &Rc<Engine>, source_kind: SourceKind, persistence_path: Option<PathBuf>) -> Rc<Feed> {
        let (wake_sender, wake_receiver) = bounded(1);
        let configured_proxy_count = engine.classes.proxy_count();
        let allowed_names =
            AllowedNames { zones: engine.config.zones.clone(), kinds: engine.config.kinds.clone() };
        Rc::new(Feed {
            engine: engine.clone(),
            allowed_names,
            reconciler: RefCell::new(Reconciler::new(source_kind)),
            proxy_count: RefCell::new(ProxyCount::new(configured_proxy_count)),
            effective_proxy_count: Cell::new(configured_proxy_count),
            persistence_path,
            has_unpersisted_changes: Cell::new(false),
            rejection_count: Cell::new(0),
            is_source_unavailable: Cell::new(false),
            wake_sender,
            wake_receiver,
        })
    }

    /// The revision up to which the list is known.
    pub fn revision(&self) -> u64 {
        self.reconciler.borrow().revision()
    }

    /// The list as the engine was notified of it.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.reconciler.borrow().endpoints()
    }

    /// Applies the whole list at a revision. If the list is rejected, only its drains are applied;
    /// the error is returned and has been logged.
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

    /// Records that the source's reports belong to another history from now on, so their revisions
    /// can't be compared with the earlier ones.
    pub fn history_changed(&self) {
        warn!(self.engine.log, "list history changed, treated as stale");
        self.reconciler.borrow_mut().history_changed(self.now());
    }

    /// Applies changes, in order.
    pub fn apply_changes(&self, changes: Vec<RevisionedChange>) {
        let update = self.reconciler.borrow_mut().apply_changes(self.now(), changes);
        self.publish(update);
    }

    /// Records that there are no further changes up to this revision.
    pub fn advance_to(&self, revision: u64) {
        self.reconciler.borrow_mut().advance_to(revision);
        self.source_available();
    }

    /// Counts a report of the source that can't be used, and logs each line of the reason.
    pub fn reject(&self, reason: &str) {
        let rejection_count = self.rejection_count.get() + 1;
        self.rejection_count.set(rejection_count);
        for line in reason.lines() {
            warn!(self.engine.log, "list ignored"; "fault" => line, "passed_over" => rejection_count);
        }
    }

    /// Records that the source can't be reached. It is logged once until the source is available
    /// again.
    pub fn source_unavailable(&self, reason: &str) {
        if !self.is_source_unavailable.replace(true) {
            warn!(self.engine.log, "list source unavailable"; "fault" => reason);
        }
    }

    fn source_available(&self) {
        if self.is_source_unavailable.replace(false) {
            info!(self.engine.log, "list source available again");
        }
    }

    /// Records the number of live proxies that the source reports, this one included.
    pub fn observe_proxies(&self, live_proxies: u64) {
        self.proxy_count.borrow_mut().observe(self.now(), live_proxies);
        self.update_proxy_count();
    }

    fn update_proxy_count(&self) {
        let proxy_count = self.proxy_count.borrow_mut().effective_count(self.now());
        if self.effective_proxy_count.replace(proxy_count) != proxy_count {
            info!(self.engine.log, "proxy count changed"; "proxies" => proxy_count);
            api::set_proxy_count(&self.engine, proxy_count);
        }
    }

    fn publish(&self, update: ListUpdate) {
        self.source_available();
        update.events.iter().for_each(|event| self.log(event));
        if update.replaces_all || !update.endpoints.is_empty() {
            self.has_unpersisted_changes.set(true);
            // The reconciler has already handled staleness, so the engine applies its decision as
            // it is.
            let may_be_stale = false;
            api::apply_endpoint_list(&self.engine, &update.endpoints, update.replaces_all, may_be_stale);
        }
        _ = self.wake_sender.try_send(());
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

    /// Applies the changes that become due through the passage of time alone, such as the end of a
    /// delay; never returns.
    pub async fn run_timers(self: Rc<Feed>) {
        loop {
            self.wait_for_deadline().await;
            if self.next_deadline().is_some_and(|deadline| deadline <= self.now()) {
                self.tick();
            }
            self.update_proxy_count();
        }
    }

    async fn wait_for_deadline(&self) {
        let wait = self.next_deadline().map(|deadline| deadline.saturating_since(self.now()));
        let wait = wait.map_or(PROXY_COUNT_INTERVAL, |wait| Duration::from(wait).min(PROXY_COUNT_INTERVAL));
        let elapsed = async { _ = Timer::after(wait).await };
        let woken = async { _ = self.wake_receiver.recv().await };
        smol::future::or(elapsed, woken).await;
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.engine.clock.now()
    }
}
