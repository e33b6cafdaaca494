//! Clients: each request is sent when it is due, on a free connection of its client or on a new one, and what comes back
//! is held against what was asked. A late answer holds up no later request.

use crate::clock::{Clock, MILLI, Micros, micros, seconds};
use crate::evidence::{ClientRequest, EventKind, Evidence, Id};
use crate::experiment::{Experiment, PROTOCOL_RESP, REPEATS_REPLAYABLE, REPEATS_TAGGED, RequestClass};
use crate::load::front::Front;
use crate::load::plan::{Arrival, ArrivalPlan, request_id};
use crate::resp::{self, RespAnswer};
use crate::stand::{Net, server::is_for};
use crate::wire::{Connection, ReadError};
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
    idle: Vec<Mutex<Vec<ClientConnection>>>, // by client
    next: AtomicU64,
    open: AtomicUsize,
    pub send_delay: Mutex<hdrhistogram::Histogram<u64>>,
    pub refused: AtomicU64,
    pub sent_again: AtomicU64,
    outcome_counts: [AtomicU64; 3], // resolved, deferred, and all else
}

struct ClientConnection {
    conn: Connection,
    proxy: usize,
}

/// Beyond the time limit a client waits so long for an answer that comes late, to tell it from none at all.
const LATE_ANSWER_WAIT: Micros = 500 * MILLI;
/// A connection that ends so soon after a request was written to it had been closed before the proxy could read it.
const CLOSE_RACE: Micros = 20 * MILLI;
/// The front tries so many others when one refuses a connection.
const CONNECT_RETRIES: usize = 3;
/// Open requests of the whole load: beyond that the machine is past what it can do, and they count as not sent.
const MAX_OPEN: usize = 50_000;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Kept for each client; more are closed after their answer.
const MAX_IDLE: usize = 64;

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// What came back.
struct ClientAnswer {
    status: u16,
    retry_after: Option<Micros>,
    matches: bool,
    close: bool,
}

/// How one try ended, as its client sees it.
enum TryOutcome {
    Served,
    Rejected(Option<Micros>),
    Failed,
    /// Nobody took it, or its proxy is gone: nothing is known of its effect.
    NoAnswer,
    Cancelled,
}

impl Clients {
    pub fn new(experiment: &Experiment, clock: Clock, evidence: Evidence, net: Net) -> Arc<Clients> {
        let histogram = hdrhistogram::Histogram::new(3);
        Arc::new(Clients {
            front: Front::new(experiment.fleet.proxies, clock.clone()),
            idle: (0..experiment.load.clients).map(|_| Mutex::default()).collect(),
            next: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            send_delay: Mutex::new(histogram.unwrap_or_else(|_| unreachable!("three digits are allowed"))),
            refused: AtomicU64::new(0),
            sent_again: AtomicU64::new(0),
            outcome_counts: Default::default(),
            experiment: experiment.clone(),
            clock,
            evidence,
            net,
        })
    }

    /// Plays the plan to its last arrival.
    pub async fn play(self: Arc<Clients>, ex: Arc<Executor<'static>>) {
        for held in 0..self.experiment.load.held_connections {
            let arrival = self.first(held);
            ex.spawn(self.clone().hold_connection(arrival)).detach();
        }
        let experiment = self.experiment.clone();
        for arrival in ArrivalPlan::new(&experiment) {
            if arrival.at > self.clock.now() {
                self.clock.sleep_until(arrival.at).await;
            }
            let late = self.clock.now().saturating_sub(arrival.at);
            _ = lock(&self.send_delay).record(late);
            if self.open.load(Ordering::Relaxed) < MAX_OPEN {
                ex.spawn(self.clone().run_request(arrival)).detach();
            }
        }
    }

    /// How it stands, in a few words.
    pub fn status_line(&self) -> String {
        let [resolved, deferred, other] = [0, 1, 2].map(|i| self.outcome_counts[i].load(Ordering::Relaxed));
        let open = self.open.load(Ordering::Relaxed);
        format!("resolved {resolved}  deferred {deferred}  other {other}  open {open}")
    }

    /// Closes every connection that is idle.
    pub fn close_idle(&self) {
        self.idle.iter().for_each(|idle| lock(idle).clear());
    }

    fn first(&self, n: usize) -> Arrival {
        let client = n % self.idle.len();
        Arrival {
            at: 0,
            class: 0,
            key: n as u64,
            tenant: 0,
            client,
            cancels_after: None,
            honors_retry_after: true,
        }
    }

