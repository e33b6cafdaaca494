//! The request table: the balancer, the requests that are open, and what it wants done. All that happens is told to it here, one call
//! at a time; what the balancer wants is only noted, and taken up by `flow` once the call is over.

use crate::pool::ServerConnection;
use crate::response::{ClientRequest, Response, ResponseStatus};
use crate::servers::{ListChanges, ListUpdate, ServerRegistry};
use chalkwalk_balancer::admission::{SendRefusal, UnsentAttempt};
use chalkwalk_balancer::{
    AttemptOutcome, Balancer, Effects, LearnedServer, RequestId, ServerIndex, StateChange,
};
use chalkwalk_capture::{Decision, Event, Recorder};
use chalkwalk_time::{Span, Timestamp};
use slog::{Logger, info};
use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::Shutdown;
use std::rc::Rc;

/// One attempt as seen from outside its task: how it is called off.
pub struct AttemptHandle {
    conn: RefCell<Option<Rc<ServerConnection>>>,
    pub written: Cell<bool>, // to the last byte
    stop: Sender<()>,
    pub stopped: Receiver<()>,
}

impl AttemptHandle {
    fn new() -> AttemptHandle {
        let (stop, stopped) = bounded(1);
        AttemptHandle { conn: RefCell::default(), written: Cell::new(false), stop, stopped }
    }

    /// Ends the sending at once, so that whatever is written next is written after it.
    fn give_up(&self) {
        if let Some(conn) = self.conn.borrow().as_ref() {
            _ = conn.stream.get_ref().shutdown(Shutdown::Both);
        }
        _ = self.stop.try_send(());
    }

    pub fn hold(&self, conn: Option<Rc<ServerConnection>>) {
        *self.conn.borrow_mut() = conn;
    }
}

/// What the balancer wants done once the call to it is over.
pub enum Command {
    StartAttempt(PendingAttempt),
    HealthCheck(ServerIndex),
}

/// An attempt to be written: given up at `until`, and not written at all where that would be later than `by`.
pub struct PendingAttempt {
    pub request_id: RequestId,
    pub attempt: usize,
    pub server: ServerIndex,
    pub until: Timestamp,
    pub by: Timestamp,
    pub ask: Rc<dyn ClientRequest>,
    pub handle: Rc<AttemptHandle>,
}

struct OpenRequest {
    ask: Rc<dyn ClientRequest>,
    answer: Option<Sender<Response>>, // until the request has its final answer
    handles: Vec<Rc<AttemptHandle>>,
    out: usize,
}

/// What is known outside the balancer: never read by it, and lent to it as its way out.
struct EffectSink {
    now: Timestamp,
    open: HashMap<RequestId, OpenRequest>,
    take_commands: Vec<Command>,
    wakes: BinaryHeap<Reverse<(Timestamp, u64, u64)>>,
    woken: u64,
    sooner: Sender<()>, // a wake is due before the one that is waited for
    wanted: Sender<()>, // the balancer wants the list watched
    log: Logger,
    left_waiting: u64, // requests whose client left before any of their attempts was written
    recorder: Option<Recorder>, // of all that the balancer is told and wants, where it is captured
}

impl EffectSink {
    fn done(&mut self, done: impl FnOnce() -> Decision) {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_decision(done());
        }
    }

    /// A call to the balancer begins.
    fn told(&mut self, told: impl FnOnce() -> Event) {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_event(self.now, told());
        }
    }
}

