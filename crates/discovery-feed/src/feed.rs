//! From what a source reads to what the engine is told.

use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_membership::ListedEndpoint;
use chalkwalk_membership::count::Count;
use chalkwalk_membership::format::AllowedNames;
use chalkwalk_membership::persisted::{Age, PersistedList};
use chalkwalk_membership::reconcile::{Change, Reconciler, SourceKind, Told};
use chalkwalk_time::{Span, Timestamp};
use slog::{info, warn};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

pub struct Feed {
    pub engine: Rc<Engine>,
    pub known: AllowedNames,
    reconciler: RefCell<Reconciler>,
    count: RefCell<Count>,
    divided_by: Cell<u64>,
    keep: Option<PathBuf>,
    unkept: Cell<bool>, // it changed since it was last written down
    passed_over: Cell<u64>,
    lost: Cell<bool>,
    sooner: Sender<()>,
    sooner_told: Receiver<()>,
}

/// Between two writes to disk: a deploy changes the list several times a second.
const WRITES: Duration = Duration::from_secs(1);

impl Feed {
    pub fn new(engine: &Rc<Engine>, trust: SourceKind, keep: Option<PathBuf>) -> Rc<Feed> {
        let (sooner, sooner_told) = bounded(1);
        let written = engine.classes.proxy_count();
        let known = AllowedNames { zones: engine.config.zones.clone(), kinds: engine.config.kinds.clone() };
        Rc::new(Feed {
            engine: engine.clone(),
            known,
            reconciler: RefCell::new(Reconciler::new(trust)),
            count: RefCell::new(Count::new(written)),
            divided_by: Cell::new(written),
            keep,
            unkept: Cell::new(false),
            passed_over: Cell::new(0),
            lost: Cell::new(false),
            sooner,
            sooner_told,
        })
    }

    /// Tells the engine the list as it was last kept, before any source is asked.
    pub fn load_persisted(&self) {
        let Some(path) = &self.keep else { return };
        let fault = match std::fs::read_to_string(path).map_err(|e| e.to_string()) {
            Ok(text) => match PersistedList::parse(&text, &self.known) {
                Ok(kept) => return self.start_from(kept),
                Err(fault) => fault,
            },
            // The first start of all.
            Err(_) if !path.exists() => return,
            Err(fault) => fault,
        };
        warn!(self.engine.log, "kept list passed over"; "fault" => fault);
    }

    fn start_from(&self, kept: PersistedList) {
        let now = self.engine.clock.now();
        let minutes = now.saturating_since(kept.at) / Span::from_secs(60);
        let count = kept.lines.len();
        match kept.age(now) {
            Age::TooOld => {
                return warn!(self.engine.log, "kept list passed over"; "fault" => "too old", "minutes" => minutes);
            }
            Age::Old => warn!(self.engine.log, "kept list is old"; "minutes" => minutes, "caches" => count),
            Age::Young => info!(self.engine.log, "kept list taken"; "minutes" => minutes, "caches" => count),
        }
        let lines = kept.lines.into_iter().map(|line| (line, false)).collect();
        _ = self.whole(kept.revision, lines);
        self.unkept.set(false);
    }

    /// As of which revision the list is known.
    pub fn revision(&self) -> u64 {
        self.reconciler.borrow().revision()
    }

    /// The list as the engine was told it.
    pub fn endpoints(&self) -> Vec<ListedEndpoint> {
        self.reconciler.borrow().lines()
    }

    /// The whole list as of a revision; each line says whether it is back on purpose. An error is a plain sentence, is in
    /// the log, and nothing was taken.
    pub fn whole(&self, revision: u64, lines: Vec<(ListedEndpoint, bool)>) -> Result<(), String> {
        let told = self.reconciler.borrow_mut().whole(self.engine.clock.now(), revision, lines);
        match told {
            Ok(told) => {
                self.tell(told);
                Ok(())
            }
            Err(fault) => {
                self.pass_over(&fault);
                // Drains in it hold all the same.
                let told = self.reconciler.borrow_mut().tick(self.engine.clock.now());
                self.tell(told);
                Err(fault)
            }
        }
    }

    /// What the source says from now on is of another history.
    pub fn another_history(&self) {
        warn!(self.engine.log, "another history, and doubted");
        self.reconciler.borrow_mut().another_history(self.engine.clock.now());
    }

