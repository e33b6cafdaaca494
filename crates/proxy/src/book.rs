//! Stage "book": the router, its clock and its lookups. All that happens is told to it here, and what it
//! wants done is noted or spawned, never done within the same call.

use crate::caches::{self, Line};
use crate::clients::admit::Ask;
use crate::http::Held;
use crate::list::Row;
use crate::proxy::{Proxy, wait_until};
use chalkwalk_policy::{Cache, Carrier, Ending, Lkp, Router, Tenths};
use slog::info;
use smol::channel::{Receiver, Sender, bounded};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;

/// The one final answer of a lookup, as the client will read it.
pub struct Answer {
    pub status: u16,
    pub back_in: Option<Tenths>,
    pub kind: String,
    pub body: Vec<u8>,
    pub _held: Option<Held>,
}

impl Answer {
    pub fn bare(status: u16) -> Answer {
        Answer { status, back_in: None, kind: String::new(), body: Vec::new(), _held: None }
    }
}

struct Open {
    ask: Rc<Ask>,
    answer: Option<Sender<Answer>>, // until the lookup has its final answer
    lines: Vec<Rc<Line>>,
    out: usize,
}

/// What is known outside the router: never read by it, and lent to it as its way out.
#[derive(Default)]
pub struct Desk {
    proxy: Option<Rc<Proxy>>,
    open: HashMap<Lkp, Open>,
    pub rows: Vec<Row>,
    pub index: HashMap<String, Cache>,
    pub free: Vec<Cache>, // below the number of rows, and no cache's
    pub zones: Vec<String>,
    wakes: BinaryHeap<Reverse<(Tenths, u64, u64)>>,
    woken: u64,
}

#[derive(Default)]
pub struct Book {
    router: Router,
    pub desk: Desk,
}

impl Carrier for Desk {
    fn shoot(&mut self, lkp: Lkp, cache: Cache, until: Tenths, by: Tenths) {
        let (Some(proxy), Some(open)) = (&self.proxy, self.open.get_mut(&lkp)) else { return };
        let line = Rc::new(Line::new());
        let shot = open.lines.len();
        open.lines.push(line.clone());
        open.out += 1;
        let ask = open.ask.clone();
        let times = (until, by);
        proxy.ex.spawn(caches::send::send(proxy.clone(), lkp, shot, cache, times, ask, line)).detach();
    }
    fn withdraw(&mut self, lkp: Lkp, shot: usize) {
        if let Some(line) = self.open.get(&lkp).and_then(|open| open.lines.get(shot)) {
            line.give_up();
        }
    }
    fn defer(&mut self, lkp: Lkp, back_in: Tenths) {
        let back_in = Some(back_in).filter(|t| *t > 0);
        self.finish(lkp, Answer { back_in, ..Answer::bare(503) });
    }
    fn abandon(&mut self, lkp: Lkp) {
        self.finish(lkp, Answer::bare(500));
    }
    fn probe(&mut self, cache: Cache) {
        if let Some(proxy) = &self.proxy {
            proxy.ex.spawn(caches::probe::probe(proxy.clone(), cache)).detach();
        }
    }
    fn wake(&mut self, token: u64, after: Tenths) {
        let Some(proxy) = &self.proxy else { return };
        let due = proxy.clock.now() + after;
        let sooner = self.wakes.peek().is_none_or(|Reverse(first)| due < first.0);
        self.woken += 1;
        self.wakes.push(Reverse((due, self.woken, token)));
        if sooner {
            _ = proxy.sooner.try_send(());
        }
    }
    fn watch(&mut self) {
        if let Some(proxy) = &self.proxy {
            _ = proxy.asked.try_send(());
        }
    }
    fn log(&mut self, text: &str) {
        if let Some(proxy) = &self.proxy {
            info!(proxy.log, "{}", text);
        }
    }
}