impl Effects for EffectSink {
    fn start_attempt(&mut self, request_id: RequestId, server: ServerIndex, until: Timestamp, by: Timestamp) {
        self.done(|| Decision::StartAttempt { request_id: request_id.0, server, until, by });
        let Some(open) = self.open.get_mut(&request_id) else { return };
        let handle = Rc::new(AttemptHandle::new());
        let attempt = open.handles.len();
        open.handles.push(handle.clone());
        open.out += 1;
        let ask = open.ask.clone();
        self.take_commands.push(Command::StartAttempt(PendingAttempt {
            request_id,
            attempt,
            server,
            until,
            by,
            ask,
            handle,
        }));
    }
    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize) {
        self.done(|| Decision::CancelAttempt { request_id: request_id.0, attempt });
        if let Some(handle) = self.open.get(&request_id).and_then(|open| open.handles.get(attempt)) {
            handle.give_up();
        }
    }
    fn reject(&mut self, request_id: RequestId, back_in: Span) {
        self.done(|| Decision::Reject { request_id: request_id.0, back_in });
        let back_in = Some(back_in).filter(|t| *t > Span::ZERO);
        self.finish(request_id, Response::empty(ResponseStatus::Rejected(back_in)));
    }
    fn fail(&mut self, request_id: RequestId) {
        self.done(|| Decision::Fail(request_id.0));
        self.finish(request_id, Response::empty(ResponseStatus::Failed));
    }
    fn check_health(&mut self, server: ServerIndex) {
        self.done(|| Decision::CheckHealth(server));
        self.take_commands.push(Command::HealthCheck(server));
    }
    fn set_timer(&mut self, token: u64, after: Span) {
        self.done(|| Decision::SetTimer { token, after });
        let due = self.now + after;
        let sooner = self.wakes.peek().is_none_or(|Reverse(first)| due < first.0);
        self.woken += 1;
        self.wakes.push(Reverse((due, self.woken, token)));
        if sooner {
            _ = self.sooner.try_send(());
        }
    }
    fn watch_endpoints(&mut self) {
        self.done(|| Decision::WatchEndpoints);
        _ = self.wanted.try_send(());
    }
    fn report(&mut self, change: StateChange) {
        self.done(|| Decision::Log {
            event: change.stored_name().into(),
            server: change.server().unwrap_or_default().into(),
        });
        match change.server() {
            None => info!(self.log, "{}", change.name()),
            Some(server) => info!(self.log, "{}", change.name(); "cache" => server),
        }
    }
}

impl EffectSink {
    fn finish(&mut self, request_id: RequestId, answer: Response) {
        if let Some(open) = self.open.get_mut(&request_id)
            && let Some(waiting) = open.answer.take()
        {
            _ = waiting.try_send(answer);
        }
        self.tidy(request_id);
    }

    fn tidy(&mut self, request_id: RequestId) {
        if self.open.get(&request_id).is_some_and(|open| open.answer.is_none() && open.out == 0) {
            self.open.remove(&request_id);
        }
    }
}

pub struct RequestTable {
    balancer: Balancer,
    settings: BTreeMap<String, String>, // as the balancer last read it
    sink: EffectSink,
    pub servers: ServerRegistry,
}

impl RequestTable {
    /// `sooner` and `wanted` have room for one, which is enough to be told by.
    pub fn new(
        seed: u64,
        settings: &BTreeMap<String, String>,
        servers: ServerRegistry,
        (sooner, wanted): (Sender<()>, Sender<()>),
        log: Logger,
        (recorder, now): (Option<Recorder>, Timestamp),
    ) -> RequestTable {
        let mut sink = EffectSink {
            now,
            open: HashMap::new(),
            take_commands: Vec::new(),
            wakes: BinaryHeap::new(),
            woken: 0,
            sooner,
            wanted,
            log,
            left_waiting: 0,
            recorder,
        };
        sink.told(|| Event::Start { seed, settings: settings.clone() });
        let balancer = Balancer::new(seed, settings, &mut sink);
        // The balancer asks for the list where the platform watches; elsewhere it comes by a watch all the same.
        if settings.get("watched").is_none_or(|watched| watched != "1") {
            _ = sink.wanted.try_send(());
        }
        RequestTable { balancer, settings: settings.clone(), sink, servers }
    }

    fn at(&mut self, now: Timestamp) -> (&mut Balancer, &mut EffectSink) {
        self.sink.now = now;
        self.balancer.advance_clock(now);
        if let Some(recorder) = self.sink.recorder.as_mut().filter(|recorder| recorder.wants_snapshot(now))
            && let Some(state) = self.balancer.snapshot()
        {
            recorder.snapshot(now, &self.settings, state);
        }
        (&mut self.balancer, &mut self.sink)
    }

    pub fn stop_capture(&mut self) {
        self.sink.recorder = None;
    }

