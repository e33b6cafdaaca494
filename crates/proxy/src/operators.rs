//! What operators say to this proxy, kept for the process that comes after it, and heard from the one before it.

use crate::pages::Pages;
use chalkwalk_console::{self as console, Controls, Done};
use chalkwalk_core::core::Core;
use chalkwalk_core::flow;
use chalkwalk_handover::{Page, Tenths};
use slog::{info, warn};
use smol::{Async, Task, Timer};
use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// How often the files of the proxy's other processes are read: a tenth of the second in which what an operator says is to
/// be in force everywhere.
const READ_AGAIN: Duration = Duration::from_millis(100);

pub struct Operators {
    core: Rc<Core>,
    pages: RefCell<Pages>,
    /// Holds the places that are another process's, while there is one.
    lent: RefCell<Option<Task<()>>>,
}

impl Operators {
    /// Takes over what another process of this proxy has been told, and hears operators and the others from now on.
    pub fn start(core: &Rc<Core>, listener: Async<TcpListener>) -> Rc<Operators> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(Into::into);
        let pages = Pages::new(folder, &core.rules.name, core.clock.now());
        let operators =
            Rc::new(Operators { core: core.clone(), pages: RefCell::new(pages), lent: RefCell::default() });
        operators.read();
        core.ex.spawn(operators.clone().follow()).detach();
        let ex = core.clone();
        let spawn = move |task: console::Task| ex.ex.spawn(task).detach();
        core.ex.spawn(console::accept(listener, operators.clone(), spawn)).detach();
        operators
    }

    async fn follow(self: Rc<Operators>) {
        loop {
            self.read();
            self.tell_ready();
            Timer::after(READ_AGAIN).await;
        }
    }

    /// Has the others know whether this process serves.
    fn tell_ready(&self) {
        let (ready, serves) = (self.pages.borrow().own.ready.is_some(), self.core.life.serves());
        if serves != ready {
            self.pages.borrow_mut().own.ready = serves.then(|| self.core.clock.now());
            self.write();
            info!(self.core.log, "{}", if serves { "ready" } else { "no longer ready" });
        }
    }

    /// Reads what the other processes say.
    pub fn read(&self) {
        let (now, core) = (self.core.clock.now(), &self.core);
        let news = self.pages.borrow_mut().read(now, &core.log);
        core.life.succeed(news.succeeded);
        self.share(news.company);
        for id in news.caches {
            let word = self.pages.borrow().own.word(&id);
            flow::bar(core, &id, word.out, word.at);
        }
        if news.service {
            let service = self.pages.borrow().own.service;
            core.life.put_out(service.out.then_some(service.at));
        }
    }

    /// Descriptors are one proxy's, whatever processes it has: half of them is the other's while there is one.
    fn share(&self, company: bool) {
        let mut lent = self.lent.borrow_mut();
        if company && lent.is_none() {
            let core = self.core.clone();
            *lent = Some(self.core.ex.spawn(async move {
                let _places = core.budget.half(|| core.pool.close_longest_idle()).await;
                std::future::pending().await
            }));
        } else if !company {
            *lent = None;
        }
    }

    /// Whether the others can read what this one has to say.
    fn write(&self) -> bool {
        let written = self.pages.borrow_mut().write(self.core.clock.now());
        if let Err(e) = &written {
            warn!(self.core.log, "handover not written"; "fault" => %e);
        }
        written.is_ok()
    }

    /// Keeps what an operator says where the other processes find it; where that fails it is not said.
    fn keep(&self, say: impl FnOnce(&mut Page, Tenths)) -> bool {
        let before = self.pages.borrow().own.clone();
        say(&mut self.pages.borrow_mut().own, self.core.clock.now());
        let kept = self.write();
        if !kept {
            self.pages.borrow_mut().own = before;
        }
        kept
    }
}

impl Controls for Operators {
    fn ready(&self) -> Done {
        // The old process is told to end as soon as this says yes, and has to know then who takes over.
        self.tell_ready();
        if self.core.life.serves() { Done::Yes } else { Done::No }
    }

    fn cache(&self, id: &str, out: bool) -> Done {
        if !self.core.book.borrow().has(id) {
            return Done::Unknown;
        }
        if self.pages.borrow().own.is_out(id) != out {
            if !self.keep(|own, now| own.say(id, out, now)) {
                return Done::NotKept;
            }
            let word = self.pages.borrow().own.word(id);
            flow::bar(&self.core, id, word.out, word.at);
            info!(self.core.log, "{}", if out { "cache left out" } else { "cache put back" }; "cache" => id);
        }
        Done::Yes
    }

    fn service(&self, out: bool) -> Done {
        if self.pages.borrow().own.service.out != out {
            if !self.keep(|own, now| own.say_service(out, now)) {
                return Done::NotKept;
            }
            let since = self.pages.borrow().own.service.at;
            self.core.life.put_out(out.then_some(since));
            info!(self.core.log, "{}", if out { "out of service" } else { "in service" });
        }
        Done::Yes
    }
}
