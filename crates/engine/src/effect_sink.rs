//! What the balancer's decisions take effect on: the open requests, its timers and the log. Effects
//! that need a task are only noted as commands, and carried out once the call to the balancer is
//! over.

use crate::attempt_handle::AttemptHandle;
use crate::response::{ClientRequest, Response, ResponseStatus};
use crate::timers::TimerQueue;
use chalkwalk_balancer::{Effects, RequestId, ServerIndex, StateChange};
use chalkwalk_capture::{Decision, Event, Recorder};
use chalkwalk_time::{Span, Timestamp};
use slog::{Logger, info};
use smol::channel::Sender;
use std::collections::HashMap;
use std::rc::Rc;

/// What the balancer wants done once the call to it is over.
pub enum Command {
    /// Send a request to a server.
    StartAttempt(PendingAttempt),
    /// Check the health of a server.
    CheckHealth(ServerIndex),
}

/// Names an attempt: the request, and its number among the attempts for that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request_id: RequestId,
    /// From 0, in the order of starting.
    pub number: usize,
}

/// An attempt that is to be written.
pub struct PendingAttempt {
    /// Which one.
    pub id: AttemptId,
    /// Where it goes.
    pub server: ServerIndex,
    /// When it times out.
    pub times_out_at: Timestamp,
    /// It is not written at all where that would be later than this.
    pub send_by: Timestamp,
    /// What is written.
    pub request: Rc<dyn ClientRequest>,
    /// How it is cancelled.
    pub handle: Rc<AttemptHandle>,
}

impl PendingAttempt {
    /// Until when it may be written.
    pub fn may_be_sent_until(&self) -> Timestamp {
        self.times_out_at.min(self.send_by)
    }
}

/// A request from its arrival to its final response, or to the end of its last attempt if that is
/// later.
pub(crate) struct OpenRequest {
    pub request: Rc<dyn ClientRequest>,
    /// Where its final response goes; `None` once it has that, or nobody waits for it any more.
    pub response: Option<Sender<Response>>,
    /// All of its attempts, by their numbers.
    pub attempts: Vec<Rc<AttemptHandle>>,
    pub in_flight: usize,
}

impl OpenRequest {
    /// A request that has no attempt yet.
    pub fn new(request: Rc<dyn ClientRequest>, response: Sender<Response>) -> OpenRequest {
        OpenRequest { request, response: Some(response), attempts: Vec::new(), in_flight: 0 }
    }

    fn is_done(&self) -> bool {
        self.response.is_none() && self.in_flight == 0
    }
}

/// How the request table wakes tasks that wait for it. Each channel has capacity for one signal,
/// which is enough to wake by.
pub(crate) struct Signals {
    /// A timer is due before the one that is waited for.
    pub earlier_timer: Sender<()>,
    /// The balancer wants the endpoint list watched.
    pub watch_requested: Sender<()>,
}

/// What is known outside the balancer: never read by it, and lent to it as its [`Effects`].
pub(crate) struct EffectSink {
    pub now: Timestamp,
    pub open: HashMap<RequestId, OpenRequest>,
    pub timers: TimerQueue,
    pub signals: Signals,
    pub log: Logger,
    /// Of all calls to the balancer and its decisions, where they are captured.
    pub recorder: Option<Recorder>,
    commands: Vec<Command>,
}

impl EffectSink {
    /// Without any request or timer yet.
    pub fn new(now: Timestamp, signals: Signals, log: Logger, recorder: Option<Recorder>) -> EffectSink {
        EffectSink {
            now,
            open: HashMap::new(),
            timers: TimerQueue::default(),
            signals,
            log,
            recorder,
            commands: Vec::new(),
        }
    }

    /// Records a call to the balancer, before it is made.
    pub fn record_event(&mut self, event: impl FnOnce() -> Event) {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_event(self.now, event());
        }
    }

    fn record_decision(&mut self, decision: impl FnOnce() -> Decision) {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_decision(decision());
        }
    }

    /// The commands noted so far, which are the caller's to carry out.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether a request has its final response, or nobody waits for one any more.
    pub fn is_over(&self, request_id: RequestId) -> bool {
        self.open.get(&request_id).is_none_or(|open| open.response.is_none())
    }

    /// Gives a request its final response, unless it has one.
    pub fn respond(&mut self, request_id: RequestId, response: Response) {
        if let Some(open) = self.open.get_mut(&request_id)
            && let Some(waiting) = open.response.take()
        {
            _ = waiting.try_send(response);
        }
        self.remove_if_done(request_id);
    }

    /// Forgets a request that has its final response and no attempt in flight.
    pub fn remove_if_done(&mut self, request_id: RequestId) {
        if self.open.get(&request_id).is_some_and(OpenRequest::is_done) {
            self.open.remove(&request_id);
        }
    }
}

impl Effects for EffectSink {
    fn start_attempt(&mut self, request_id: RequestId, server: ServerIndex, until: Timestamp, by: Timestamp) {
        self.record_decision(|| Decision::StartAttempt { request_id: request_id.0, server, until, by });
        let Some(open) = self.open.get_mut(&request_id) else { return };
        let handle = Rc::new(AttemptHandle::new());
        let number = open.attempts.len();
        open.attempts.push(handle.clone());
        open.in_flight += 1;
        self.commands.push(Command::StartAttempt(PendingAttempt {
            id: AttemptId { request_id, number },
            server,
            times_out_at: until,
            send_by: by,
            request: open.request.clone(),
            handle,
        }));
    }

    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize) {
        self.record_decision(|| Decision::CancelAttempt { request_id: request_id.0, attempt });
        if let Some(handle) = self.open.get(&request_id).and_then(|open| open.attempts.get(attempt)) {
            handle.cancel();
        }
    }

    fn reject(&mut self, request_id: RequestId, back_in: Span) {
        self.record_decision(|| Decision::Reject { request_id: request_id.0, back_in });
        let retry_after = Some(back_in).filter(|wait| *wait > Span::ZERO);
        self.respond(request_id, Response::empty(ResponseStatus::Rejected(retry_after)));
    }

    fn fail(&mut self, request_id: RequestId) {
        self.record_decision(|| Decision::Fail(request_id.0));
        self.respond(request_id, Response::empty(ResponseStatus::Failed));
    }

    fn check_health(&mut self, server: ServerIndex) {
        self.record_decision(|| Decision::CheckHealth(server));
        self.commands.push(Command::CheckHealth(server));
    }

    fn set_timer(&mut self, token: u64, after: Span) {
        self.record_decision(|| Decision::SetTimer { token, after });
        if self.timers.set(self.now + after, token) {
            _ = self.signals.earlier_timer.try_send(());
        }
    }

    fn watch_endpoints(&mut self) {
        self.record_decision(|| Decision::WatchEndpoints);
        _ = self.signals.watch_requested.try_send(());
    }

    fn report(&mut self, change: StateChange) {
        self.record_decision(|| Decision::Log {
            event: change.stored_name().into(),
            server: change.server().unwrap_or_default().into(),
        });
        match change.server() {
            None => info!(self.log, "{}", change.name()),
            Some(server) => info!(self.log, "{}", change.name(); "cache" => server),
        }
    }
}