    /// What the balancer wants done by now.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.sink.take_commands)
    }

    /// Requests without their answer, or with an attempt out.
    pub fn open(&self) -> usize {
        self.sink.open.len()
    }

    /// Takes a request and routes it; its final answer comes by the channel.
    pub fn take(&mut self, now: Timestamp, ask: Rc<dyn ClientRequest>) -> (RequestId, Receiver<Response>) {
        let (answer, answered) = bounded(1);
        let order = ask.allowed_servers().map(|addrs| self.servers.in_service_at(&addrs));
        let (balancer, sink) = self.at(now);
        if let Some(recorder) = &mut sink.recorder {
            recorder.request_accepted(
                now,
                ask.class(),
                ask.key(),
                ask.is_write(),
                ask.expires(),
                order.as_deref(),
            );
        }
        let request_id = balancer.accept_request(ask.class(), ask.key(), ask.is_write(), ask.expires());
        if let Some(order) = order {
            balancer.restrict_to(request_id, order);
        }
        sink.open.insert(request_id, OpenRequest { ask, answer: Some(answer), handles: Vec::new(), out: 0 });
        balancer.route_request(request_id, sink);
        (request_id, answered)
    }

    /// Whether a request has its final answer, or nobody waits for one any more.
    fn is_over(&self, request_id: RequestId) -> bool {
        self.sink.open.get(&request_id).is_none_or(|open| open.answer.is_none())
    }

    /// Requests so far whose client left before any of their attempts was written.
    pub fn left_waiting(&self) -> u64 {
        self.sink.left_waiting
    }

    /// An attempt has ended, and its connection is closed or back in the pool.
    pub fn ended(
        &mut self,
        now: Timestamp,
        (request_id, attempt): (RequestId, usize),
        outcome: AttemptOutcome,
        took: Span,
        answer: Option<Response>,
    ) {
        let order = self.sink.open.get(&request_id).and_then(|open| {
            open.ask.attempt_ended(outcome);
            open.ask.allowed_servers()
        });
        let order = order.map(|addrs| self.servers.in_service_at(&addrs));
        let (balancer, sink) = self.at(now);
        if let Some(open) = sink.open.get_mut(&request_id) {
            open.out -= 1;
        }
        if let Some(answer) = answer {
            sink.finish(request_id, answer);
        }
        let finished = sink.open.get(&request_id).is_none_or(|open| open.answer.is_none());
        if let Some(recorder) = &mut sink.recorder {
            recorder.attempt_ended(now, request_id.0, attempt, outcome, took, finished, order.as_deref());
        }
        if let Some(order) = order {
            balancer.restrict_to(request_id, order);
        }
        balancer.attempt_ended(request_id, attempt, outcome, took, finished, sink);
        sink.tidy(request_id);
    }

    /// An attempt's answer has begun, and the request is resolved by it; the attempt goes on until the answer has ended.
    pub fn begun(&mut self, now: Timestamp, (request_id, attempt): (RequestId, usize), answer: Response) {
        let (balancer, sink) = self.at(now);
        sink.finish(request_id, answer);
        sink.told(|| Event::ResponseStarted { request_id: request_id.0, attempt });
        balancer.response_started(request_id, attempt, sink);
    }

    pub fn client_left(&mut self, now: Timestamp, request_id: RequestId) {
        let (balancer, sink) = self.at(now);
        if let Some(open) = sink.open.get_mut(&request_id)
            && open.answer.take().is_some()
            && !open.handles.iter().any(|handle| handle.written.get())
        {
            sink.left_waiting += 1;
        }
        sink.told(|| Event::ClientLeft(request_id.0));
        balancer.client_left(request_id, sink);
        sink.tidy(request_id);
    }

    /// Abandons all that is open.
    pub fn give_up_all(&mut self, now: Timestamp) {
        let mut open: Vec<RequestId> = self.sink.open.keys().copied().collect();
        open.sort_unstable_by_key(|request_id| request_id.0);
        for request_id in open {
            self.sink.finish(request_id, Response::empty(ResponseStatus::Failed));
            self.client_left(now, request_id);
        }
    }

    /// So many proxies share the servers.
    pub fn shared_by(&mut self, proxies: u64) {
        self.sink.told(|| Event::ProxyCount(proxies));
        self.balancer.set_proxy_count(proxies);
    }

    /// Other limits hold: the balancer reads them, and each request that is open has its class and its time limit anew, where
    /// it still has one.
    pub fn renewed(
        &mut self,
        now: Timestamp,
        settings: &BTreeMap<String, String>,
        of: impl Fn(&dyn ClientRequest) -> Option<(usize, Span)>,
    ) {
        let (balancer, sink) = self.at(now);
        sink.told(|| Event::SettingsChanged(settings.clone()));
        balancer.apply_settings(settings);
        let mut open: Vec<(RequestId, Rc<dyn ClientRequest>)> =
            sink.open.iter().map(|(l, o)| (*l, o.ask.clone())).collect();
        open.sort_unstable_by_key(|(request_id, _)| request_id.0);
        for (request_id, ask) in open {
            let Some((class, limit)) = of(&*ask) else { continue };
            let expires = ask.received_at() + limit;
            sink.told(|| Event::LimitsRenewed { request_id: request_id.0, class, expires });
            balancer.renew_limits(request_id, class, expires, sink);
        }
        self.settings = settings.clone();
    }

    pub fn probed(&mut self, now: Timestamp, server: ServerIndex, answered: bool) {
        let (balancer, sink) = self.at(now);
        sink.told(|| Event::HealthCheckFinished { server, answered });
        balancer.health_check_finished(server, answered, sink);
    }

    /// Takes what a list says. Returns the servers that are off, and what it has changed.
    pub fn listed(&mut self, now: Timestamp, update: &ListUpdate<'_>) -> (Vec<ServerIndex>, ListChanges) {
        let was_off: Vec<ServerIndex> = self.servers.off().collect();
        self.sink.now = now;
        self.balancer.advance_clock(now);
        let endpoints = self.servers.apply(now, update);
        if let Some(recorder) = &mut self.sink.recorder {
            recorder.endpoints_listed(now, update.whole, &endpoints);
        }
        match update.whole {
            true => self.balancer.replace_endpoints(&endpoints, &mut self.sink),
            false => self.balancer.update_endpoints(&endpoints, &mut self.sink),
        }
        let changed = self.servers.changes_since(&was_off);
        self.servers.forget_unused(&self.balancer);
        (self.servers.off().collect(), changed)
    }

    /// Operators take a server out at that moment, or put it back; its place, if it has one.
    pub fn barred(&mut self, now: Timestamp, id: &str, (out, at): (bool, Timestamp)) -> Option<ServerIndex> {
        let (balancer, sink) = self.at(now);
        sink.told(|| Event::ServerDisabled { id: id.into(), out, at });
        balancer.set_disabled(id, out, at);
        self.servers.index_of(id)
    }

    /// Whether an attempt may be sent now; `awaited`: whether its client is still there.
    pub fn may_send(
        &self,
        now: Timestamp,
        pending: &PendingAttempt,
        awaited: bool,
    ) -> Result<(), SendRefusal> {
        let attempt = UnsentAttempt {
            request: pending.request_id,
            number: pending.attempt,
            server: pending.server,
            until: pending.until.min(pending.by),
            answered: self.is_over(pending.request_id),
            client_connected: awaited,
        };
        self.balancer.may_send(&attempt, now)
    }

    /// Whether a server may be asked anything: it is in service, and not left out by operators.
    pub fn is_available(&self, server: ServerIndex) -> bool {
        self.balancer.is_available(server)
    }

    /// What was learned of the servers, for the process that comes after this one.
    pub fn learned(&self) -> Vec<LearnedServer> {
        self.balancer.learned()
    }

    /// Takes up what a process before this one has learned. Not where all is captured, as a replay would not know of it.
    pub fn restore_learned(&mut self, learned: Vec<LearnedServer>) -> bool {
        let taken = self.sink.recorder.is_none();
        if taken {
            self.balancer.restore_learned(learned);
        }
        taken
    }

    /// The terms on which this balancer learns.
    pub fn learning_terms(&self) -> u64 {
        self.balancer.learning_terms()
    }

    /// Whether there is no server to be asked by what was told.
    pub fn no_server_ready(&self) -> bool {
        self.balancer.no_server_ready()
    }

    /// Whether operators may mean a server by this.
    pub fn knows_server(&self, id: &str) -> bool {
        self.balancer.knows_server(id)
    }

    /// A call to discovery failed; the balancer will want another.
    pub fn discovery_call_failed(&mut self, now: Timestamp, took: Span) {
        let (balancer, sink) = self.at(now);
        sink.told(|| Event::DiscoveryCallFailed { took });
        balancer.discovery_call_failed(took, sink);
    }

    /// When the balancer is to be woken next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.sink.wakes.peek().map(|Reverse((due, ..))| *due)
    }

    /// Wakes the balancer with what is due first, if it is.
    pub fn wake(&mut self, now: Timestamp) {
        if self.next_wake().is_some_and(|due| due <= now)
            && let Some(Reverse((_, _, token))) = self.sink.wakes.pop()
        {
            let (balancer, sink) = self.at(now);
            sink.told(|| Event::TimerFired(token));
            balancer.timer_fired(token, sink);
        }
    }
}
