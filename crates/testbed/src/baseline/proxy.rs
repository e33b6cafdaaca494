//! How a baseline proxy answers a request: attempts are made one after the other, never in
//! parallel.

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

/// An attempt times out this long before the request's time limit, so that the answer still arrives
/// in time.
const LIMIT_MARGIN_S: f64 = 0.02;
/// The minimum time for the attempts of a request, however short its time limit is.
const MIN_ATTEMPT_TIME_S: f64 = 0.01;
/// The time limit of a request that states none.
const DEFAULT_LIMIT_S: f64 = 1.0;

pub(super) struct Proxy {
    pub strategy: Strategy,
    pub broken_rule: BrokenRule,
    pub max_attempts: usize,
    /// Names of the request classes whose requests may run any number of times.
    pub replayable_classes: HashSet<String>,
    pub list_addr: SocketAddr,
    pub endpoints: RefCell<Endpoints>,
    pub pool: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    pub random: RefCell<ChaCha8Rng>,
    /// Number of requests so far for which the rule can be broken.
    pub request_count: Cell<u64>,
    /// The value of the last answer.
    pub last_value: RefCell<Vec<u8>>,
    pub accepting: Cell<bool>,
    pub in_flight: Cell<usize>,
}

/// The result of one attempt at a server.
enum AttemptResult {
    Value(Message),
    Miss,
    /// The server has certainly not run the request.
    Unprocessed,
    Failed,
}

/// A request that is not answered yet.
struct Pending<'a> {
    request: &'a Message,
    deadline: Instant,
    tried: Vec<SocketAddr>,
}

impl Proxy {
    /// Applies an update of the endpoint list and returns its version.
    pub fn apply_list(&self, list: &Value) -> Option<u64> {
        self.endpoints.borrow_mut().apply(list, self.broken_rule == BrokenRule::IgnoreDrains)
    }

    /// Chooses the server of the next attempt, or `None` if all were tried.
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

    /// Sends a request to a server once and ignores the result.
    pub async fn attempt_ignoring_result(&self, addr: SocketAddr, request: &Message, deadline: Instant) {
        _ = self.attempt_once(addr, request, deadline).await;
    }

    async fn attempt_once(&self, addr: SocketAddr, request: &Message, deadline: Instant) -> AttemptResult {
        let result = async {
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
            Timer::at(deadline).await;
            AttemptResult::Failed
        };
        or(result, timeout).await
    }

    /// An idle connection from the pool, or a new one.
    async fn connection(&self, addr: SocketAddr) -> Option<Connection> {
        let pooled = self.pool.borrow_mut().get_mut(&addr).and_then(Vec::pop);
        match pooled.filter(Connection::is_idle) {
            Some(connection) => Some(connection),
            None => Async::<TcpStream>::connect(addr).await.ok().map(Connection::new),
        }
    }

    /// The final answer to a request: the response with its value, or the status code that refuses
    /// it.
    pub async fn answer(&self, request: &Message) -> Result<Message, u16> {
        let key = request.target().rsplit('/').next().unwrap_or("");
        let is_write = request.method() == "PUT";
        let class = request.field("X-Service-Class").unwrap_or("");
        let is_replayable = self.replayable_classes.contains(class);
        let attempt_limit = if self.strategy == Strategy::Relay { 1 } else { self.max_attempts };
        let mut pending = Pending { request, deadline: deadline(request), tried: Vec::new() };
        let mut write_origin = if is_write { self.endpoints.borrow().origin() } else { None };
        let mut may_have_run = false;
        for _ in 0..attempt_limit {
            let Some(addr) = write_origin.take().or_else(|| self.pick(key, &pending.tried)) else { break };
            match self.attempt_with_origin(&mut pending, addr).await {
                AttemptResult::Value(response) => return Ok(response),
                AttemptResult::Failed => may_have_run = true,
                AttemptResult::Miss | AttemptResult::Unprocessed => {}
            }
            let must_not_repeat = is_write || (may_have_run && !is_replayable);
            if must_not_repeat
                || Instant::now() >= pending.deadline
                || pending.tried.len() >= self.max_attempts
            {
                break;
            }
        }
        Err(if may_have_run && !is_replayable { 500 } else { 503 })
    }

    /// Makes an attempt at a server, and another at the origin if the server does not have the
    /// value.
    async fn attempt_with_origin(&self, pending: &mut Pending<'_>, addr: SocketAddr) -> AttemptResult {
        pending.tried.push(addr);
        let result = self.attempt_once(addr, pending.request, pending.deadline).await;
        let origin = self.endpoints.borrow().origin();
        match (result, origin.filter(|_| pending.tried.len() < self.max_attempts)) {
            (AttemptResult::Miss, Some(origin)) => {
                pending.tried.push(origin);
                self.attempt_once(origin, pending.request, pending.deadline).await
            }
            (result, _) => result,
        }
    }
}

/// When the attempts of a request time out.
fn deadline(request: &Message) -> Instant {
    let limit_s = request.field("X-Time-Left").and_then(|value| value.parse::<f64>().ok());
    let timeout_s = limit_s.unwrap_or(DEFAULT_LIMIT_S) - LIMIT_MARGIN_S;
    Instant::now() + Duration::from_secs_f64(timeout_s.max(MIN_ATTEMPT_TIME_S))
}
