//! One proxy: what its parts share.

use crate::answer::Probe;
use crate::book::Book;
use crate::budget::Budget;
use crate::classes::Classes;
use crate::clock::Clock;
use crate::life::{Life, Phase};
use crate::members::Members;
use crate::pool::Pool;
use crate::rules::Rules;
use crate::violations::{Refused, Violations};
use chalkwalk_capture::Tape;
use chalkwalk_net::{Room, wait_until};
use chalkwalk_policy::Tenths;
use slog::Logger;
use smol::LocalExecutor;
use smol::channel::{Receiver, bounded};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

pub struct Core {
    pub rules: Rules,
    pub classes: Classes,
    pub clock: Clock,
    pub budget: Budget,
    /// For long answers.
    pub room: Room,
    pub life: Life,
    pub book: RefCell<Book>,
    pub pool: Pool,
    pub probe: Box<dyn Probe>,
    pub ex: LocalExecutor<'static>,
    pub log: Logger,
    /// Attempts that were not written, by why not.
    pub(crate) refused: Refused,
    /// What must not happen, counted.
    pub violations: Violations,
    pub(crate) sooner: Receiver<()>,
    wanted: Receiver<()>,
    clients: Cell<usize>, // their open connections
    welcomed: Cell<u64>,
    leaving: Cell<Option<(Tenths, Tenths)>>, // since when, and when every answer must be out
    heard_list: Cell<bool>,
}

impl Core {
    pub fn new(mut rules: Rules, probe: Box<dyn Probe>, log: Logger, tape: Option<Tape>) -> Rc<Core> {
        let (sooner, sooner_told) = bounded(1);
        let (wanted, wanted_told) = bounded(1);
        let members = Members::new(&rules.zones, &rules.kinds);
        let classes = Classes::new(
            std::mem::take(&mut rules.settings),
            std::mem::take(&mut rules.account),
            rules.limits.take(),
        );
        let clock = Clock::default();
        let tape = (tape, clock.now());
        let book = Book::new(rules.seed, &classes.settings(), members, (sooner, wanted), log.clone(), tape);
        Rc::new(Core {
            clock,
            budget: Budget::new(rules.descriptors),
            // A third of the memory: the rest of the proxy needs a few megabytes, and as much again is the system's for
            // what is on its way.
            room: Room::new(rules.memory / 3),
            life: Life::default(),
            book: RefCell::new(book),
            pool: Pool::new(rules.idle_time),
            probe,
            ex: LocalExecutor::new(),
            log,
            refused: Refused::default(),
            violations: Violations::default(),
            sooner: sooner_told,
            wanted: wanted_told,
            clients: Cell::new(0),
            welcomed: Cell::new(0),
            leaving: Cell::new(None),
            heard_list: Cell::new(false),
            classes,
            rules,
        })
    }

    /// Comes to its end when the balancer wants the list watched.
    pub async fn list_wanted(&self) {
        _ = self.wanted.recv().await;
    }

    /// What the balancer wanted by now, it has.
    pub fn list_had(&self) {
        _ = self.wanted.try_recv();
    }

    /// A source of the list has answered since the start.
    pub fn list_heard(&self) {
        self.heard_list.set(true);
    }

    pub fn has_heard_list(&self) -> bool {
        self.heard_list.get()
    }

    /// The capture ends, with all that was told by now.
    pub fn stop_capture(&self) {
        self.book.borrow_mut().stop_capture();
    }

    /// Open connections of clients.
    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    /// When every answer must be out, once the proxy has been told to end.
    pub fn last_answer(&self) -> Option<Tenths> {
        self.leaving.get().map(|(_, last)| last)
    }

    /// The proxy has been told to end: since when, and when every answer must be out.
    pub fn leave(&self, told: Tenths, last: Tenths) {
        self.leaving.set(Some((told, last)));
        self.life.enter(Phase::Leaving);
    }
}

/// A client's connection among those that the proxy waits for before it ends.
pub struct Counted {
    pub core: Rc<Core>,
    /// Its place among those that are closed one after the other when the proxy leaves, in thousandths.
    place: u64,
}

impl Counted {
    pub fn new(core: &Rc<Core>) -> Counted {
        core.clients.set(core.clients.get() + 1);
        core.welcomed.set(core.welcomed.get() + 1);
        // Steps of the golden section lie evenly spread, however many there are.
        Counted { core: core.clone(), place: core.welcomed.get() * 618 % 1000 }
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
    fn turn(&self) -> Option<(Tenths, Tenths)> {
        let life = &self.core.life;
        let leaving = self.core.leaving.get().map(|(told, last)| {
            let late = told + (last - told) * (4000 + self.place) / 6000;
            (if life.succeeded() { told + 10 * self.place } else { late }, late)
        });
        let emptied =
            life.out_since().map(|since| (since + 2000 + 8 * self.place, since + 10_000 + 8 * self.place));
        match (leaving, emptied) {
            (Some(a), Some(b)) => Some((a.0.min(b.0), a.1.min(b.1))),
            (a, b) => a.or(b),
        }
    }

    pub fn turn_is_over(&self) -> bool {
        self.turn().is_some_and(|(answered, _)| answered <= self.core.clock.now())
    }

    /// Comes to its end when it is closed though idle.
    pub async fn turn_comes(&self) {
        loop {
            let turns = self.core.life.turns();
            match self.turn() {
                None => turns.await,
                Some((_, idle)) if idle <= self.core.clock.now() => return,
                Some((_, idle)) => _ = wait_until(self.core.clock.instant(idle), turns).await,
            }
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.core.clients.set(self.core.clients.get() - 1);
    }
}
