//! Proxies of the testbed's own, to be measured beside: they speak the platform's wire and decide next to nothing. Each can
//! break one rule on purpose, so that it can be shown that the judge sees it.

use crate::model::timeline::SERVING;
use crate::wire::{Connection, Message, response_head};
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
pub enum Strategy {
    /// Passes a request to the server that its key's number names, and tries nothing else: the floor of cost.
    Relay,
    /// Any ready server of its own zone, by chance; another one after a failure.
    Random,
    /// The plain ring, without bound or exceptions; the next one after a failure.
    Ring,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BrokenRule {
    Nothing,
    /// Closes the connection instead of answering, now and then.
    Lose,
    Twice,
    /// Sends a tagged request to another server after it was answered.
    Resend,
    /// Takes no notice of drains.
    Drained,
    /// Answers with the value made for another.
    Swap,
    /// Holds refusals back.
    Hold,
}

impl Strategy {
    pub fn named(name: &str) -> Option<Strategy> {
        Some(match name {
            "relay" => Strategy::Relay,
            "random" => Strategy::Random,
            "ring" => Strategy::Ring,
            _ => return None,
        })
    }
}

impl BrokenRule {
    pub fn named(name: &str) -> Option<BrokenRule> {
        Some(match name {
            "lose" => BrokenRule::Lose,
            "twice" => BrokenRule::Twice,
            "resend" => BrokenRule::Resend,
            "drained" => BrokenRule::Drained,
            "swap" => BrokenRule::Swap,
            "hold" => BrokenRule::Hold,
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

struct RequestClass {
    repeats: String,
}

struct Proxy {
    kind: Strategy,
    broken: BrokenRule,
    zone: String,
    max_attempts: usize,
    classes: HashMap<String, RequestClass>,
    list: SocketAddr,
    nodes: RefCell<Vec<Node>>,
    ring: RefCell<Vec<(u64, usize)>>,
    pool: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    chance: RefCell<ChaCha8Rng>,
    count: Cell<u64>,
    last: RefCell<Vec<u8>>,
    accepting: Cell<bool>,
    in_flight: Cell<usize>,
}

/// Points of a server on the plain ring, as many as chalkwalk has.
const RING_POINTS: u64 = 128;
/// A broken rule is broken in every so many requests.
const BREAK_EVERY: u64 = 50;
const HOLD_TIME: Duration = Duration::from_millis(600);
/// After SIGTERM connections are still taken for so long, and open requests have so long to end.
const LEAVING: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(2500));

fn hash(text: &str, salt: u64) -> u64 {
    let seen =
        text.bytes().fold(0xcbf2_9ce4_8422_2325 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15), |h: u64, b| {
            (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
        });
    (seen ^ (seen >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (seen >> 32)
}

/// How an attempt came out.
enum AttemptResult {
    Value(Message),
    Miss,
    /// Surely not run.
    Unprocessed,
    Failed,
}

impl Proxy {
    /// Takes what a list says.
    fn apply_list(&self, listed: &Value) -> Option<u64> {
        let mut nodes = self.nodes.borrow_mut();
        if listed.get("full")?.as_bool()? && self.broken != BrokenRule::Drained {
            nodes.iter_mut().for_each(|n| n.ready = false);
        }
        for line in listed.get("servers")?.as_array()? {
            let text = |name: &str| line.get(name).and_then(Value::as_str);
            let (id, addr) = (text("id")?, text("addr")?.parse().ok()?);
            let ready = text("state") == Some(SERVING) || self.broken == BrokenRule::Drained;
            match nodes.iter_mut().find(|n| n.id == id) {
                Some(node) => (node.addr, node.ready) = (addr, ready),
                None => nodes.push(Node {
                    id: id.to_string(),
                    addr,
                    zone: text("zone").unwrap_or("").to_string(),
                    origin: text("kind") == Some("origin"),
                    ready,
                }),
            }
        }
        let own = |n: &&Node| !n.origin && n.ready && n.zone == self.zone;
        let any = nodes.iter().any(|n| own(&n));
        let accepting = nodes.iter().enumerate().filter(|(_, n)| own(n) || (!any && !n.origin && n.ready));
        let mut ring: Vec<(u64, usize)> =
            accepting.flat_map(|(i, n)| (1..=RING_POINTS).map(move |p| (hash(&n.id, p), i))).collect();
        ring.sort_unstable();
        *self.ring.borrow_mut() = ring;
        listed.get("version")?.as_u64()
    }

    /// Where a request goes next, after so many tries.
    fn pick(&self, key: &str, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let (nodes, ring) = (self.nodes.borrow(), self.ring.borrow());
        if ring.is_empty() {
            return None;
        }
        let start = match self.kind {
            Strategy::Relay => hash(key, 0) as usize % ring.len(),
            Strategy::Random => self.chance.borrow_mut().random_range(0..ring.len()),
            Strategy::Ring => ring.partition_point(|p| p.0 < hash(key, 0)),
        };
        let addrs = (0..ring.len()).map(|i| nodes[ring[(start + i) % ring.len()].1].addr);
        let mut untried = addrs.filter(|a| !tried.contains(a));
        untried.next()
    }

    fn origin(&self) -> Option<SocketAddr> {
        self.nodes.borrow().iter().find(|n| n.origin && n.ready).map(|n| n.addr)
    }

    /// A server in service of another zone than the origin's: one rule is broken at a time.
    fn server_of_another_zone(&self) -> Option<SocketAddr> {
        let nodes = self.nodes.borrow();
        let zone = nodes.iter().find(|n| n.origin).map(|n| n.zone.clone()).unwrap_or_default();
        nodes.iter().find(|n| !n.origin && n.ready && n.zone != zone).map(|n| n.addr)
    }

    async fn attempt(&self, addr: SocketAddr, request: &Message, until: Instant) -> AttemptResult {
        let mut written = false;
        let attempting = async {
            let pooled = self.pool.borrow_mut().get_mut(&addr).and_then(Vec::pop).filter(Connection::is_idle);
            let mut conn = match pooled {
                Some(conn) => conn,
                None => match Async::<TcpStream>::connect(addr).await {
                    Ok(stream) => Connection::new(stream),
                    Err(_) => return AttemptResult::Unprocessed,
                },
            };
            if conn.write(&[&request.bytes]).await.is_err() {
                return AttemptResult::Unprocessed;
            }
            written = true;
            let Ok(answer) = conn.read_response().await else { return AttemptResult::Failed };
            let result = match answer.status {
                200 => AttemptResult::Value(answer),
                404 => AttemptResult::Miss,
                503 if answer.field("X-Unprocessed").is_some() => AttemptResult::Unprocessed,
                _ => AttemptResult::Failed,
            };
            self.pool.borrow_mut().entry(addr).or_default().push(conn);
            result
        };
        let over = async {
            Timer::at(until).await;
            AttemptResult::Failed
        };
        or(attempting, over).await
    }

    /// The final answer to a request: its value, or the status that refuses it.
    async fn answer(&self, request: &Message) -> Result<Message, u16> {
        let key = request.target().rsplit('/').next().unwrap_or("");
        let write = request.method() == "PUT";
        let class = request.field("X-Service-RequestClass").unwrap_or("");
        let left = request.field("X-Time-Left").and_then(|v| v.parse::<f64>().ok()).unwrap_or(1.0);
        let until = Instant::now() + Duration::from_secs_f64((left - 0.02).max(0.01));
        let replayable = self.classes.get(class).is_some_and(|n| n.repeats == "free");
        let tries = if self.kind == Strategy::Relay { 1 } else { self.max_attempts };
        let (mut tried, mut to, mut ran) = (Vec::new(), None, false);
        if write {
            to = self.origin();
        }
        for _ in 0..tries {
            let Some(addr) = to.take().or_else(|| self.pick(key, &tried)) else { break };
            tried.push(addr);
            let mut result = self.attempt(addr, request, until).await;
            if let (AttemptResult::Miss, Some(origin)) =
                (&result, self.origin().filter(|_| tried.len() < self.max_attempts))
            {
                tried.push(origin);
                result = self.attempt(origin, request, until).await;
            }
            match result {
                AttemptResult::Value(answer) => return Ok(answer),
                AttemptResult::Failed => ran = true,
                _ => {}
            }
            if (ran && !replayable) || Instant::now() >= until || write || tried.len() >= self.max_attempts {
                break;
            }
        }
        Err(if ran && !replayable { 500 } else { 503 })
    }

    async fn serve(self: Rc<Self>, mut conn: Connection) {
        while let Ok(request) = conn.read_request().await {
            if request.target() == "/up" {
                let status = if self.accepting.get() { 200 } else { 503 };
                if conn.write(&[response_head(status, 0, "").as_bytes()]).await.is_err() {
                    return;
                }
                continue;
            }
            // Of those that it can be broken for: else chance decides whether it is broken at all.
            let tagged = request.field("Idempotency-Key").is_some();
            self.count.set(self.count.get() + u64::from(tagged || self.broken != BrokenRule::Resend));
            let break_now = self.count.get().is_multiple_of(BREAK_EVERY);
            self.in_flight.set(self.in_flight.get() + 1);
            let answer = self.answer(&request).await;
            let written = match answer {
                Ok(_) if self.broken == BrokenRule::Lose && break_now => {
                    self.in_flight.set(self.in_flight.get() - 1);
                    return;
                }
                Ok(value) => {
                    let mut body = value.body().to_vec();
                    if self.broken == BrokenRule::Swap {
                        let last = self.last.replace(body.clone());
                        if break_now && !last.is_empty() {
                            body = last;
                        }
                    }
                    let close = if self.accepting.get() { "" } else { "Connection: close\r\n" };
                    let head = response_head(200, body.len(), close);
                    if self.broken == BrokenRule::Twice && break_now {
                        _ = conn.write(&[head.as_bytes(), &body]).await;
                    }
                    conn.write(&[head.as_bytes(), &body]).await
                }
                Err(status) => {
                    if self.broken == BrokenRule::Hold {
                        Timer::after(HOLD_TIME).await;
                    }
                    let extra = if status == 503 { "Retry-After: 0.5\r\n" } else { "" };
                    conn.write(&[response_head(status, 0, extra).as_bytes()]).await
                }
            };
            if self.broken == BrokenRule::Resend
                && break_now
                && tagged
                && let Some(addr) = self.server_of_another_zone()
            {
                _ = self.attempt(addr, &request, Instant::now() + Duration::from_secs(1)).await;
            }
            self.in_flight.set(self.in_flight.get() - 1);
            if written.is_err() || request.close || !self.accepting.get() {
                return;
            }
        }
    }

    /// Follows the list by its watch, from the whole of it on after each failure.
    async fn follow(self: Rc<Self>) {
        loop {
            let mut version = None;
            if let Ok(stream) = Async::<TcpStream>::connect(self.list).await {
                let mut conn = Connection::new(stream);
                loop {
                    let target = match version {
                        Some(version) => format!("/discovery/hosts?index={version}&wait=10000"),
                        None => "/discovery/hosts".to_string(),
                    };
                    let head = format!("GET {target} HTTP/1.1\r\nHost: list\r\n\r\n");
                    if conn.write(&[head.as_bytes()]).await.is_err() {
                        break;
                    }
                    let Ok(answer) = conn.read_response().await else { break };
                    let listed: Option<Value> = serde_json::from_slice(answer.body()).ok();
                    match listed.filter(|_| answer.status == 200).and_then(|listed| self.apply_list(&listed))
                    {
                        Some(new_version) => version = Some(new_version),
                        None => break,
                    }
                }
            }
            Timer::after(Duration::from_millis(500)).await;
        }
    }
}

/// Runs one proxy until it is told to end.
pub fn run(kind: Strategy, broken: BrokenRule, config: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(config).map_err(|e| format!("cannot read {config}: {e}"))?;
    let listed: Value = serde_json::from_str(&text).map_err(|e| format!("{config} is no JSON: {e}"))?;
    let address = |name: &str| {
        let text = listed.get(name).and_then(Value::as_str);
        text.and_then(|w| w.parse::<SocketAddr>().ok()).ok_or(format!("field {name}: expected an address"))
    };
    let settings = &listed["settings"];
    let classes = settings["namespaces"].as_array().cloned().unwrap_or_default();
    let named = |n: &Value| {
        let text = |name: &str| n[name].as_str().unwrap_or("").to_string();
        (text("name"), RequestClass { repeats: text("idempotency") })
    };
    let proxy = Rc::new(Proxy {
        kind,
        broken,
        zone: settings["az"].as_str().unwrap_or("").to_string(),
        max_attempts: settings["ceilings"]["mostShots"].as_u64().unwrap_or(1) as usize,
        classes: classes.iter().map(named).collect(),
        list: address("discovery")?,
        nodes: RefCell::default(),
        ring: RefCell::default(),
        pool: RefCell::default(),
        chance: RefCell::new(ChaCha8Rng::seed_from_u64(
            u64::from_str_radix(listed["seed"].as_str().unwrap_or("1"), 16).unwrap_or(1),
        )),
        count: Cell::new(0),
        last: RefCell::default(),
        accepting: Cell::new(true),
        in_flight: Cell::new(0),
    });
    proxy.apply_list(&listed["known"]);
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
                    ex.spawn(proxy.clone().serve(Connection::new(stream))).detach();
                }
            }
        };
        let terminated = async {
            use smol::stream::StreamExt;
            _ = signals.next().await;
            proxy.accepting.set(false);
            Timer::after(LEAVING.0).await;
            let end = Instant::now() + LEAVING.1;
            while proxy.in_flight.get() > 0 && Instant::now() < end {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        or(accepting, terminated).await;
    }));
    Ok(())
}
