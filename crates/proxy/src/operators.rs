//! Operators' calls to this proxy. What they set is shared with the proxy's other processes: with the one that comes after this
//! one, and the one before it.

mod control;
mod learned;

use crate::state_files::{HandoverUpdate, PeerFile, SharedState};
use chalkwalk_admin::{self as admin};
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_sockets::within;
use chalkwalk_time::Span;
use slog::{info, warn};
use smol::channel::bounded;
use smol::lock::Mutex;
use smol::{Async, Task, Timer, unblock};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// How often the files of the proxy's other processes are read: a tenth of the second within which an operator's call has to be
/// in force everywhere.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// How often the learned figures are written: a successor starts at any moment, and key shares move by a half in a second at
/// the worst. Every 5 s costs the disk little.
const LEARNED_INTERVAL: Span = Span::from_secs(5);

/// How long an answer to an operator waits for the record to be written, where the disk is slow: it is due within a second.
const MAX_WAIT_FOR_WRITE: Duration = Duration::from_millis(700);

/// How long the end of the process waits to know whether another has taken over.
const MAX_WAIT_AT_END: Duration = Duration::from_millis(200);

/// Whether the own record is on disk, so that the other processes can read it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Persisted {
    Yes,
    Failed,
    /// The disk takes too long: the record is written as soon as that allows.
    Delayed,
}

/// The operators' calls, and the state that they share with the proxy's other processes.
pub struct Operators {
    engine: Rc<Engine>,
    /// One write at a time, so that the last one stays.
    writing: Mutex<()>,
    state: RefCell<SharedState>,
    /// Holds the descriptors that are another process's, while there is one.
    lent_descriptors: RefCell<Option<Task<()>>>,
}

impl Operators {
    /// Adopts what operators set in other processes of this proxy, and accepts their calls from now on.
    pub fn start(engine: &Rc<Engine>, listener: Async<TcpListener>) -> Rc<Operators> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(Into::into);
        let state = SharedState::new(folder, &engine.config.name, engine.clock.now());
        let operators = Rc::new(Operators {
            engine: engine.clone(),
            writing: Mutex::new(()),
            state: RefCell::new(state),
            lent_descriptors: RefCell::default(),
        });
        // No request is served yet: this may wait for the disk.
        let reader = operators.state.borrow().reader();
        let update = operators.merge(reader.map(|reader| reader.read()).unwrap_or_default());
        operators.restore_learned(update.learned);
        engine.executor.spawn(operators.clone().sync_with_peers()).detach();
        let spawner = engine.clone();
        let spawn = move |task: admin::ConnectionTask| spawner.executor.spawn(task).detach();
        engine.executor.spawn(admin::serve(listener, operators.clone(), spawn)).detach();
        operators
    }

    async fn sync_with_peers(self: Rc<Operators>) {
        let mut learned_written = self.engine.clock.now();
        loop {
            self.read_peers().await;
            self.share_readiness().await;
            if self.engine.clock.now() >= learned_written + LEARNED_INTERVAL {
                learned_written = self.engine.clock.now();
                self.write_learned().await;
            }
            Timer::after(READ_INTERVAL).await;
        }
    }

    /// Writes whether this process is ready, if that has changed.
    async fn share_readiness(&self) {
        let was_ready = self.state.borrow().own.ready_since.is_some();
        let is_ready = self.engine.lifecycle.is_serving();
        if is_ready != was_ready {
            self.state.borrow_mut().own.ready_since = is_ready.then(|| self.engine.clock.now());
            self.write().await;
            info!(self.engine.log, "{}", if is_ready { "ready" } else { "no longer ready" });
        }
    }

    /// Reads the other processes' records, outside this thread: a busy disk blocks the reader.
    async fn read_peers(&self) {
        let Some(reader) = self.state.borrow().reader() else { return };
        let ended = self.merge(unblock(|| reader.read()).await).ended;
        if !ended.is_empty() && self.write().await {
            unblock(move || ended.iter().for_each(|path| _ = std::fs::remove_file(path))).await;
        }
    }

    /// Reads them once more as this process ends, if the disk allows it soon, and writes what it has learned.
    pub async fn read_peers_before_end(&self) {
        within(MAX_WAIT_AT_END, self.read_peers()).await;
        within(MAX_WAIT_AT_END, self.write_learned()).await;
    }

    /// Applies the other processes' records.
    fn merge(&self, peers: Vec<PeerFile>) -> HandoverUpdate {
        let engine = &self.engine;
        let update = self.state.borrow_mut().merge(peers, &engine.log);
        engine.lifecycle.set_superseded(update.is_superseded);
        self.lend_descriptors(update.has_live_peer);
        for id in &update.servers {
            let last = self.state.borrow().own.server_override(id);
            api::set_server_disabled(engine, id, last.out, last.at);
        }
        if update.service_changed {
            let service = self.state.borrow().own.service;
            engine.lifecycle.set_out_of_service(service.out.then_some(service.at));
        }
        update
    }

    /// All processes of a proxy have one budget of descriptors: half of it is the other process's while there is one.
    fn lend_descriptors(&self, has_live_peer: bool) {
        let mut lent = self.lent_descriptors.borrow_mut();
        if !has_live_peer {
            *lent = None;
        } else if lent.is_none() {
            let engine = self.engine.clone();
            *lent = Some(self.engine.executor.spawn(async move {
                let _permits = engine.budget.lend_half(|| engine.pool.close_longest_idle()).await;
                std::future::pending().await
            }));
        }
    }

    /// Writes the own record; whether the other processes can read it now.
    async fn write(&self) -> bool {
        let _only_write = self.writing.lock().await;
        let writer = self.state.borrow_mut().writer(self.engine.clock.now());
        let written = match writer {
            Ok(Some(writer)) => unblock(|| writer.write()).await,
            Ok(None) => Ok(()),
            Err(error) => Err(error),
        };
        if let Err(error) = &written {
            warn!(self.engine.log, "handover file not written"; "fault" => %error);
        }
        written.is_ok()
    }

    /// Writes the own record for an operator, who waits no longer than the answer allows.
    async fn write_in_time(self: &Rc<Self>) -> Persisted {
        let (report, reported) = bounded(1);
        let operators = self.clone();
        let write = async move {
            _ = report.try_send(operators.write().await);
        };
        self.engine.executor.spawn(write).detach();
        match within(MAX_WAIT_FOR_WRITE, reported.recv()).await {
            Some(Ok(true)) => Persisted::Yes,
            Some(Ok(false)) => Persisted::Failed,
            Some(Err(_)) | None => {
                warn!(self.engine.log, "handover file delayed");
                Persisted::Delayed
            }
        }
    }
}
