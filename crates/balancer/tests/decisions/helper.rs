//! A balancer whose decisions are written down line by line.

use chalkwalk_balancer::{
    AttemptOutcome, Balancer, Effects, Endpoint, EndpointStatus, RequestId, ServerIndex, StateChange,
};
use chalkwalk_time::{Span, Timestamp};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Trace(String, pub Timestamp); // what was decided, and until when the last attempt is in flight

impl Trace {
    /// A line of the test's own.
    pub fn mark(&mut self, text: &str) {
        self.line(format!("--- {text}"));
    }

    fn line(&mut self, text: String) {
        self.0.push_str(&text);
        self.0.push('\n');
    }
}

impl Effects for Trace {
    fn start_attempt(&mut self, request_id: RequestId, server: ServerIndex, until: Timestamp, by: Timestamp) {
        self.1 = until;
        let by = if by < until { format!(" by {by}") } else { String::new() };
        self.line(format!("request {} -> server {server}{by}", request_id.0));
    }
    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize) {
        self.line(format!("request {} cancels attempt {attempt}", request_id.0));
    }
    fn reject(&mut self, request_id: RequestId, _back_in: Span) {
        self.line(format!("request {} rejected", request_id.0));
    }
    fn fail(&mut self, request_id: RequestId) {
        self.line(format!("request {} failed", request_id.0));
    }
    fn check_health(&mut self, server: ServerIndex) {
        self.line(format!("check health of server {server}"));
    }
    fn set_timer(&mut self, token: u64, after: Span) {
        if token >= 1 << 61 {
            self.line(format!("timer in {} ms", after / 10));
        }
    }
    fn watch_endpoints(&mut self) {
        self.line("watch endpoints".into());
    }
    fn report(&mut self, change: StateChange) {
        let server = change.server().unwrap_or_default();
        self.line(format!("log: {} {server}", change.name()).trim_end().to_string());
    }
}

pub const WATCH: u64 = 1 << 62;
pub const SERVER: u64 = 1 << 61;

pub struct Harness {
    pub balancer: Balancer,
    pub trace: Trace,
    pub now: u64,
    pub values: BTreeMap<String, String>,
    pub birch: (usize, u64), // the kind and the size, in hundredths, of the server birch
    ids: Vec<String>,
}

impl Harness {
    /// A fleet with one replayable, one tagged and one single-use class, 0 to 2, each with a target of 1 s, and `more` settings.
    pub fn new(more: &[(&str, &str)]) -> Harness {
        let mut values: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |name: &str, value: &str| values.insert(name.into(), value.into());
        for (class, idempotency) in ["replayable", "tagged", "single-use"].iter().enumerate() {
            set(&format!("namespace {class} repeats"), idempotency);
            set(&format!("namespace {class} target time"), "10000");
            set(&format!("namespace {class} group"), "all");
            set(&format!("namespace {class} window"), "5000");
        }
        let usual = [
            ("namespaces", "3"),
            ("most shots", "4"),
            ("second copies", "1"),
            ("withdrawals", "1"),
            ("probes", "1"),
            ("longest stay away", "20000"),
            ("cold share", "0.2"),
            ("cold time", "100000"),
        ];
        for (name, value) in usual.iter().chain(more) {
            set(name, value);
        }
        let mut trace = Trace::default();
        let balancer = Balancer::new(7, &values, &mut trace);
        Harness { balancer, trace, now: 0, values, birch: (0, 100), ids: Vec::new() }
    }

    /// Hands over the whole list: (id, zone, status, born); kind 9 for an id "origin", else 0.
    pub fn list(&mut self, rows: &[(&str, usize, EndpointStatus, u64)]) {
        for (id, ..) in rows {
            if !self.ids.iter().any(|known| known == id) {
                self.ids.push(id.to_string());
            }
        }
        let (ids, birch) = (&self.ids, self.birch);
        let row = |id, zone, status, born| Endpoint {
            server: ids.iter().position(|known| known == id).unwrap(),
            id,
            zone,
            kind: if id == "origin" { 9 } else { usize::from(id == "birch") * birch.0 },
            cell: 0,
            size: if id == "birch" { birch.1 } else { 100 },
            status,
            born: Timestamp::from_ticks(born),
        };
        let endpoints: Vec<Endpoint> =
            rows.iter().map(|(id, zone, status, born)| row(id, *zone, *status, *born)).collect();
        self.balancer.replace_endpoints(&endpoints, &mut self.trace);
    }

    pub fn ready(&mut self, ids: &[&str]) {
        let rows: Vec<_> = ids.iter().map(|id| (*id, 0, EndpointStatus::Ready, 0)).collect();
        self.list(&rows);
    }

    pub fn pass(&mut self, ticks: u64) {
        self.now += ticks;
        self.balancer.advance_clock(Timestamp::from_ticks(self.now));
    }

    pub fn send(&mut self, class: usize, key: &str) -> RequestId {
        self.routed(class, key, false)
    }

    pub fn write(&mut self, class: usize, key: &str) -> RequestId {
        self.routed(class, key, true)
    }

    fn routed(&mut self, class: usize, key: &str, write: bool) -> RequestId {
        let request_id =
            self.balancer.accept_request(class, key, write, Timestamp::from_ticks(self.now + 20_000));
        self.balancer.route_request(request_id, &mut self.trace);
        request_id
    }

    pub fn end(&mut self, request_id: RequestId, attempt: usize, outcome: AttemptOutcome) {
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

    /// The first attempt of a request is answered with success after so long.
    pub fn complete(&mut self, request_id: RequestId, took: u64) {
        let took = Span::from_ticks(took);
        self.balancer.attempt_ended(request_id, 0, AttemptOutcome::Completed, took, true, &mut self.trace);
    }

    pub fn client_leaves(&mut self, request_id: RequestId) {
        self.balancer.client_left(request_id, &mut self.trace);
    }

    pub fn fire_timer(&mut self, token: u64) {
        self.balancer.timer_fired(token, &mut self.trace);
    }

    /// Where a key goes while nothing else is in flight.
    pub fn owner(&mut self, key: &str) -> String {
        let trace = std::mem::take(&mut self.trace);
        let request_id = self.send(0, key);
        self.end(request_id, 0, AttemptOutcome::Completed);
        let server = self.last_server();
        let decisions = std::mem::replace(&mut self.trace, trace).0;
        server.unwrap_or(decisions.trim().to_string())
    }

    pub fn last_server(&self) -> Option<String> {
        let server = self.trace.0.rsplit("-> server ").next()?.trim().parse::<usize>().ok()?;
        Some(self.ids[server].clone())
    }

    pub fn take_trace(&mut self) -> String {
        std::mem::take(&mut self.trace.0)
    }
}