    /// What changed, each with its revision, in order.
    pub fn changes(&self, changes: Vec<(u64, Change)>) {
        let told = self.reconciler.borrow_mut().changes(self.engine.clock.now(), changes);
        self.tell(told);
    }

    /// Nothing changed up to here.
    pub fn reached(&self, revision: u64) {
        self.reconciler.borrow_mut().reached(revision);
        self.heard();
    }

    /// Something that the source said can't be used: each is a line and a count.
    pub fn pass_over(&self, fault: &str) {
        self.passed_over.set(self.passed_over.get() + 1);
        for fault in fault.lines() {
            warn!(self.engine.log, "list passed over"; "fault" => fault, "passed_over" => self.passed_over.get());
        }
    }

    /// The source can't be had; said once until it is heard again.
    pub fn lost(&self, fault: &str) {
        if !self.lost.replace(true) {
            warn!(self.engine.log, "list lost"; "fault" => fault);
        }
    }

    fn heard(&self) {
        if self.lost.replace(false) {
            info!(self.engine.log, "list heard again");
        }
    }

    /// So many proxies are live by what the source says.
    pub fn counted(&self, live: u64) {
        self.count.borrow_mut().counted(self.engine.clock.now(), live);
        self.divide();
    }

    fn divide(&self) {
        let now_by = self.count.borrow_mut().holds(self.engine.clock.now());
        if self.divided_by.replace(now_by) != now_by {
            info!(self.engine.log, "caches shared by"; "proxies" => now_by);
            api::set_proxy_count(&self.engine, now_by);
        }
    }

    fn tell(&self, told: Told) {
        self.heard();
        for (event, server) in &told.notes {
            match server.as_str() {
                "" => warn!(self.engine.log, "{}", event),
                server => warn!(self.engine.log, "{}", event; "cache" => server),
            }
        }
        if told.whole || !told.lines.is_empty() {
            self.unkept.set(true);
            api::apply_endpoint_list(&self.engine, &told.lines, told.whole, false);
        }
        // What is due may be sooner than what is waited for.
        _ = self.sooner.try_send(());
    }

    fn due(&self) -> Option<Timestamp> {
        self.reconciler.borrow().due()
    }

    /// What time alone brings; never ends.
    pub async fn run_timers(self: Rc<Feed>) {
        loop {
            let wait = self.due().map(|due| due.saturating_since(self.engine.clock.now()));
            // Counts fall by themselves, looked at once in a while.
            let wait = Duration::from(wait.unwrap_or(Span::MAX / 2)).min(Duration::from_secs(5));
            _ = smol::future::or(async { _ = Timer::after(wait).await }, async {
                _ = self.sooner_told.recv().await;
            })
            .await;
            if self.due().is_some_and(|due| due <= self.engine.clock.now()) {
                let told = self.reconciler.borrow_mut().tick(self.engine.clock.now());
                self.tell(told);
            }
            self.divide();
        }
    }

    /// Writes the list down whenever it has changed; never ends.
    pub async fn persist_changes(self: Rc<Feed>) {
        let Some(path) = self.keep.clone() else { return };
        let mut failed = false;
        loop {
            Timer::after(WRITES).await;
            if !self.unkept.replace(false) {
                continue;
            }
            let kept = PersistedList {
                at: self.engine.clock.now(),
                revision: self.revision(),
                lines: self.endpoints(),
            };
            let (to, text) = (path.clone(), kept.to_text());
            match smol::unblock(move || write_down(&to, &text)).await {
                Ok(()) => failed = false,
                Err(e) => {
                    self.unkept.set(true);
                    if !std::mem::replace(&mut failed, true) {
                        warn!(self.engine.log, "list not kept"; "fault" => %e);
                    }
                }
            }
        }
    }
}

/// Whole or not at all, whenever the machine stops: beside it, to the disk, and then in its place.
fn write_down(path: &Path, text: &str) -> std::io::Result<()> {
    use std::io::Write;
    let mut beside = path.to_path_buf().into_os_string();
    beside.push(format!(".{}", std::process::id()));
    let mut file = std::fs::File::create(&beside)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&beside, path)
}