impl Desk {
    fn finish(&mut self, lkp: Lkp, answer: Answer) {
        if let Some(open) = self.open.get_mut(&lkp)
            && let Some(waiting) = open.answer.take()
        {
            _ = waiting.try_send(answer);
        }
        self.tidy(lkp);
    }

    fn tidy(&mut self, lkp: Lkp) {
        if self.open.get(&lkp).is_some_and(|open| open.answer.is_none() && open.out == 0) {
            self.open.remove(&lkp);
        }
    }
}

impl Book {
    /// One call to the router, at the present time.
    pub fn tell<T>(proxy: &Proxy, call: impl FnOnce(&mut Router, &mut Desk) -> T) -> T {
        let mut book = proxy.book.borrow_mut();
        let Book { router, desk } = &mut *book;
        router.clock(proxy.clock.now());
        call(router, desk)
    }

    /// Takes a lookup and routes it; its final answer comes by the channel.
    pub fn take(proxy: &Proxy, ask: Rc<Ask>) -> (Lkp, Receiver<Answer>) {
        let (answer, answered) = bounded(1);
        let lkp = Book::tell(proxy, |router, desk| {
            let lkp = router.take(ask.ns, ask.key(), ask.write, ask.expires);
            desk.open.insert(lkp, Open { ask, answer: Some(answer), lines: Vec::new(), out: 0 });
            lkp.route(router, desk);
            lkp
        });
        (lkp, answered)
    }

    /// A shot has ended, and its connection is closed or back in the pool.
    pub fn ended(proxy: &Proxy, lkp: Lkp, shot: usize, ending: Ending, took: Tenths, answer: Option<Answer>) {
        Book::tell(proxy, |router, desk| {
            if let Some(open) = desk.open.get_mut(&lkp) {
                open.out -= 1;
            }
            if let Some(answer) = answer {
                desk.finish(lkp, answer);
            }
            let finished = desk.open.get(&lkp).is_none_or(|open| open.answer.is_none());
            lkp.shot_ended(router, shot, ending, took, finished, desk);
            desk.tidy(lkp);
        });
    }

    pub fn client_left(proxy: &Proxy, lkp: Lkp) {
        Book::tell(proxy, |router, desk| {
            if let Some(open) = desk.open.get_mut(&lkp) {
                open.answer = None;
            }
            lkp.client_left(router, desk);
            desk.tidy(lkp);
        });
    }

    pub fn give_up_all(proxy: &Proxy) {
        let mut open: Vec<Lkp> = proxy.book.borrow().desk.open.keys().copied().collect();
        open.sort_unstable_by_key(|lkp| lkp.0);
        for lkp in open {
            Book::tell(proxy, |_, desk| desk.finish(lkp, Answer::bare(500)));
            Book::client_left(proxy, lkp);
        }
    }

    pub fn open(&self) -> usize {
        self.desk.open.len()
    }
}

impl Proxy {
    /// Starts the router with what the house allows and the list as last known.
    pub fn open(self: &Rc<Proxy>) {
        let mut book = self.book.borrow_mut();
        let Book { router, desk } = &mut *book;
        desk.proxy = Some(self.clone());
        desk.zones.clone_from(&self.rules.house.zones);
        *router = Router::new(self.rules.seed, &self.rules.house.rules, desk);
        // The router has asked for it where the house watches; elsewhere the list comes by a watch all the same.
        desk.watch();
        drop(book);
        crate::list::known(self);
    }

    /// Calls the router back at the times it has named.
    pub async fn wakes(self: Rc<Proxy>, sooner: Receiver<()>) {
        loop {
            let first = self.book.borrow().desk.wakes.peek().map(|Reverse(first)| *first);
            let now = self.clock.now();
            match first {
                Some((due, _, token)) if due <= now => {
                    Book::tell(&self, |router, desk| {
                        desk.wakes.pop();
                        router.woken(token, desk);
                    });
                }
                Some((due, _, _)) => {
                    _ = wait_until(self.clock.instant(due), sooner.recv()).await;
                }
                None => _ = sooner.recv().await,
            }
        }
    }
}