    /// A client that asks once and stays.
    async fn hold_connection(self: Arc<Clients>, arrival: Arrival) {
        let id = request_id(self.experiment.seed, self.next.fetch_add(1, Ordering::Relaxed));
        let Some(mut connection) = self.connect().await else { return };
        self.record_request(id, id, &arrival, arrival.at);
        if self.write(&connection, id, id, &arrival, false).await.is_ok()
            && let Ok(answer) = self.answer(&mut connection.conn, id, &arrival).await
        {
            let ClientAnswer { status, retry_after, matches, .. } = answer;
            self.evidence.record(id, connection.proxy, EventKind::Answered { status, retry_after, matches });
        }
        connection.conn.wait_closed().await;
    }

    /// A request with all its tries.
    async fn run_request(self: Arc<Clients>, arrival: Arrival) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let class = &self.experiment.classes[arrival.class];
        let load = &self.experiment.load;
        let (mut first, mut due) = (None, arrival.at);
        // Tagged ones only where every server drops the repeat, and all only in the window.
        let tagged = class.repeats.get_ref() == REPEATS_TAGGED;
        let harmless =
            class.repeats.get_ref() == REPEATS_REPLAYABLE || (tagged && class.group.get_ref() == "all");
        for again in 0..=load.retries {
            let id = request_id(self.experiment.seed, self.next.fetch_add(1, Ordering::Relaxed));
            let first = *first.get_or_insert(id);
            self.record_request(id, first, &arrival, due);
            let end = self.one_try(id, first, &arrival, again > 0).await;
            let kind = match end {
                TryOutcome::Served => 0,
                TryOutcome::Rejected(_) => 1,
                _ => 2,
            };
            self.outcome_counts[kind].fetch_add(1, Ordering::Relaxed);
            let wait = match end {
                TryOutcome::Rejected(Some(retry_after)) if arrival.honors_retry_after => retry_after,
                TryOutcome::Served | TryOutcome::Cancelled => break,
                // A client sends again what does no harm: what was deferred, and what may run twice.
                TryOutcome::Failed | TryOutcome::NoAnswer if !harmless => break,
                _ => micros(load.backoff_ms / 1e3) << again.min(8),
            };
            Timer::after(Duration::from_micros(wait)).await;
            due = self.clock.now();
            if tagged && due > arrival.at + micros(class.window_ms / 1e3) {
                break;
            }
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    fn record_request(&self, id: Id, first: Id, arrival: &Arrival, due: Micros) {
        let limit = micros(self.experiment.classes[arrival.class].limit_ms / 1e3);
        let request = ClientRequest {
            class: arrival.class,
            key: arrival.key,
            first,
            tenant: arrival.tenant,
            due,
            limit,
        };
        self.evidence.add_request(id, request);
    }

    async fn one_try(&self, id: Id, first: Id, arrival: &Arrival, again: bool) -> TryOutcome {
        let mut sent_twice = false;
        loop {
            // Bound apart, or the lock would be held over the wait.
            let idle = self.idle_of(arrival.client);
            let (mut connection, used) = match idle {
                Some(connection) => (connection, true),
                None => match self.connect().await {
                    Some(connection) => (connection, false),
                    None => {
                        self.evidence.record(id, 0, EventKind::NoProxy);
                        return TryOutcome::NoAnswer;
                    }
                },
            };
            let begun = self.clock.now();
            let wrote = self.write(&connection, id, first, arrival, again).await;
            let raced_a_close = |now: Micros| used && !sent_twice && now < begun + CLOSE_RACE;
            if wrote.is_err() {
                if raced_a_close(self.clock.now()) {
                    sent_twice = true;
                    self.sent_again.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                self.evidence.record(
                    id,
                    connection.proxy,
                    EventKind::Unanswered { reset: true, fresh: !used },
                );
                return TryOutcome::NoAnswer;
            }
            let limit = micros(self.experiment.classes[arrival.class].limit_ms / 1e3);
            let answered = async { Some(self.answer(&mut connection.conn, id, arrival).await) };
            let cancels_after = arrival
                .cancels_after
                .map_or(limit + LATE_ANSWER_WAIT, |cancels_after| cancels_after.min(limit));
            let over = async {
                self.clock.sleep_until(begun + cancels_after).await;
                None
            };
            match or(answered, over).await {
                None => {
                    self.evidence.record(id, connection.proxy, EventKind::ClientCancelled);
                    return TryOutcome::Cancelled;
                }
                Some(Err(error)) => {
                    let now = self.clock.now();
                    if matches!(error, ReadError::Closed)
                        && raced_a_close(now)
                        && !self.evidence.was_attempted(id)
                    {
                        sent_twice = true;
                        self.sent_again.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                    let reset = !matches!(error, ReadError::Malformed);
                    self.evidence.record(id, connection.proxy, EventKind::Unanswered { reset, fresh: !used });
                    return TryOutcome::NoAnswer;
                }
                Some(Ok(answer)) => return self.receive(id, arrival, connection, answer),
            }
        }
    }

    /// What comes back for a request, in whichever protocol.
    async fn answer(
        &self,
        conn: &mut Connection,
        id: Id,
        arrival: &Arrival,
    ) -> Result<ClientAnswer, ReadError> {
        if self.experiment.fleet.protocol == PROTOCOL_RESP {
            let read_answer = resp::read_answer(conn).await?;
            let (status, retry_after) = read_answer.status();
            let write = self.experiment.classes[arrival.class].write;
            let matches = match &read_answer {
                // A write's answer says nothing of whom it is for.
                RespAnswer::Value(body) => write || is_for(body, id),
                _ => true,
            };
            return Ok(ClientAnswer { status, retry_after, matches, close: false });
        }
        let message = conn.read_response().await?;
        let retry_after = message.field("Retry-After").and_then(|v| v.parse::<f64>().ok()).map(micros);
        let matches = message.status != 200 || is_for(message.body(), id);
        Ok(ClientAnswer { status: message.status, retry_after, matches, close: message.close })
    }

    fn receive(
        &self,
        id: Id,
        arrival: &Arrival,
        connection: ClientConnection,
        answer: ClientAnswer,
    ) -> TryOutcome {
        let ClientAnswer { status, retry_after, matches, close } = answer;
        self.evidence.record(id, connection.proxy, EventKind::Answered { status, retry_after, matches });
        if !connection.conn.buffered.is_empty() {
            self.evidence.record(id, connection.proxy, EventKind::UnexpectedBytes);
        } else if !close {
            let mut idle = lock(&self.idle[arrival.client]);
            if idle.len() < MAX_IDLE {
                idle.push(connection);
            }
        }
        match status {
            200 => TryOutcome::Served,
            429 | 503 => TryOutcome::Rejected(retry_after),
            _ => TryOutcome::Failed,
        }
    }

    /// A connection of the client's that is open and idle; what came on one that nothing should come on is noted.
    fn idle_of(&self, client: usize) -> Option<ClientConnection> {
        let mut idle = lock(&self.idle[client]);
        while let Some(connection) = idle.pop() {
            if connection.conn.is_idle() {
                return Some(connection);
            }
            if connection.conn.stream.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0) {
                self.evidence.record(0, connection.proxy, EventKind::UnexpectedBytes);
            }
        }
        None
    }

    async fn connect(&self) -> Option<ClientConnection> {
        for _ in 0..=CONNECT_RETRIES {
            let proxy = self.front.next_proxy()?;
            let of_resp = self.experiment.fleet.protocol == PROTOCOL_RESP;
            let addr = if of_resp { self.net.resp(proxy) } else { self.net.proxy(proxy) };
            let connecting = async { Async::<TcpStream>::connect(addr).await.ok() };
            let over = async {
                Timer::after(CONNECT_TIMEOUT).await;
                None
            };
            if let Some(stream) = or(connecting, over).await {
                return Some(ClientConnection { conn: Connection::new(stream), proxy });
            }
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        None
    }

    /// Writes the request; a request counts as asked from its last byte on.
    async fn write(
        &self,
        connection: &ClientConnection,
        id: Id,
        first: Id,
        arrival: &Arrival,
        again: bool,
    ) -> std::io::Result<()> {
        let class: &RequestClass = &self.experiment.classes[arrival.class];
        if self.experiment.fleet.protocol == PROTOCOL_RESP {
            // The key's place is by its tag; behind that it says which request it is, and whose effect it repeats.
            let key = format!("{}:{{k{}}}:{id:016x}:{first:016x}", class.name, arrival.key);
            let command = match class.write {
                true => resp::encode_command(&[b"SET", key.as_bytes(), b"new value"]),
                false => resp::encode_command(&[b"GET", key.as_bytes()]),
            };
            connection.conn.write(&[&command]).await?;
            self.evidence.record(id, connection.proxy, EventKind::RequestSent);
            return Ok(());
        }
        let limit = micros(class.limit_ms / 1e3);
        let mut head = format!(
            "{} /api/k{} HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: {id:016x}\r\nX-Service-RequestClass: {}\r\nX-Time-Left: {:.4}\r\n",
            if class.write { "PUT" } else { "GET" },
            arrival.key,
            class.name,
            seconds(limit),
        );
        if let Some(tenant) = self.experiment.load.tenants.get(arrival.tenant) {
            head += &format!("X-Facts: tenant={}\r\n", tenant.name);
        }
        if again {
            head += "X-Repeat: 1\r\n";
        }
        if class.repeats.get_ref() == REPEATS_TAGGED {
            head += &format!("Idempotency-Key: t{first:016x}\r\n");
        }
        let body: &[u8] = if class.write { b"new value" } else { b"" };
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        connection.conn.write(&[head.as_bytes(), body]).await?;
        self.evidence.record(id, connection.proxy, EventKind::RequestSent);
        Ok(())
    }
}
