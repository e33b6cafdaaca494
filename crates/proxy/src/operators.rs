//! Operators' calls to this proxy. The overrides that they set are shared with the proxy's other
//! processes: this process's predecessor and its successor.

mod control;
mod learned;

use crate::state_files::{HandoverUpdate, PeerFile, RecordWriter, SharedState, WriteError};
use chalkwalk_admin::{self as admin};
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_handover::ToldDrains;
use chalkwalk_sockets::with_timeout;
use chalkwalk_time::Span;
use slog::{info, warn};
use smol::channel::bounded;
use smol::lock::Mutex;
use smol::{Async, Task, Timer, unblock};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// How often the files of the proxy's other processes are read: a tenth of the second within which
/// an operator's call has to take effect in every process.
const PEER_READ_INTERVAL: Duration = Duration::from_millis(100);

/// How often the learned figures are written. A successor may start at any moment, and key shares
/// change by a half within a second at worst; a write every 5 s costs the disk little.
const LEARNED_WRITE_INTERVAL: Span = Span::from_secs(5);

/// How long a response to an operator waits at most for the record to be written. The disk may be
/// slow, and the response is due within a second.
const MAX_WAIT_FOR_WRITE: Duration = Duration::from_millis(700);

/// How long each step of the exchange with peers may take at shutdown: reading their records, to
/// know whether another process has taken over, and writing the learned figures.
const MAX_WAIT_AT_SHUTDOWN: Duration = Duration::from_millis(200);

/// Whether this process's record has been written to disk, where the other processes can read it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteOutcome {
    Written,
    Failed,
    /// The disk is too slow: the write is still pending, and completes once the disk allows it.
    Delayed,
}

/// Implements the operators' calls, and holds the state that this process shares with the proxy's
/// other processes.
pub struct Operators {
    engine: Rc<Engine>,
    /// Serializes writes of the record, so that the latest record is the one that remains on disk.
    write_lock: Mutex<()>,
    state: RefCell<SharedState>,
    /// Whether this process adopts the drains that another one was told, until it has a list of its
    /// own. It does with the platform's list; other sources keep their drains themselves.
    adopts_drains: bool,
    /// The task that holds the descriptors reserved for another process, while there is one.
    peer_descriptors: RefCell<Option<Task<()>>>,
}

