//! Applies the balancer's decisions to the open requests, the timers and the log. A decision that
//! needs a task is queued as a command, which `dispatch` carries out after the call to the balancer
//! has returned.

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

/// An action that the balancer requested, to be carried out after the call to it has returned.
pub enum Command {
    /// Send a request to a server.
    StartAttempt(PendingAttempt),
    /// Check the health of a server.
    CheckHealth(ServerIndex),
}

/// Identifies an attempt by its request and its index among the request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request_id: RequestId,
    /// Index from 0, in the order in which the attempts were started.
    pub index: usize,
}

/// An attempt that is to be sent.
pub struct PendingAttempt {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The server to which it is sent.
    pub server: ServerIndex,
    /// When it times out.
    pub times_out_at: Timestamp,
    /// The latest time at which it may still be sent; after that it is not sent at all.
    pub send_by: Timestamp,
    /// The request to write.
    pub request: Rc<dyn ClientRequest>,
    /// Cancels the attempt and tracks its progress.
    pub handle: Rc<AttemptHandle>,
}

impl PendingAttempt {
    /// The latest time at which the attempt may be written: before its timeout and by `send_by`.
    pub fn send_deadline(&self) -> Timestamp {
        self.times_out_at.min(self.send_by)
    }
}

/// A request from its arrival until its final response, or until the end of its last attempt if
/// that is later.
pub(crate) struct OpenRequest {
    pub request: Rc<dyn ClientRequest>,
    /// Sends the final response; `None` once the response was sent or the client has left.
    pub response_sender: Option<Sender<Response>>,
    /// All attempts for the request, by their index.
    pub attempts: Vec<Rc<AttemptHandle>>,
    /// Number of attempts that have not ended.
    pub in_flight: usize,
}

impl OpenRequest {
    /// An open request without any attempt.
    pub fn new(request: Rc<dyn ClientRequest>, response_sender: Sender<Response>) -> OpenRequest {
        OpenRequest { request, response_sender: Some(response_sender), attempts: Vec::new(), in_flight: 0 }
    }

    fn is_done(&self) -> bool {
        self.response_sender.is_none() && self.in_flight == 0
    }
}

/// Wakes tasks that wait for the request table. Each channel has capacity for one signal, which is
/// enough for a wake-up.
pub(crate) struct Signals {
    /// Sent if a timer was set that is due before all others.
    pub earlier_timer: Sender<()>,
    /// Sent if the balancer requests a watch of the endpoint list.
    pub watch_requested: Sender<()>,
}

/// The engine's state that the balancer's decisions change. The balancer never reads it. Each call
/// to the balancer passes it as the [`Effects`] of that call.
pub(crate) struct EffectSink {
    pub now: Timestamp,
    pub open_requests: HashMap<RequestId, OpenRequest>,
    pub timers: TimerQueue,
    pub signals: Signals,
    pub log: Logger,
    /// Records all calls to the balancer and its decisions, if a capture runs.
    pub recorder: Option<Recorder>,
    commands: Vec<Command>,
}

impl EffectSink {
    /// A sink without requests or timers.
    pub fn new(now: Timestamp, signals: Signals, log: Logger, recorder: Option<Recorder>) -> EffectSink {
        EffectSink {
            now,
            open_requests: HashMap::new(),
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

    /// Takes the queued commands, for the caller to carry out.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether a request has its final response, or its client has left.
    pub fn is_finished(&self, request_id: RequestId) -> bool {
        self.open_requests.get(&request_id).is_none_or(|open_request| open_request.response_sender.is_none())
    }

    /// Sends the final response to a request, unless one was sent already.
    pub fn respond(&mut self, request_id: RequestId, response: Response) {
        if let Some(open_request) = self.open_requests.get_mut(&request_id)
            && let Some(sender) = open_request.response_sender.take()
        {
            _ = sender.try_send(response);
        }
        self.remove_if_done(request_id);
    }

    /// Removes a request that has its final response and no attempt in flight.
    pub fn remove_if_done(&mut self, request_id: RequestId) {
        if self.open_requests.get(&request_id).is_some_and(OpenRequest::is_done) {
            self.open_requests.remove(&request_id);
        }
    }
}

impl Effects for EffectSink {
    fn start_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerIndex,
        deadline: Timestamp,
        send_by: Timestamp,
    ) {
        self.record_decision(|| Decision::StartAttempt {
            request_id: request_id.0,
            server,
            until: deadline,
            by: send_by,
        });
        let Some(open_request) = self.open_requests.get_mut(&request_id) else { return };
        let handle = Rc::new(AttemptHandle::new());
        let index = open_request.attempts.len();
        open_request.attempts.push(handle.clone());
        open_request.in_flight += 1;
        self.commands.push(Command::StartAttempt(PendingAttempt {
            id: AttemptId { request_id, index },
            server,
            times_out_at: deadline,
            send_by,
            request: open_request.request.clone(),
            handle,
        }));
    }

    fn cancel_attempt(&mut self, request_id: RequestId, attempt: usize) {
        self.record_decision(|| Decision::CancelAttempt { request_id: request_id.0, attempt });
        if let Some(handle) =
            self.open_requests.get(&request_id).and_then(|open_request| open_request.attempts.get(attempt))
        {
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
