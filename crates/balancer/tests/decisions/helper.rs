//! A harness around one balancer that records the balancer's decisions as text, one per line.

use chalkwalk_balancer::{
    AttemptOutcome, Balancer, Effects, Endpoint, EndpointStatus, RequestId, ServerIndex, StateChange,
};
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Trace(String, pub Timestamp); // the decisions so far, and the deadline of the last attempt

impl Trace {
    /// Adds a line that separates the steps of a test.
    pub fn mark(&mut self, text: &str) {
        self.push_line(format!("--- {text}"));
    }

    fn push_line(&mut self, text: String) {
        self.0.push_str(&text);
        self.0.push('\n');
    }
}

impl Effects for Trace {
    fn start_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerIndex,
        deadline: Timestamp,
        send_by: Timestamp,
    ) {
        self.1 = deadline;
        let send_by = if send_by < deadline { format!(" by {send_by}") } else { String::new() };
        self.push_line(format!("request {} -> server {server}{send_by}", request_id.0));
    }
    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize) {
        self.push_line(format!("request {} cancels attempt {attempt}", request_id.0));
    }
    fn reject(&mut self, request_id: RequestId, _retry_after: Span) {
        self.push_line(format!("request {} rejected", request_id.0));
    }
    fn fail(&mut self, request_id: RequestId) {
        self.push_line(format!("request {} failed", request_id.0));
    }
    fn check_health(&mut self, server: ServerIndex) {
        self.push_line(format!("check health of server {server}"));
    }
    fn set_timer(&mut self, token: u64, after: Span) {
        // Request timers, whose tokens are below this one, are left out of the trace.
        if token >= 1 << 61 {
            self.push_line(format!("timer in {} ms", after / 10));
        }
    }
    fn watch_endpoints(&mut self) {
        self.push_line("watch endpoints".into());
    }
    fn report(&mut self, change: StateChange) {
        let server = change.server().unwrap_or_default();
        self.push_line(format!("log: {} {server}", change.name()).trim_end().to_string());
    }
}

/// The token of the timer after which the balancer calls discovery.
pub const DISCOVERY_TOKEN: u64 = 1 << 62;
/// The timer of an ejected server has this token plus the index of the server.
pub const FIRST_SERVER_TOKEN: u64 = 1 << 61;

pub struct Harness {
    pub balancer: Balancer,
    pub trace: Trace,
    pub now: u64, // in ticks of 0.1 ms
    pub settings: BTreeMap<String, String>,
    pub birch_kind_and_weight: (usize, u64), // the weight is in hundredths; other servers have 0 and 100
    ids: Vec<String>,                        // of all servers listed so far, by server index
}

impl Harness {
    /// A balancer with three request classes: 0 is replayable, 1 is tagged and 2 is single-use,
    /// each with a latency target of 1 s. `extra_settings` are added to the default ones or replace
    /// them.
    pub fn new(extra_settings: &[(&str, &str)]) -> Harness {
        let mut settings: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |name: &str, value: &str| settings.insert(name.into(), value.into());
        for (class, idempotency) in ["replayable", "tagged", "single-use"].iter().enumerate() {
            set(&format!("namespace {class} repeats"), idempotency);
            set(&format!("namespace {class} target time"), "10000");
            set(&format!("namespace {class} group"), "all");
            set(&format!("namespace {class} window"), "5000");
        }
        let default_settings = [
            ("namespaces", "3"),
            ("most shots", "4"),
            ("second copies", "1"),
            ("withdrawals", "1"),
            ("probes", "1"),
            ("longest stay away", "20000"),
            ("cold share", "0.2"),
            ("cold time", "100000"),
        ];
        for (name, value) in default_settings.iter().chain(extra_settings) {
            set(name, value);
        }
        let mut trace = Trace::default();
        let balancer = Balancer::new(7, &settings, &mut trace);
        Harness { balancer, trace, now: 0, settings, birch_kind_and_weight: (0, 100), ids: Vec::new() }
    }

