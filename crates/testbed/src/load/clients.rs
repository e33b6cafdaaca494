//! Clients: each request is sent when it is due, on a free connection of its client or on a new one, and what comes back is held
//! against what was requested. A late answer holds up no later request.

use super::connection::{ClientAnswer, ClientConnection, Try};
use super::tries::TryOutcome;
use crate::clock::{Clock, Micros, micros};
use crate::evidence::{ClientRequest, EventKind, Evidence, Id};
use crate::experiment::{DedupGroup, Experiment, Repeats, RequestClass};
use crate::load::front::Front;
use crate::load::plan::{Arrival, ArrivalPlan, request_id};
use crate::stand_ins::Net;
use crate::sync::lock;
use hdrhistogram::Histogram;
use smol::{Executor, Timer};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Open requests of the whole load: beyond that the machine is past what it can do, and they count as not sent.
const MAX_OPEN: usize = 50_000;
/// A backoff is doubled so often at the most.
const MAX_DOUBLINGS: u32 = 8;

/// All clients of a run.
pub struct Clients {
    pub(super) experiment: Experiment,
    pub(super) clock: Clock,
    pub(super) evidence: Evidence,
    pub(super) net: Net,
    /// Where they connect.
    pub front: Front,
    /// Idle connections, by client.
    pub(super) idle: Vec<Mutex<Vec<ClientConnection>>>,
    /// The number of the next request.
    next: AtomicU64,
    open: AtomicUsize,
    /// How late first requests were sent.
    pub send_delay: Mutex<Histogram<u64>>,
    /// Connections that proxies refused, or did not accept in time.
    pub refused: AtomicU64,
    /// Requests that were sent again, as their connection was being closed.
    pub sent_again: AtomicU64,
    served: AtomicU64,
    rejected: AtomicU64,
    /// Tries that ended in any other way.
    other: AtomicU64,
}

/// Whether a repeat does no harm. Of tagged ones only where every server drops it, and all only in the window.
fn is_harmless(class: &RequestClass) -> bool {
    match class.repeats() {
        Repeats::Replayable => true,
        Repeats::Tagged => class.dedup_group() == DedupGroup::All,
        Repeats::SingleUse => false,
    }
}

impl Clients {
    /// The clients of an experiment, with no connections yet.
    pub fn new(experiment: &Experiment, clock: Clock, evidence: Evidence, net: Net) -> Arc<Clients> {
        Arc::new(Clients {
            front: Front::new(experiment.fleet.proxies, clock.clone()),
            idle: (0..experiment.load.clients).map(|_| Mutex::default()).collect(),
            next: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            send_delay: Mutex::new(crate::measure::histogram()),
            refused: AtomicU64::new(0),
            sent_again: AtomicU64::new(0),
            served: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            other: AtomicU64::new(0),
            experiment: experiment.clone(),
            clock,
            evidence,
            net,
        })
    }

    /// Plays the plan to its last arrival.
    pub async fn play(self: Arc<Clients>, executor: Arc<Executor<'static>>) {
        for held in 0..self.experiment.load.held_connections {
            let arrival = self.held_arrival(held);
            executor.spawn(self.clone().hold_connection(arrival)).detach();
        }
        let experiment = self.experiment.clone();
        for arrival in ArrivalPlan::new(&experiment) {
            if arrival.at > self.clock.now() {
                self.clock.sleep_until(arrival.at).await;
            }
            let late = self.clock.now().saturating_sub(arrival.at);
            _ = lock(&self.send_delay).record(late);
            if self.open.load(Ordering::Relaxed) < MAX_OPEN {
                executor.spawn(self.clone().run_request(arrival)).detach();
            }
        }
    }

    /// How it stands, in a few words.
    pub fn status_line(&self) -> String {
        let [served, rejected, other] =
            [&self.served, &self.rejected, &self.other].map(|count| count.load(Ordering::Relaxed));
        let open = self.open.load(Ordering::Relaxed);
        format!("served {served}  rejected {rejected}  other {other}  open {open}")
    }

    /// Closes every connection that is idle.
    pub fn close_idle(&self) {
        for idle in &self.idle {
            lock(idle).clear();
        }
    }

    fn next_id(&self) -> Id {
        request_id(self.experiment.seed, self.next.fetch_add(1, Ordering::Relaxed))
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

    /// A client that sends one request and keeps its connection.
    async fn hold_connection(self: Arc<Clients>, arrival: Arrival) {
        let id = self.next_id();
        let Some(mut client) = self.connect().await else { return };
        let held = Try { experiment: &self.experiment, arrival: &arrival, id, first: id, is_retry: false };
        self.add_request(&held, arrival.at);
        if self.write(&held, &client).await.is_ok()
            && let Ok(answer) = held.read_answer(&mut client.connection).await
        {
            let ClientAnswer { status, retry_after, matches, .. } = answer;
            let kind = EventKind::Answered { status, retry_after, matches };
            self.evidence.record(id, client.proxy, kind);
        }
        client.connection.wait_closed().await;
    }

    /// A request with all its tries.
    async fn run_request(self: Arc<Clients>, arrival: Arrival) {
        self.open.fetch_add(1, Ordering::Relaxed);
        let experiment = &self.experiment;
        let class = &experiment.classes[arrival.class];
        let window_end = arrival.at + micros(class.window_ms / 1e3);
        let mut first = None;
        let mut due = arrival.at;
        for retry in 0..=experiment.load.retries {
            let id = self.next_id();
            let first = *first.get_or_insert(id);
            let current = Try { experiment, arrival: &arrival, id, first, is_retry: retry > 0 };
            self.add_request(&current, due);
            let outcome = self.try_once(&current).await;
            self.count(&outcome);
            let Some(wait) = self.wait_before_retry(&outcome, &arrival, retry) else { break };
            Timer::after(Duration::from_micros(wait)).await;
            due = self.clock.now();
            if class.repeats() == Repeats::Tagged && due > window_end {
                break;
            }
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    fn count(&self, outcome: &TryOutcome) {
        let counter = match outcome {
            TryOutcome::Served => &self.served,
            TryOutcome::Rejected(_) => &self.rejected,
            _ => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// How long a client waits before a retry; none where there is none. It sends again what does no harm: what was rejected,
    /// and what may run twice.
    fn wait_before_retry(&self, outcome: &TryOutcome, arrival: &Arrival, retry: u32) -> Option<Micros> {
        let class = &self.experiment.classes[arrival.class];
        let backoff = micros(self.experiment.load.backoff_ms / 1e3) << retry.min(MAX_DOUBLINGS);
        match outcome {
            TryOutcome::Rejected(Some(after)) if arrival.honors_retry_after => Some(*after),
            TryOutcome::Rejected(_) => Some(backoff),
            TryOutcome::Served | TryOutcome::Cancelled => None,
            TryOutcome::Failed | TryOutcome::NoAnswer => is_harmless(class).then_some(backoff),
        }
    }

    fn add_request(&self, current: &Try, due: Micros) {
        let arrival = current.arrival;
        let request = ClientRequest {
            class: arrival.class,
            key: arrival.key,
            first: current.first,
            tenant: arrival.tenant,
            due,
            limit: current.limit(),
        };
        self.evidence.add_request(current.id, request);
    }
}
