//! Proxies of the lab's own, to be measured beside: they speak the platform's wire and decide next to nothing. Each can
//! break one rule on purpose, so that it can be shown that the judge sees it.

use crate::model::course::SERVING;
use crate::wire::{Conn, Message, answer_head};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde_json::Value;
use smol::future::or;
use smol::{Async, LocalExecutor, Timer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Passes a lookup to the cache that its key's number names, and tries nothing else: the floor of cost.
    Relay,
    /// Any ready cache of its own zone, by chance; another one after a failure.
    Random,
    /// The plain ring, without bound or exceptions; the next one after a failure.
    Ring,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Break {
    Nothing,
    /// Closes the connection instead of answering, now and then.
    Lose,
    Twice,
    /// Sends a tagged lookup to another cache after it was answered.
    Resend,
    /// Takes no notice of drains.
    Drained,
    /// Answers with the value made for another.
    Swap,
    /// Holds refusals back.
    Hold,
}

impl Kind {
    pub fn named(name: &str) -> Option<Kind> {
        Some(match name {
            "relay" => Kind::Relay,
            "random" => Kind::Random,
            "ring" => Kind::Ring,
            _ => return None,
        })
    }
}

impl Break {
    pub fn named(name: &str) -> Option<Break> {
        Some(match name {
            "lose" => Break::Lose,
            "twice" => Break::Twice,
            "resend" => Break::Resend,
            "drained" => Break::Drained,
            "swap" => Break::Swap,
            "hold" => Break::Hold,
            _ => return None,
        })
    }
}

struct Node {
    id: String,
    addr: SocketAddr,
    zone: String,
    origin: bool,
    ready: bool,
}

struct Namespace {
    repeats: String,
}

struct Proxy {
    kind: Kind,
    broken: Break,
    zone: String,
    most_shots: usize,
    namespaces: HashMap<String, Namespace>,
    list: SocketAddr,
    nodes: RefCell<Vec<Node>>,
    ring: RefCell<Vec<(u64, usize)>>,
    pool: RefCell<HashMap<SocketAddr, Vec<Conn>>>,
    chance: RefCell<ChaCha8Rng>,
    count: Cell<u64>,
    last: RefCell<Vec<u8>>,
    usable: Cell<bool>,
    open: Cell<usize>,
}

/// Points of a cache on the plain ring, as many as chalkwalk has.
const POINTS: u64 = 128;
/// A broken rule is broken in every so many lookups.
const NOW_AND_THEN: u64 = 50;
const HELD: Duration = Duration::from_millis(600);
/// After SIGTERM connections are still taken for so long, and open lookups have so long to end.
const LEAVING: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(2500));

