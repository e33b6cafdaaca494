//! How a baseline answers a request: one attempt after the other.

use super::endpoints::{Endpoints, hash};
use super::{BrokenRule, Strategy};
use crate::wire::{Connection, Message};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use smol::future::or;
use smol::{Async, Timer};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer has to be back so long before the time limit.
const LIMIT_MARGIN_S: f64 = 0.02;
/// However short the time limit, an attempt gets so long.
const MIN_TIME_S: f64 = 0.01;
/// Where a request has no time limit.
const DEFAULT_LIMIT_S: f64 = 1.0;

pub(super) struct Proxy {
    pub strategy: Strategy,
    pub broken: BrokenRule,
    pub max_attempts: usize,
    /// Classes whose requests may run as often as one likes.
    pub replayable: HashSet<String>,
    pub list: SocketAddr,
    pub endpoints: RefCell<Endpoints>,
    pub pool: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    pub random: RefCell<ChaCha8Rng>,
    /// Requests so far, of those that a rule can be broken for.
    pub count: Cell<u64>,
    /// The value that was answered last.
    pub last: RefCell<Vec<u8>>,
    pub accepting: Cell<bool>,
    pub in_flight: Cell<usize>,
}

/// How an attempt came out.
enum AttemptResult {
    Value(Message),
    Miss,
    /// Surely not run.
    Unprocessed,
    Failed,
}

/// A request that is being answered.
struct Pending<'a> {
    request: &'a Message,
    until: Instant,
    tried: Vec<SocketAddr>,
}

impl Proxy {
    /// Takes up a list, and returns its version.
    pub fn apply_list(&self, list: &Value) -> Option<u64> {
        self.endpoints.borrow_mut().apply(list, self.broken == BrokenRule::Drained)
    }

    /// Where a request goes next.
    fn pick(&self, key: &str, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let endpoints = self.endpoints.borrow();
        let length = endpoints.ring_length();
        if length == 0 {
            return None;
        }
        let start = match self.strategy {
            Strategy::Relay => hash(key, 0) as usize % length,
            Strategy::Random => self.random.borrow_mut().random_range(0..length),
            Strategy::Ring => endpoints.position(hash(key, 0)),
        };
        endpoints.first_untried(start, tried)
    }

    /// One attempt.
    pub async fn attempt(&self, addr: SocketAddr, request: &Message, until: Instant) {
        _ = self.attempt_once(addr, request, until).await;
    }

    async fn attempt_once(&self, addr: SocketAddr, request: &Message, until: Instant) -> AttemptResult {
        let attempting = async {
            let Some(mut connection) = self.connection(addr).await else {
                return AttemptResult::Unprocessed;
            };
            if connection.write(&[&request.bytes]).await.is_err() {
                return AttemptResult::Unprocessed;
            }
            let Ok(response) = connection.read_response().await else { return AttemptResult::Failed };
            self.pool.borrow_mut().entry(addr).or_default().push(connection);
            match response.status {
                200 => AttemptResult::Value(response),
                404 => AttemptResult::Miss,
                503 if response.field("X-Unprocessed").is_some() => AttemptResult::Unprocessed,
                _ => AttemptResult::Failed,
            }
        };
        let timeout = async {
            Timer::at(until).await;
            AttemptResult::Failed
        };
        or(attempting, timeout).await
    }

    /// A pooled connection, or a new one.
    async fn connection(&self, addr: SocketAddr) -> Option<Connection> {
        let pooled = self.pool.borrow_mut().get_mut(&addr).and_then(Vec::pop);
        match pooled.filter(Connection::is_idle) {
            Some(connection) => Some(connection),
            None => Async::<TcpStream>::connect(addr).await.ok().map(Connection::new),
        }
    }

    /// The final answer to a request: its value, or the status that refuses it.
    pub async fn answer(&self, request: &Message) -> Result<Message, u16> {
        let key = request.target().rsplit('/').next().unwrap_or("");
        let is_write = request.method() == "PUT";
        let class = request.field("X-Service-Class").unwrap_or("");
        let is_replayable = self.replayable.contains(class);
        let attempts = if self.strategy == Strategy::Relay { 1 } else { self.max_attempts };
        let mut pending = Pending { request, until: deadline(request), tried: Vec::new() };
        let mut write_to = if is_write { self.endpoints.borrow().origin() } else { None };
        let mut may_have_run = false;
        for _ in 0..attempts {
            let Some(addr) = write_to.take().or_else(|| self.pick(key, &pending.tried)) else { break };
            match self.attempt_with_origin(&mut pending, addr).await {
                AttemptResult::Value(response) => return Ok(response),
                AttemptResult::Failed => may_have_run = true,
                AttemptResult::Miss | AttemptResult::Unprocessed => {}
            }
            let must_not_repeat = is_write || (may_have_run && !is_replayable);
            if must_not_repeat || Instant::now() >= pending.until || pending.tried.len() >= self.max_attempts
            {
                break;
            }
        }
        Err(if may_have_run && !is_replayable { 500 } else { 503 })
    }

    /// An attempt at a server, and at the origin where it misses.
    async fn attempt_with_origin(&self, pending: &mut Pending<'_>, addr: SocketAddr) -> AttemptResult {
        pending.tried.push(addr);
        let result = self.attempt_once(addr, pending.request, pending.until).await;
        let origin = self.endpoints.borrow().origin();
        match (result, origin.filter(|_| pending.tried.len() < self.max_attempts)) {
            (AttemptResult::Miss, Some(origin)) => {
                pending.tried.push(origin);
                self.attempt_once(origin, pending.request, pending.until).await
            }
            (result, _) => result,
        }
    }
}

/// Until when a request has to be answered.
fn deadline(request: &Message) -> Instant {
    let limit = request.field("X-Time-Left").and_then(|value| value.parse::<f64>().ok());
    let time = limit.unwrap_or(DEFAULT_LIMIT_S) - LIMIT_MARGIN_S;
    Instant::now() + Duration::from_secs_f64(time.max(MIN_TIME_S))
}