    /// Replaces the whole endpoint list. A row is (id, zone, status, start time in ticks). The id
    /// "origin" has kind 9, and birch has the kind and weight of `birch_kind_and_weight`; all
    /// others have kind 0 and weight 100.
    pub fn set_endpoints(&mut self, rows: &[(&str, usize, EndpointStatus, u64)]) {
        for (id, ..) in rows {
            if !self.ids.iter().any(|known_id| known_id == id) {
                self.ids.push(id.to_string());
            }
        }
        let (ids, birch_kind_and_weight) = (&self.ids, self.birch_kind_and_weight);
        let row = |id, zone, status, started_at| Endpoint {
            server: ids.iter().position(|known_id| known_id == id).unwrap(),
            id,
            zone,
            kind: if id == "origin" { 9 } else { usize::from(id == "birch") * birch_kind_and_weight.0 },
            cell: 0,
            weight_hundredths: if id == "birch" { birch_kind_and_weight.1 } else { 100 },
            status,
            started_at: Timestamp::from_ticks(started_at),
        };
        let endpoints: Vec<Endpoint> =
            rows.iter().map(|(id, zone, status, started_at)| row(id, *zone, *status, *started_at)).collect();
        self.balancer.replace_endpoints(&endpoints, &mut self.trace);
    }

    pub fn set_ready_servers(&mut self, ids: &[&str]) {
        let rows: Vec<_> = ids.iter().map(|id| (*id, 0, EndpointStatus::Ready, 0)).collect();
        self.set_endpoints(&rows);
    }

    pub fn advance_clock(&mut self, ticks: u64) {
        self.now += ticks;
        self.balancer.advance_clock(Timestamp::from_ticks(self.now));
    }

    pub fn send(&mut self, class: usize, key: &str) -> RequestId {
        self.accept_and_route(class, key, false)
    }

    pub fn send_write(&mut self, class: usize, key: &str) -> RequestId {
        self.accept_and_route(class, key, true)
    }

    /// Accepts a request with a time limit of 2 s and routes it.
    fn accept_and_route(&mut self, class: usize, key: &str, write: bool) -> RequestId {
        let request_id =
            self.balancer.accept_request(class, key, write, Timestamp::from_ticks(self.now + 20_000));
        self.balancer.route_request(request_id, &mut self.trace);
        request_id
    }

    /// Ends an attempt with this outcome, 10 ms after it was sent.
    pub fn end_attempt(&mut self, request_id: RequestId, attempt: usize, outcome: AttemptOutcome) {
        let finished = matches!(
            outcome,
            AttemptOutcome::Completed | AttemptOutcome::CompletedFromCache | AttemptOutcome::CompletedByFetch
        );
        self.balancer.attempt_ended(
            request_id,
            attempt,
            outcome,
            Span::from_ticks(100),
            finished,
            &mut self.trace,
        );
    }

    /// Ends the first attempt of a request with a successful answer that took this many ticks.
    pub fn complete_first_attempt(&mut self, request_id: RequestId, took: u64) {
        let took = Span::from_ticks(took);
        self.balancer.attempt_ended(request_id, 0, AttemptOutcome::Completed, took, true, &mut self.trace);
    }

    pub fn disconnect_client(&mut self, request_id: RequestId) {
        self.balancer.client_disconnected(request_id, &mut self.trace);
    }

    pub fn fire_timer(&mut self, token: u64) {
        self.balancer.timer_fired(token, &mut self.trace);
    }

    /// The server that gets a request with this key while nothing else is in flight. If no attempt
    /// is sent, the decisions that were made instead.
    pub fn owner(&mut self, key: &str) -> String {
        let trace = std::mem::take(&mut self.trace);
        let request_id = self.send(0, key);
        self.end_attempt(request_id, 0, AttemptOutcome::Completed);
        let server = self.last_server();
        let decisions = std::mem::replace(&mut self.trace, trace).0;
        server.unwrap_or(decisions.trim().to_string())
    }

    /// The server of the attempt in the last line of the trace, if that line is the start of an
    /// attempt without a `send_by` time.
    pub fn last_server(&self) -> Option<String> {
        let server = self.trace.0.rsplit("-> server ").next()?.trim().parse::<usize>().ok()?;
        Some(self.ids[server].clone())
    }

    pub fn take_trace(&mut self) -> String {
        std::mem::take(&mut self.trace.0)
    }
}
