//! Clients: each request is sent when it is due, on an idle connection of its client or on a new
//! one, and the response is compared with the request. A late response delays no later request.

use super::connection::{ClientAnswer, ClientConnection, Try};
use super::tries::TryOutcome;
use crate::clock::{Clock, Micros, micros_from_seconds};
use crate::evidence::{ClientRequest, EventKind, EventRecorder, RequestId};
use crate::experiment::{DedupGroup, Experiment, Repeats, RequestClass};
use crate::load::load_balancer::LoadBalancer;
use crate::load::plan::{Arrival, ArrivalPlan, request_id};
use crate::simulated_services::LoopbackAddresses;
use crate::sync::lock;
use hdrhistogram::Histogram;
use smol::{Executor, Timer};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Maximum number of open requests of all clients. Beyond it the machine is overloaded, and further
/// requests are neither sent nor recorded.
const MAX_OPEN_REQUESTS: usize = 50_000;
/// Maximum number of times that a backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// All clients of a run.
pub struct Clients {
    pub(super) experiment: Experiment,
    pub(super) clock: Clock,
    pub(super) recorder: EventRecorder,
    pub(super) addresses: LoopbackAddresses,
    /// The load balancer that assigns new connections to proxies.
    pub load_balancer: LoadBalancer,
    /// Idle connections, indexed by client.
    pub(super) idle: Vec<Mutex<Vec<ClientConnection>>>,
    /// The number of the next request.
    next_request: AtomicU64,
    open_requests: AtomicUsize,
    /// How late first requests were sent, in microseconds.
    pub send_delay: Mutex<Histogram<u64>>,
    /// Number of connections that proxies refused or did not accept in time.
    pub connects_refused: AtomicU64,
    /// Number of requests that were sent again because the proxy was closing the connection.
    pub sent_again: AtomicU64,
    served: AtomicU64,
    rejected: AtomicU64,
    /// Number of tries that were neither served nor rejected.
    other: AtomicU64,
}

/// Whether a client may repeat a request whose effect is unknown. Tagged requests may be repeated
/// only if every server drops the repeats, which servers do only within the deduplication window.
fn is_safe_to_repeat(class: &RequestClass) -> bool {
    match class.repeats() {
        Repeats::Replayable => true,
        Repeats::Tagged => class.dedup_group() == DedupGroup::All,
        Repeats::SingleUse => false,
    }
}

impl Clients {
    /// The clients of an experiment, with no connections yet.
    pub fn new(
        experiment: &Experiment,
        clock: Clock,
        recorder: EventRecorder,
        addresses: LoopbackAddresses,
    ) -> Arc<Clients> {
        Arc::new(Clients {
            load_balancer: LoadBalancer::new(experiment.fleet.proxies, clock.clone()),
            idle: (0..experiment.load.clients).map(|_| Mutex::default()).collect(),
            next_request: AtomicU64::new(0),
            open_requests: AtomicUsize::new(0),
            send_delay: Mutex::new(crate::measure::histogram()),
            connects_refused: AtomicU64::new(0),
            sent_again: AtomicU64::new(0),
            served: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            other: AtomicU64::new(0),
            experiment: experiment.clone(),
            clock,
            recorder,
            addresses,
        })
    }

    /// Sends the requests of the plan when they are due, until the last arrival.
    pub async fn run_plan(self: Arc<Clients>, executor: Arc<Executor<'static>>) {
        for held in 0..self.experiment.load.held_connections {
            let arrival = self.held_arrival(held);
            executor.spawn(self.clone().hold_connection(arrival)).detach();
        }
        let experiment = self.experiment.clone();
        for arrival in ArrivalPlan::new(&experiment) {
            if arrival.at > self.clock.now() {
                self.clock.sleep_until(arrival.at).await;
            }
            let delay = self.clock.now().saturating_sub(arrival.at);
            _ = lock(&self.send_delay).record(delay);
            if self.open_requests.load(Ordering::Relaxed) < MAX_OPEN_REQUESTS {
                executor.spawn(self.clone().run_request(arrival)).detach();
            }
        }
    }