impl Operators {
    /// Adopts the overrides that operators set in other processes of this proxy, and starts to
    /// accept operators' calls.
    pub fn start(engine: &Rc<Engine>, listener: Async<TcpListener>, adopts_drains: bool) -> Rc<Operators> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(Into::into);
        let state = SharedState::new(folder, &engine.config.name, engine.clock.now());
        let operators = Rc::new(Operators {
            engine: engine.clone(),
            write_lock: Mutex::new(()),
            state: RefCell::new(state),
            adopts_drains,
            peer_descriptors: RefCell::default(),
        });
        // No request is served yet, so this read may block on the disk.
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
        let mut learned_written_at = self.engine.clock.now();
        loop {
            self.read_peers().await;
            self.share_readiness().await;
            self.share_drains().await;
            if self.engine.clock.now() >= learned_written_at + LEARNED_WRITE_INTERVAL {
                learned_written_at = self.engine.clock.now();
                self.write_learned().await;
            }
            Timer::after(PEER_READ_INTERVAL).await;
        }
    }

    /// Writes this process's readiness to its record, if the readiness has changed.
    async fn share_readiness(&self) {
        let was_ready = self.state.borrow().own_record.ready_since.is_some();
        let is_ready = self.engine.lifecycle.is_serving();
        if is_ready != was_ready {
            self.state.borrow_mut().own_record.ready_since = is_ready.then(|| self.engine.clock.now());
            self.write().await;
            info!(self.engine.log, "{}", if is_ready { "ready" } else { "no longer ready" });
        }
    }

    /// Writes the servers that are draining or gone, if they have changed: a successor that gets no
    /// list of its own has to know them.
    async fn share_drains(&self) {
        let starts = self.engine.requests.borrow().servers.unavailable_starts();
        if starts == self.state.borrow().own_drains.starts {
            return;
        }
        self.state.borrow_mut().own_drains = ToldDrains { starts };
        let writer = self.state.borrow().drains_writer();
        self.run_write(writer).await;
    }

    /// Reads the other processes' records in another thread, because a busy disk blocks the reader.
    /// Then removes the files of processes that have ended.
    async fn read_peers(&self) {
        let Some(reader) = self.state.borrow().reader() else { return };
        let ended_files = self.merge(unblock(|| reader.read()).await).ended_files;
        if !ended_files.is_empty() && self.write().await {
            unblock(move || ended_files.iter().for_each(|path| _ = std::fs::remove_file(path))).await;
        }
    }

    /// Reads the other processes' records once more as this process ends, and writes its learned
    /// figures, each within a time limit in case the disk is slow.
    pub async fn sync_with_peers_at_shutdown(&self) {
        with_timeout(MAX_WAIT_AT_SHUTDOWN, self.read_peers()).await;
        with_timeout(MAX_WAIT_AT_SHUTDOWN, self.write_learned()).await;
    }

    /// Applies the other processes' records to the engine.
    fn merge(&self, peers: Vec<PeerFile>) -> HandoverUpdate {
        let engine = &self.engine;
        let update = self.state.borrow_mut().merge(peers, &engine.log);
        engine.lifecycle.set_superseded(update.is_superseded);
        self.reserve_peer_descriptors(update.has_live_peer);
        if self.adopts_drains && !engine.has_received_list() {
            api::apply_drains(engine, &update.drains);
        }
        for id in &update.servers {
            let current = self.state.borrow().own_record.server_override(id);
            api::set_server_disabled(engine, id, current.is_disabled, current.decided_at);
        }
        if update.service_changed {
            let service = self.state.borrow().own_record.service;
            engine.lifecycle.set_out_of_service(service.is_disabled.then_some(service.decided_at));
        }
        update
    }

    /// Reserves half of the descriptors for the other process while there is one, because all
    /// processes of a proxy share one budget of descriptors.
    fn reserve_peer_descriptors(&self, has_live_peer: bool) {
        let mut reservation = self.peer_descriptors.borrow_mut();
        if !has_live_peer {
            *reservation = None;
        } else if reservation.is_none() {
            let engine = self.engine.clone();
            *reservation = Some(self.engine.executor.spawn(async move {
                let _permits = engine.budget.reserve_half(|| engine.pool.close_longest_idle()).await;
                std::future::pending().await
            }));
        }
    }

    /// Writes this process's record. Returns whether the other processes can now read it.
    async fn write(&self) -> bool {
        let _write_guard = self.write_lock.lock().await;
        let writer = self.state.borrow_mut().writer(self.engine.clock.now());
        self.run_write(writer).await
    }

    /// Runs a write, and logs a failure.
    async fn run_write(&self, writer: Result<Option<RecordWriter>, WriteError>) -> bool {
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

    /// Writes this process's record for an operator's call, and waits for the write no longer than
    /// the response may take.
    async fn write_with_timeout(self: &Rc<Self>) -> WriteOutcome {
        let (outcome_sender, outcome_receiver) = bounded(1);
        let operators = self.clone();
        let write = async move {
            _ = outcome_sender.try_send(operators.write().await);
        };
        self.engine.executor.spawn(write).detach();
        match with_timeout(MAX_WAIT_FOR_WRITE, outcome_receiver.recv()).await {
            Some(Ok(true)) => WriteOutcome::Written,
            Some(Ok(false)) => WriteOutcome::Failed,
            Some(Err(_)) | None => {
                warn!(self.engine.log, "handover file delayed");
                WriteOutcome::Delayed
            }
        }
    }
}