fn hash(text: &str, salt: u64) -> u64 {
    let seen =
        text.bytes().fold(0xcbf2_9ce4_8422_2325 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15), |h: u64, b| {
            (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
        });
    (seen ^ (seen >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (seen >> 32)
}

/// How a shot came out.
enum Shot {
    Value(Message),
    Miss,
    /// Surely not run.
    Unseen,
    Failed,
}

impl Proxy {
    /// Takes what a list says.
    fn hear(&self, said: &Value) -> Option<u64> {
        let mut nodes = self.nodes.borrow_mut();
        if said.get("full")?.as_bool()? && self.broken != Break::Drained {
            nodes.iter_mut().for_each(|n| n.ready = false);
        }
        for line in said.get("servers")?.as_array()? {
            let word = |name: &str| line.get(name).and_then(Value::as_str);
            let (id, addr) = (word("id")?, word("addr")?.parse().ok()?);
            let ready = word("state") == Some(SERVING) || self.broken == Break::Drained;
            match nodes.iter_mut().find(|n| n.id == id) {
                Some(node) => (node.addr, node.ready) = (addr, ready),
                None => nodes.push(Node {
                    id: id.to_string(),
                    addr,
                    zone: word("zone").unwrap_or("").to_string(),
                    origin: word("kind") == Some("origin"),
                    ready,
                }),
            }
        }
        let own = |n: &&Node| !n.origin && n.ready && n.zone == self.zone;
        let any = nodes.iter().any(|n| own(&n));
        let usable = nodes.iter().enumerate().filter(|(_, n)| own(n) || (!any && !n.origin && n.ready));
        let mut ring: Vec<(u64, usize)> =
            usable.flat_map(|(i, n)| (1..=POINTS).map(move |p| (hash(&n.id, p), i))).collect();
        ring.sort_unstable();
        *self.ring.borrow_mut() = ring;
        said.get("version")?.as_u64()
    }

    /// Where a lookup goes next, after so many tries.
    fn pick(&self, key: &str, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let (nodes, ring) = (self.nodes.borrow(), self.ring.borrow());
        if ring.is_empty() {
            return None;
        }
        let start = match self.kind {
            Kind::Relay => hash(key, 0) as usize % ring.len(),
            Kind::Random => self.chance.borrow_mut().random_range(0..ring.len()),
            Kind::Ring => ring.partition_point(|p| p.0 < hash(key, 0)),
        };
        let addrs = (0..ring.len()).map(|i| nodes[ring[(start + i) % ring.len()].1].addr);
        let mut fresh = addrs.filter(|a| !tried.contains(a));
        fresh.next()
    }

    fn origin(&self) -> Option<SocketAddr> {
        self.nodes.borrow().iter().find(|n| n.origin && n.ready).map(|n| n.addr)
    }

    /// A cache in service of another zone than the origin's: one rule is broken at a time.
    fn elsewhere(&self) -> Option<SocketAddr> {
        let nodes = self.nodes.borrow();
        let zone = nodes.iter().find(|n| n.origin).map(|n| n.zone.clone()).unwrap_or_default();
        nodes.iter().find(|n| !n.origin && n.ready && n.zone != zone).map(|n| n.addr)
    }

    async fn shoot(&self, addr: SocketAddr, question: &Message, until: Instant) -> Shot {
        let mut written = false;
        let shooting = async {
            let kept = self.pool.borrow_mut().get_mut(&addr).and_then(Vec::pop).filter(Conn::quiet);
            let mut conn = match kept {
                Some(conn) => conn,
                None => match Async::<TcpStream>::connect(addr).await {
                    Ok(stream) => Conn::new(stream),
                    Err(_) => return Shot::Unseen,
                },
            };
            if conn.write(&[&question.bytes]).await.is_err() {
                return Shot::Unseen;
            }
            written = true;
            let Ok(answer) = conn.answer().await else { return Shot::Failed };
            let shot = match answer.status {
                200 => Shot::Value(answer),
                404 => Shot::Miss,
                503 if answer.field("X-Unprocessed").is_some() => Shot::Unseen,
                _ => Shot::Failed,
            };
            self.pool.borrow_mut().entry(addr).or_default().push(conn);
            shot
        };
        let over = async {
            Timer::at(until).await;
            Shot::Failed
        };
        or(shooting, over).await
    }

    /// The final answer to a lookup: its value, or the status that refuses it.
    async fn answer(&self, question: &Message) -> Result<Message, u16> {
        let key = question.target().rsplit('/').next().unwrap_or("");
        let write = question.method() == "PUT";
        let class = question.field("X-Service-Class").unwrap_or("");
        let left = question.field("X-Time-Left").and_then(|v| v.parse::<f64>().ok()).unwrap_or(1.0);
        let until = Instant::now() + Duration::from_secs_f64((left - 0.02).max(0.01));
        let replayable = self.namespaces.get(class).is_some_and(|n| n.repeats == "free");
        let tries = if self.kind == Kind::Relay { 1 } else { self.most_shots };
        let (mut tried, mut to, mut ran) = (Vec::new(), None, false);
        if write {
            to = self.origin();
        }
        for _ in 0..tries {
            let Some(addr) = to.take().or_else(|| self.pick(key, &tried)) else { break };
            tried.push(addr);
            let mut shot = self.shoot(addr, question, until).await;
            if let (Shot::Miss, Some(origin)) =
                (&shot, self.origin().filter(|_| tried.len() < self.most_shots))
            {
                tried.push(origin);
                shot = self.shoot(origin, question, until).await;
            }
            match shot {
                Shot::Value(answer) => return Ok(answer),
                Shot::Failed => ran = true,
                _ => {}
            }
            if (ran && !replayable) || Instant::now() >= until || write || tried.len() >= self.most_shots {
                break;
            }
        }
        Err(if ran && !replayable { 500 } else { 503 })
    }

    async fn serve(self: Rc<Self>, mut conn: Conn) {
        while let Ok(question) = conn.question().await {
            if question.target() == "/up" {
                let status = if self.usable.get() { 200 } else { 503 };
                if conn.write(&[answer_head(status, 0, "").as_bytes()]).await.is_err() {
                    return;
                }
                continue;
            }
            // Of those that it can be broken for: else chance decides whether it is broken at all.
            let tagged = question.field("Idempotency-Key").is_some();
            self.count.set(self.count.get() + u64::from(tagged || self.broken != Break::Resend));
            let now_and_then = self.count.get().is_multiple_of(NOW_AND_THEN);
            self.open.set(self.open.get() + 1);
            let answer = self.answer(&question).await;
            let written = match answer {
                Ok(_) if self.broken == Break::Lose && now_and_then => {
                    self.open.set(self.open.get() - 1);
                    return;
                }
                Ok(value) => {
                    let mut body = value.body().to_vec();
                    if self.broken == Break::Swap {
                        let last = self.last.replace(body.clone());
                        if now_and_then && !last.is_empty() {
                            body = last;
                        }
                    }
                    let close = if self.usable.get() { "" } else { "Connection: close\r\n" };
                    let head = answer_head(200, body.len(), close);
                    if self.broken == Break::Twice && now_and_then {
                        _ = conn.write(&[head.as_bytes(), &body]).await;
                    }
                    conn.write(&[head.as_bytes(), &body]).await
                }
                Err(status) => {
                    if self.broken == Break::Hold {
                        Timer::after(HELD).await;
                    }
                    let extra = if status == 503 { "Retry-After: 0.5\r\n" } else { "" };
                    conn.write(&[answer_head(status, 0, extra).as_bytes()]).await
                }
            };
            if self.broken == Break::Resend
                && now_and_then
                && tagged
                && let Some(addr) = self.elsewhere()
            {
                _ = self.shoot(addr, &question, Instant::now() + Duration::from_secs(1)).await;
            }
            self.open.set(self.open.get() - 1);
            if written.is_err() || question.close || !self.usable.get() {
                return;
            }
        }
    }

    /// Follows the list by its watch, from the whole of it on after each failure.
    async fn follow(self: Rc<Self>) {
        loop {
            let mut version = None;
            if let Ok(stream) = Async::<TcpStream>::connect(self.list).await {
                let mut conn = Conn::new(stream);
                loop {
                    let target = match version {
                        Some(version) => format!("/discovery/hosts?index={version}&wait=10000"),
                        None => "/discovery/hosts".to_string(),
                    };
                    let head = format!("GET {target} HTTP/1.1\r\nHost: list\r\n\r\n");
                    if conn.write(&[head.as_bytes()]).await.is_err() {
                        break;
                    }
                    let Ok(answer) = conn.answer().await else { break };
                    let said: Option<Value> = serde_json::from_slice(answer.body()).ok();
                    match said.filter(|_| answer.status == 200).and_then(|said| self.hear(&said)) {
                        Some(heard) => version = Some(heard),
                        None => break,
                    }
                }
            }
            Timer::after(Duration::from_millis(500)).await;
        }
    }
}

/// Runs one proxy until it is told to end.
pub fn run(kind: Kind, broken: Break, config: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(config).map_err(|e| format!("cannot read {config}: {e}"))?;
    let said: Value = serde_json::from_str(&text).map_err(|e| format!("{config} is no JSON: {e}"))?;
    let address = |name: &str| {
        let word = said.get(name).and_then(Value::as_str);
        word.and_then(|w| w.parse::<SocketAddr>().ok()).ok_or(format!("field {name}: expected an address"))
    };
    let settings = &said["settings"];
    let namespaces = settings["namespaces"].as_array().cloned().unwrap_or_default();
    let named = |n: &Value| {
        let word = |name: &str| n[name].as_str().unwrap_or("").to_string();
        (word("name"), Namespace { repeats: word("idempotency") })
    };
    let proxy = Rc::new(Proxy {
        kind,
        broken,
        zone: settings["az"].as_str().unwrap_or("").to_string(),
        most_shots: settings["ceilings"]["mostShots"].as_u64().unwrap_or(1) as usize,
        namespaces: namespaces.iter().map(named).collect(),
        list: address("discovery")?,
        nodes: RefCell::default(),
        ring: RefCell::default(),
        pool: RefCell::default(),
        chance: RefCell::new(ChaCha8Rng::seed_from_u64(
            u64::from_str_radix(said["seed"].as_str().unwrap_or("1"), 16).unwrap_or(1),
        )),
        count: Cell::new(0),
        last: RefCell::default(),
        usable: Cell::new(true),
        open: Cell::new(0),
    });
    proxy.hear(&said["known"]);
    let listen = address("listen")?;
    let listener = TcpListener::bind(listen).map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    _ = socket2::SockRef::from(&listener).listen(1024);
    let listener = Async::new(listener).map_err(|e| e.to_string())?;
    let signals = async_signal::Signals::new([async_signal::Signal::Term, async_signal::Signal::Int]);
    let mut signals = signals.map_err(|e| e.to_string())?;
    let ex = LocalExecutor::new();
    smol::block_on(ex.run(async {
        ex.spawn(proxy.clone().follow()).detach();
        let accepting = async {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    ex.spawn(proxy.clone().serve(Conn::new(stream))).detach();
                }
            }
        };
        let told = async {
            use smol::stream::StreamExt;
            _ = signals.next().await;
            proxy.usable.set(false);
            Timer::after(LEAVING.0).await;
            let end = Instant::now() + LEAVING.1;
            while proxy.open.get() > 0 && Instant::now() < end {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        or(accepting, told).await;
    }));
    Ok(())
}