    /// The counts of requests so far, for the progress line.
    pub fn status_line(&self) -> String {
        let [served, rejected, other] =
            [&self.served, &self.rejected, &self.other].map(|count| count.load(Ordering::Relaxed));
        let open_requests = self.open_requests.load(Ordering::Relaxed);
        format!("served {served}  rejected {rejected}  other {other}  open {open_requests}")
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for idle in &self.idle {
            lock(idle).clear();
        }
    }

    fn next_id(&self) -> RequestId {
        request_id(self.experiment.seed, self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    fn held_arrival(&self, n: usize) -> Arrival {
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

    /// Sends one request and keeps the connection open until the proxy closes it.
    async fn hold_connection(self: Arc<Clients>, arrival: Arrival) {
        let id = self.next_id();
        let Some(mut client) = self.connect().await else { return };
        let held = Try { experiment: &self.experiment, arrival: &arrival, id, first_id: id, is_retry: false };
        self.add_request(&held, arrival.at);
        if self.write(&held, &client).await.is_ok()
            && let Ok(answer) = held.read_answer(&mut client.connection).await
        {
            let ClientAnswer { status, retry_after, is_own_value, .. } = answer;
            let kind = EventKind::Answered { status, retry_after, is_own_value };
            self.recorder.record(id, client.proxy, kind);
        }
        client.connection.wait_closed().await;
    }

    /// Sends a request and its retries.
    async fn run_request(self: Arc<Clients>, arrival: Arrival) {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        let experiment = &self.experiment;
        let class = &experiment.classes[arrival.class];
        let window_end = arrival.at + micros_from_seconds(class.window_ms / 1e3);
        let mut first_id = None;
        let mut due_at = arrival.at;
        for retry in 0..=experiment.load.retries {
            let id = self.next_id();
            let first_id = *first_id.get_or_insert(id);
            let current = Try { experiment, arrival: &arrival, id, first_id, is_retry: retry > 0 };
            self.add_request(&current, due_at);
            let outcome = self.try_once(&current).await;
            self.count(&outcome);
            let Some(wait) = self.wait_before_retry(&outcome, &arrival, retry) else { break };
            Timer::after(Duration::from_micros(wait)).await;
            due_at = self.clock.now();
            if class.repeats() == Repeats::Tagged && due_at > window_end {
                break;
            }
        }
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
    }

    fn count(&self, outcome: &TryOutcome) {
        let counter = match outcome {
            TryOutcome::Served => &self.served,
            TryOutcome::Rejected(_) => &self.rejected,
            _ => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// How long a client waits before a retry, or `None` if it does not retry. A client retries
    /// rejected requests, and failed or unanswered ones that may run twice.
    fn wait_before_retry(&self, outcome: &TryOutcome, arrival: &Arrival, retry: u32) -> Option<Micros> {
        let class = &self.experiment.classes[arrival.class];
        let backoff =
            micros_from_seconds(self.experiment.load.backoff_ms / 1e3) << retry.min(MAX_BACKOFF_DOUBLINGS);
        match outcome {
            TryOutcome::Rejected(Some(retry_after)) if arrival.honors_retry_after => Some(*retry_after),
            TryOutcome::Rejected(_) => Some(backoff),
            TryOutcome::Served | TryOutcome::Cancelled => None,
            TryOutcome::Failed | TryOutcome::NoAnswer => is_safe_to_repeat(class).then_some(backoff),
        }
    }

    fn add_request(&self, current: &Try, due_at: Micros) {
        let arrival = current.arrival;
        let request = ClientRequest {
            class_index: arrival.class,
            key: arrival.key,
            first_id: current.first_id,
            tenant_index: arrival.tenant,
            due_at,
            time_limit: current.limit(),
        };
        self.recorder.add_request(current.id, request);
    }
}
