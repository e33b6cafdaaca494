//! What operators say to this proxy, kept for the process that comes after it, and heard from the one before it.

use crate::pages::{News, Pages, Seen};
use chalkwalk_admin::{self as console, ControlFuture, ControlOutcome, ProxyControl};
use chalkwalk_balancer as policy;
use chalkwalk_engine::api;
use chalkwalk_engine::engine::Engine;
use chalkwalk_handover::{LearnedServers, ServerFigures};
use chalkwalk_sockets::within;
use chalkwalk_time::{Span, Timestamp};
use slog::{info, warn};
use smol::channel::bounded;
use smol::lock::Mutex;
use smol::{Async, Task, Timer, unblock};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// How often the files of the proxy's other processes are read: a tenth of the second in which what an operator says is to
/// be in force everywhere.
const READ_AGAIN: Duration = Duration::from_millis(100);

/// How often what was learned of the servers is written down, a successor starts at any moment, and parts
/// move by a half in a second at the worst. Every 5 s costs the disk little.
const LEARNED_AGAIN: Span = Span::from_secs(5);

/// How long an answer waits for its word to be kept, where the disk is slow: it is due within a second.
const KEPT_BY: Duration = Duration::from_millis(700);
/// How long the end waits to know who takes over.
const LAST_LOOK: Duration = Duration::from_millis(200);

pub struct Operators {
    engine: Rc<Engine>,
    /// One writes at a time, and the last has the last word.
    writing: Mutex<()>,
    pages: RefCell<Pages>,
    /// Holds the places that are another process's, while there is one.
    lent: RefCell<Option<Task<()>>>,
}

