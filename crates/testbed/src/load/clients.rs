//! Clients: each lookup is sent when it is due, on a free connection of its client or on a new one, and what comes back
//! is held against what was asked. A late answer holds up no later lookup.

use crate::clock::{Clock, MILLI, Micros, micros, seconds};
use crate::evidence::{Ask, Evidence, Id, What};
use crate::experiment::{Experiment, Namespace, REPLAYABLE, RESP, TAGGED};
use crate::load::front::Front;
use crate::load::plan::{Arrival, Plan, id_of};
use crate::resp::{self, Said};
use crate::stand::{Net, cache::is_for};
use crate::wire::{Conn, Fault};
use smol::future::or;
use smol::{Async, Executor, Timer};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Clients {
    experiment: Experiment,
    clock: Clock,
    evidence: Evidence,
    net: Net,
    pub front: Front,
    idle: Vec<Mutex<Vec<Kept>>>, // by client
    next: AtomicU64,
    open: AtomicUsize,
    pub lateness: Mutex<hdrhistogram::Histogram<u64>>,
    pub refused: AtomicU64,
    pub sent_again: AtomicU64,
    ends: [AtomicU64; 3], // resolved, deferred, and all else
}

struct Kept {
    conn: Conn,
    proxy: usize,
}

/// Beyond the time limit a client waits so long for an answer that comes late, to tell it from none at all.
const LATE_ANSWER: Micros = 500 * MILLI;
/// A connection that ends so soon after a lookup was written to it had been closed before the proxy could read it.
const CROSSING: Micros = 20 * MILLI;
/// The front tries so many others when one refuses a connection.
const OTHERS: usize = 3;
/// Open lookups of the whole load: beyond that the machine is past what it can do, and they count as not sent.
const MOST_OPEN: usize = 50_000;
const CONNECT: Duration = Duration::from_secs(1);
/// Kept for each client; more are closed after their answer.
const MOST_IDLE: usize = 64;

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// What came back.
struct Answer {
    status: u16,
    back_in: Option<Micros>,
    right: bool,
    close: bool,
}

/// How one try ended, as its client sees it.
enum End {
    Resolved,
    Deferred(Option<Micros>),
    Failed,
    /// Nobody took it, or its proxy is gone: nothing is known of its effect.
    Nobody,
    Left,
}

impl Clients {
    pub fn new(experiment: &Experiment, clock: Clock, evidence: Evidence, net: Net) -> Arc<Clients> {
        let histogram = hdrhistogram::Histogram::new(3);
        Arc::new(Clients {
            front: Front::new(experiment.fleet.proxies, clock.clone()),
            idle: (0..experiment.load.clients).map(|_| Mutex::default()).collect(),
            next: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            lateness: Mutex::new(histogram.unwrap_or_else(|_| unreachable!("three digits are allowed"))),
            refused: AtomicU64::new(0),
            sent_again: AtomicU64::new(0),
            ends: Default::default(),
            experiment: experiment.clone(),
            clock,
            evidence,
            net,
        })
    }

    /// Plays the plan to its last arrival.
    pub async fn play(self: Arc<Clients>, ex: Arc<Executor<'static>>) {
        for held in 0..self.experiment.load.hold {
            let arrival = self.first(held);
            ex.spawn(self.clone().holds(arrival)).detach();
        }
        let experiment = self.experiment.clone();
        for arrival in Plan::new(&experiment) {
            if arrival.at > self.clock.now() {
                self.clock.reach(arrival.at).await;
            }
            let late = self.clock.now().saturating_sub(arrival.at);
            _ = lock(&self.lateness).record(late);
            if self.open.load(Ordering::Relaxed) < MOST_OPEN {
                ex.spawn(self.clone().asks(arrival)).detach();
            }
        }
    }

    /// How it stands, in a few words.
    pub fn live(&self) -> String {
        let [resolved, deferred, other] = [0, 1, 2].map(|i| self.ends[i].load(Ordering::Relaxed));
        let open = self.open.load(Ordering::Relaxed);
        format!("resolved {resolved}  deferred {deferred}  other {other}  open {open}")
    }

    /// Closes every connection that is idle.
    pub fn go(&self) {
        self.idle.iter().for_each(|idle| lock(idle).clear());
    }

    fn first(&self, n: usize) -> Arrival {
        let client = n % self.idle.len();
        Arrival { at: 0, ns: 0, key: n as u64, tenant: 0, client, stays: None, heeds: true }
    }