impl Operators {
    /// Takes over what another process of this proxy has been told, and hears operators and the others from now on.
    pub fn start(engine: &Rc<Engine>, listener: Async<TcpListener>) -> Rc<Operators> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(Into::into);
        let pages = Pages::new(folder, &engine.config.name, engine.clock.now());
        let operators = Rc::new(Operators {
            engine: engine.clone(),
            writing: Mutex::new(()),
            pages: RefCell::new(pages),
            lent: RefCell::default(),
        });
        // Nobody is served yet: it may wait for the disk.
        let glass = operators.pages.borrow().glass();
        let news = operators.take(glass.map(|glass| glass.look()).unwrap_or_default());
        let servers = news.learned.servers.len();
        let taken = operators.carry(news.learned);
        if servers > 0 {
            info!(engine.log, "{}", if taken { "learned figures taken up" } else { "learned figures passed over" }; "caches" => servers);
        }
        engine.executor.spawn(operators.clone().follow()).detach();
        let ex = engine.clone();
        let spawn = move |task: console::ConnectionTask| ex.executor.spawn(task).detach();
        engine.executor.spawn(console::serve(listener, operators.clone(), spawn)).detach();
        operators
    }

    async fn follow(self: Rc<Operators>) {
        let mut learned_at = self.engine.clock.now();
        loop {
            self.read().await;
            self.tell_ready().await;
            if self.engine.clock.now() >= learned_at + LEARNED_AGAIN {
                learned_at = self.engine.clock.now();
                self.write_learned().await;
            }
            Timer::after(READ_AGAIN).await;
        }
    }

    /// Has the others know whether this process serves.
    async fn tell_ready(&self) {
        let (ready, serves) =
            (self.pages.borrow().own.ready_since.is_some(), self.engine.lifecycle.is_serving());
        if serves != ready {
            self.pages.borrow_mut().own.ready_since = serves.then(|| self.engine.clock.now());
            self.write().await;
            info!(self.engine.log, "{}", if serves { "ready" } else { "no longer ready" });
        }
    }

    /// Reads what the other processes say, beside this thread: a busy disk holds up whoever asks it.
    async fn read(&self) {
        let Some(glass) = self.pages.borrow().glass() else { return };
        let dead = self.take(unblock(|| glass.look()).await).dead;
        if !dead.is_empty() && self.write().await {
            unblock(move || dead.iter().for_each(|path| _ = std::fs::remove_file(path))).await;
        }
    }

    /// The same once more as this process ends, if the disk allows it soon; and it leaves behind what it has learned.
    pub async fn read_soon(&self) {
        within(LAST_LOOK, self.read()).await;
        within(LAST_LOOK, self.write_learned()).await;
    }

    /// Takes up what a process before this one has learned, if that still means the same.
    fn carry(&self, learned: LearnedServers) -> bool {
        let mut requests = self.engine.requests.borrow_mut();
        if !learned.is_usable(requests.learning_terms(), self.engine.clock.now()) {
            return false;
        }
        let of = |(id, figures): (String, ServerFigures)| policy::LearnedServer {
            id,
            born: Timestamp::from_ticks(figures.started),
            size: figures.weight,
            key_share: figures.key_share,
            concurrency_limit: figures.concurrency_limit,
        };
        requests.restore_learned(learned.bounded().servers.into_iter().map(of).collect())
    }

    /// Writes down what was learned of the servers, where that is anything.
    async fn write_learned(&self) {
        let (at, requests) = (self.engine.clock.now(), &self.engine.requests);
        let (terms, learned) = (requests.borrow().learning_terms(), requests.borrow().learned());
        let figures = |l: policy::LearnedServer| {
            let figures = ServerFigures {
                started: l.born.ticks(),
                weight: l.size,
                key_share: l.key_share,
                concurrency_limit: l.concurrency_limit,
            };
            (l.id, figures)
        };
        let servers = learned.into_iter().map(figures).collect();
        let learned = LearnedServers { written_at: at, settings_digest: terms, servers }.bounded();
        if !learned.servers.is_empty() {
            self.pages.borrow_mut().own.learned = learned;
            self.write().await;
        }
    }

    /// Takes what the other processes say.
    fn take(&self, seen: Vec<Seen>) -> News {
        let engine = &self.engine;
        let news = self.pages.borrow_mut().take(seen, &engine.log);
        engine.lifecycle.set_superseded(news.succeeded);
        self.share(news.company);
        for id in &news.servers {
            let word = self.pages.borrow().own.server_override(id);
            api::set_server_disabled(engine, id, word.out, word.at);
        }
        if news.service {
            let service = self.pages.borrow().own.service;
            engine.lifecycle.set_out_of_service(service.out.then_some(service.at));
        }
        news
    }

    /// Descriptors are one proxy's, whatever processes it has: half of them is the other's while there is one.
    fn share(&self, company: bool) {
        let mut lent = self.lent.borrow_mut();
        if company && lent.is_none() {
            let engine = self.engine.clone();
            *lent = Some(self.engine.executor.spawn(async move {
                let _places = engine.budget.lend_half(|| engine.pool.close_longest_idle()).await;
                std::future::pending().await
            }));
        } else if !company {
            *lent = None;
        }
    }

    /// Whether the others can read what this one has to say.
    async fn write(&self) -> bool {
        let _one = self.writing.lock().await;
        let pen = self.pages.borrow_mut().pen(self.engine.clock.now());
        let written = match pen {
            Ok(Some(pen)) => unblock(|| pen.write()).await,
            Ok(None) => Ok(()),
            Err(e) => Err(e),
        };
        if let Err(e) = &written {
            warn!(self.engine.log, "handover not written"; "fault" => %e);
        }
        written.is_ok()
    }

    /// Has what is said by now where the other processes find it, and tells whether it is, or nothing where the disk takes too
    /// long: it is then written as soon as that allows.
    async fn keep(self: &Rc<Self>) -> Option<bool> {
        let (tell, told) = bounded(1);
        let this = self.clone();
        let keeping = async move {
            _ = tell.try_send(this.write().await);
        };
        self.engine.executor.spawn(keeping).detach();
        let kept = within(KEPT_BY, told.recv()).await.and_then(Result::ok);
        if kept.is_none() {
            warn!(self.engine.log, "handover late");
        }
        kept
    }

    async fn do_server(self: Rc<Self>, id: String, out: bool) -> ControlOutcome {
        if !self.engine.requests.borrow().knows_server(&id) {
            return ControlOutcome::UnknownServer;
        }
        if self.pages.borrow().own.is_server_out(&id) == out {
            return ControlOutcome::Done;
        }
        // In force at once, whatever the disk does: it is due within a second.
        let before = self.pages.borrow().own.servers.get(&id).copied();
        self.pages.borrow_mut().own.set_server_out(&id, out, self.engine.clock.now());
        let said = self.pages.borrow().own.server_override(&id);
        api::set_server_disabled(&self.engine, &id, out, said.at);
        if self.keep().await == Some(false) {
            // Unless somebody has said something else meanwhile. A server that was never out is not taken for cold.
            if self.pages.borrow().own.server_override(&id) == said {
                let own = &mut self.pages.borrow_mut().own;
                _ = match before {
                    Some(word) => own.servers.insert(id.clone(), word),
                    None => own.servers.remove(&id),
                };
                api::set_server_disabled(&self.engine, &id, !out, before.unwrap_or_default().at);
            }
            return ControlOutcome::NotPersisted;
        }
        info!(self.engine.log, "{}", if out { "cache left out" } else { "cache put back" }; "cache" => id);
        ControlOutcome::Done
    }

    async fn do_service(self: Rc<Self>, out: bool) -> ControlOutcome {
        let before = self.pages.borrow().own.service;
        if before.out == out {
            return ControlOutcome::Done;
        }
        self.pages.borrow_mut().own.set_service_out(out, self.engine.clock.now());
        let said = self.pages.borrow().own.service;
        self.engine.lifecycle.set_out_of_service(out.then_some(said.at));
        if self.keep().await == Some(false) {
            if self.pages.borrow().own.service == said {
                self.pages.borrow_mut().own.service = before;
                self.engine.lifecycle.set_out_of_service(before.out.then_some(before.at));
            }
            return ControlOutcome::NotPersisted;
        }
        info!(self.engine.log, "{}", if out { "out of service" } else { "in service" });
        ControlOutcome::Done
    }

    async fn do_ready(self: Rc<Self>) -> ControlOutcome {
        // The old process is told to end as soon as this says yes, and has to know then who takes over.
        let told = async {
            self.tell_ready().await;
            _ = self.writing.lock().await;
        };
        let told = within(KEPT_BY, told).await.is_some();
        if told && self.engine.lifecycle.is_serving() {
            ControlOutcome::Done
        } else {
            ControlOutcome::NotReady
        }
    }
}

impl ProxyControl for Operators {
    fn check_ready(self: Rc<Self>) -> ControlFuture {
        Box::pin(self.do_ready())
    }

    fn set_server_disabled(self: Rc<Self>, id: String, disabled: bool) -> ControlFuture {
        Box::pin(self.do_server(id, disabled))
    }

    fn set_out_of_service(self: Rc<Self>, out: bool) -> ControlFuture {
        Box::pin(self.do_service(out))
    }
}