    /// A client that asks once and stays.
    async fn holds(self: Arc<Clients>, arrival: Arrival) {
        let id = id_of(self.experiment.seed, self.next.fetch_add(1, Ordering::Relaxed));
        let Some(mut kept) = self.connect().await else { return };
        self.note_ask(id, id, &arrival, arrival.at);
        if self.write(&kept, id, id, &arrival, false).await.is_ok()
            && let Ok(answer) = self.answer(&mut kept.conn, id, &arrival).await
        {
            let Answer { status, back_in, right, .. } = answer;
            self.evidence.note(id, kept.proxy, What::Answered { status, back_in, right });
        }
        kept.conn.closed().await;
    }

    /// A lookup with all its tries.
    async fn asks(self: Arc<Clients>, arrival: Arrival) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let ns = &self.experiment.namespaces[arrival.ns];
        let load = &self.experiment.load;
        let (mut first, mut due) = (None, arrival.at);
        // Tagged ones only where every cache drops the repeat, and all only in the window.
        let tagged = ns.repeats.get_ref() == TAGGED;
        let harmless = ns.repeats.get_ref() == REPLAYABLE || (tagged && ns.group.get_ref() == "all");
        for again in 0..=load.retries {
            let id = id_of(self.experiment.seed, self.next.fetch_add(1, Ordering::Relaxed));
            let first = *first.get_or_insert(id);
            self.note_ask(id, first, &arrival, due);
            let end = self.one_try(id, first, &arrival, again > 0).await;
            let kind = match end {
                End::Resolved => 0,
                End::Deferred(_) => 1,
                _ => 2,
            };
            self.ends[kind].fetch_add(1, Ordering::Relaxed);
            let wait = match end {
                End::Deferred(Some(back_in)) if arrival.heeds => back_in,
                End::Resolved | End::Left => break,
                // A client sends again what does no harm: what was deferred, and what may run twice.
                End::Failed | End::Nobody if !harmless => break,
                _ => micros(load.backoff_ms / 1e3) << again.min(8),
            };
            Timer::after(Duration::from_micros(wait)).await;
            due = self.clock.now();
            if tagged && due > arrival.at + micros(ns.window_ms / 1e3) {
                break;
            }
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    fn note_ask(&self, id: Id, first: Id, arrival: &Arrival, due: Micros) {
        let limit = micros(self.experiment.namespaces[arrival.ns].limit_ms / 1e3);
        let ask = Ask { ns: arrival.ns, key: arrival.key, first, tenant: arrival.tenant, due, limit };
        self.evidence.ask(id, ask);
    }

    async fn one_try(&self, id: Id, first: Id, arrival: &Arrival, again: bool) -> End {
        let mut twice = false;
        loop {
            // Bound apart, or the lock would be held over the wait.
            let idle = self.idle_of(arrival.client);
            let (mut kept, used) = match idle {
                Some(kept) => (kept, true),
                None => match self.connect().await {
                    Some(kept) => (kept, false),
                    None => {
                        self.evidence.note(id, 0, What::NoProxy);
                        return End::Nobody;
                    }
                },
            };
            let begun = self.clock.now();
            let wrote = self.write(&kept, id, first, arrival, again).await;
            let crossed = |now: Micros| used && !twice && now < begun + CROSSING;
            if wrote.is_err() {
                if crossed(self.clock.now()) {
                    twice = true;
                    self.sent_again.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                self.evidence.note(id, kept.proxy, What::Unanswered { reset: true, fresh: !used });
                return End::Nobody;
            }
            let limit = micros(self.experiment.namespaces[arrival.ns].limit_ms / 1e3);
            let answered = async { Some(self.answer(&mut kept.conn, id, arrival).await) };
            let stays = arrival.stays.map_or(limit + LATE_ANSWER, |stays| stays.min(limit));
            let over = async {
                self.clock.reach(begun + stays).await;
                None
            };
            match or(answered, over).await {
                None => {
                    self.evidence.note(id, kept.proxy, What::Left);
                    return End::Left;
                }
                Some(Err(fault)) => {
                    let now = self.clock.now();
                    if matches!(fault, Fault::Ended) && crossed(now) && !self.evidence.was_shot(id) {
                        twice = true;
                        self.sent_again.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                    let reset = !matches!(fault, Fault::Nonsense);
                    self.evidence.note(id, kept.proxy, What::Unanswered { reset, fresh: !used });
                    return End::Nobody;
                }
                Some(Ok(answer)) => return self.hear(id, arrival, kept, answer),
            }
        }
    }

    /// What comes back for a lookup, in whichever protocol.
    async fn answer(&self, conn: &mut Conn, id: Id, arrival: &Arrival) -> Result<Answer, Fault> {
        if self.experiment.fleet.door == RESP {
            let said = resp::said(conn).await?;
            let (status, back_in) = said.status();
            let write = self.experiment.namespaces[arrival.ns].write;
            let right = match &said {
                // A write's answer says nothing of whom it is for.
                Said::Value(body) => write || is_for(body, id),
                _ => true,
            };
            return Ok(Answer { status, back_in, right, close: false });
        }
        let message = conn.answer().await?;
        let back_in = message.field("Retry-After").and_then(|v| v.parse::<f64>().ok()).map(micros);
        let right = message.status != 200 || is_for(message.body(), id);
        Ok(Answer { status: message.status, back_in, right, close: message.close })
    }

    fn hear(&self, id: Id, arrival: &Arrival, kept: Kept, answer: Answer) -> End {
        let Answer { status, back_in, right, close } = answer;
        self.evidence.note(id, kept.proxy, What::Answered { status, back_in, right });
        if !kept.conn.ahead.is_empty() {
            self.evidence.note(id, kept.proxy, What::Unasked);
        } else if !close {
            let mut idle = lock(&self.idle[arrival.client]);
            if idle.len() < MOST_IDLE {
                idle.push(kept);
            }
        }
        match status {
            200 => End::Resolved,
            429 | 503 => End::Deferred(back_in),
            _ => End::Failed,
        }
    }

    /// A connection of the client's that is open and idle; what came on one that nothing should come on is noted.
    fn idle_of(&self, client: usize) -> Option<Kept> {
        let mut idle = lock(&self.idle[client]);
        while let Some(kept) = idle.pop() {
            if kept.conn.quiet() {
                return Some(kept);
            }
            if kept.conn.stream.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0) {
                self.evidence.note(0, kept.proxy, What::Unasked);
            }
        }
        None
    }

    async fn connect(&self) -> Option<Kept> {
        for _ in 0..=OTHERS {
            let proxy = self.front.deal()?;
            let of_resp = self.experiment.fleet.door == RESP;
            let addr = if of_resp { self.net.resp(proxy) } else { self.net.proxy(proxy) };
            let connecting = async { Async::<TcpStream>::connect(addr).await.ok() };
            let over = async {
                Timer::after(CONNECT).await;
                None
            };
            if let Some(stream) = or(connecting, over).await {
                return Some(Kept { conn: Conn::new(stream), proxy });
            }
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        None
    }

    /// Writes the lookup; a lookup counts as asked from its last byte on.
    async fn write(
        &self,
        kept: &Kept,
        id: Id,
        first: Id,
        arrival: &Arrival,
        again: bool,
    ) -> std::io::Result<()> {
        let ns: &Namespace = &self.experiment.namespaces[arrival.ns];
        if self.experiment.fleet.door == RESP {
            // The key's place is by its tag; behind that it says which lookup it is, and whose effect it repeats.
            let key = format!("{}:{{k{}}}:{id:016x}:{first:016x}", ns.name, arrival.key);
            let command = match ns.write {
                true => resp::written(&[b"SET", key.as_bytes(), b"new value"]),
                false => resp::written(&[b"GET", key.as_bytes()]),
            };
            kept.conn.write(&[&command]).await?;
            self.evidence.note(id, kept.proxy, What::Asked);
            return Ok(());
        }
        let limit = micros(ns.limit_ms / 1e3);
        let mut head = format!(
            "{} /api/k{} HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: {}\r\nX-Time-Left: {:.4}\r\n",
            if ns.write { "PUT" } else { "GET" },
            arrival.key,
            ns.name,
            seconds(limit),
        );
        if let Some(tenant) = self.experiment.load.tenants.get(arrival.tenant) {
            head += &format!("X-Facts: tenant={}\r\n", tenant.name);
        }
        if again {
            head += "X-Repeat: 1\r\n";
        }
        if ns.repeats.get_ref() == TAGGED {
            head += &format!("Idempotency-Key: t{first:016x}\r\n");
        }
        let body: &[u8] = if ns.write { b"new value" } else { b"" };
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        kept.conn.write(&[head.as_bytes(), body]).await?;
        self.evidence.note(id, kept.proxy, What::Asked);
        Ok(())
    }
}
