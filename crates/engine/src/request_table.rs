//! The request table: the balancer and the open requests. Each event is reported to the balancer
//! here, one call at a time. The actions that it requests are queued during the call, and
//! `dispatch` carries them out after the call has returned.

mod servers;

use crate::classes::WATCHED_SETTING;
use crate::effect_sink::{AttemptId, Command, EffectSink, OpenRequest, PendingAttempt, Signals};
use crate::response::{ClientRequest, Response, ResponseStatus};
use crate::servers::ServerRegistry;
use chalkwalk_balancer::admission::{SendRefusal, UnsentAttempt};
use chalkwalk_balancer::{AttemptOutcome, Balancer, RequestId, ServerIndex};
use chalkwalk_capture::{Event, Recorder};
use chalkwalk_time::{Span, Timestamp};
use slog::Logger;
use smol::channel::{Receiver, bounded};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The open requests and the balancer that routes them.
pub struct RequestTable {
    balancer: Balancer,
    /// The settings that the balancer read last.
    settings: BTreeMap<String, String>,
    sink: EffectSink,
    /// The servers of the endpoint list.
    pub servers: ServerRegistry,
    /// Number of requests whose client left before any of their attempts was written.
    abandoned_requests: u64,
}

/// How an attempt ended.
pub(crate) struct AttemptResult {
    pub outcome: AttemptOutcome,
    pub took: Span,
    /// The final response to the request, if the attempt produced it.
    pub response: Option<Response>,
}

/// The limits of a request's class after a change of the operator's limits.
pub(crate) struct RenewedLimits {
    pub class: usize,
    pub time_limit: Span,
}

impl RequestTable {
    /// Creates a table with a new balancer.
    pub(crate) fn new(
        seed: u64,
        settings: &BTreeMap<String, String>,
        servers: ServerRegistry,
        signals: Signals,
        log: Logger,
        recorder: Option<Recorder>,
        now: Timestamp,
    ) -> RequestTable {
        let mut sink = EffectSink::new(now, signals, log, recorder);
        sink.record_event(|| Event::Start { seed, settings: settings.clone() });
        let balancer = Balancer::new(seed, settings, &mut sink);
        // With this setting the balancer requests the watch; otherwise the watch is requested here.
        if settings.get(WATCHED_SETTING).is_none_or(|watched| watched != "1") {
            _ = sink.signals.watch_requested.try_send(());
        }
        RequestTable { balancer, settings: settings.clone(), sink, servers, abandoned_requests: 0 }
    }

    /// Returns the balancer and the effect sink, both advanced to the present time. Most calls to
    /// the balancer start here: if a capture runs and a snapshot is due, it is recorded before the
    /// call.
    fn advance_to(&mut self, now: Timestamp) -> (&mut Balancer, &mut EffectSink) {
        self.sink.now = now;
        self.balancer.advance_clock(now);
        if let Some(recorder) = self.sink.recorder.as_mut().filter(|recorder| recorder.is_snapshot_due(now))
            && let Some(state) = self.balancer.snapshot()
        {
            recorder.record_snapshot(now, &self.settings, state);
        }
        (&mut self.balancer, &mut self.sink)
    }

    /// Ends the capture.
    pub fn stop_capture(&mut self) {
        self.sink.recorder = None;
    }

    /// Takes the queued actions that the balancer has requested.
    pub(crate) fn take_commands(&mut self) -> Vec<Command> {
        self.sink.take_commands()
    }

    /// The number of requests without a final response or with an attempt in flight.
    pub fn open_request_count(&self) -> usize {
        self.sink.open_requests.len()
    }

    /// The number of requests so far whose client left before any of their attempts was written.
    pub fn abandoned_requests(&self) -> u64 {
        self.abandoned_requests
    }

    /// Accepts and routes a request. Its final response is sent on the returned channel.
    pub(crate) fn accept_request(
        &mut self,
        now: Timestamp,
        request: Rc<dyn ClientRequest>,
    ) -> (RequestId, Receiver<Response>) {
        let (response_sender, response_receiver) = bounded(1);
        let allowed_servers = self.allowed_servers(&*request);
        let (balancer, sink) = self.advance_to(now);
        let class = request.class();
        let key = request.key();
        let write = request.is_write();
        let expires = request.expires_at();
        if let Some(recorder) = &mut sink.recorder {
            recorder.record_request_accepted(now, class, key, write, expires, allowed_servers.as_deref());
        }
        let request_id = balancer.accept_request(class, key, write, expires);
        if let Some(allowed_servers) = allowed_servers {
            balancer.restrict_servers(request_id, allowed_servers);
        }
        sink.open_requests.insert(request_id, OpenRequest::new(request, response_sender));
        balancer.route_request(request_id, sink);
        (request_id, response_receiver)
    }

    /// The only servers that may serve the request; `None` if there is no such restriction.
    fn allowed_servers(&self, request: &dyn ClientRequest) -> Option<Vec<ServerIndex>> {
        request.allowed_servers().map(|addrs| self.servers.in_service_at(&addrs))
    }

    /// Whether an attempt may be sent now. `client_connected` is whether its client is still
    /// connected.
    pub(crate) fn may_send(
        &self,
        now: Timestamp,
        pending: &PendingAttempt,
        client_connected: bool,
    ) -> Result<(), SendRefusal> {
        let attempt = UnsentAttempt {
            request_id: pending.id.request_id,
            index: pending.id.index,
            server: pending.server,
            deadline: pending.send_deadline(),
            answered: self.sink.is_finished(pending.id.request_id),
            client_connected,
        };
        self.balancer.may_send(&attempt, now)
    }

    /// Reports that the response to an attempt has started, which makes it the final response of
    /// the request. The attempt continues until the end of the response body.
    pub(crate) fn response_started(&mut self, now: Timestamp, attempt: AttemptId, response: Response) {
        let AttemptId { request_id, index } = attempt;
        let (balancer, sink) = self.advance_to(now);
        sink.respond(request_id, response);
        sink.record_event(|| Event::ResponseStarted { request_id: request_id.0, attempt: index });
        balancer.response_started(request_id, index, sink);
    }

    /// Reports that an attempt has ended. Its connection is already closed or back in the pool.
    pub(crate) fn attempt_ended(&mut self, now: Timestamp, attempt: AttemptId, result: AttemptResult) {
        let AttemptId { request_id, index } = attempt;
        let AttemptResult { outcome, took, response } = result;
        let request =
            self.sink.open_requests.get(&request_id).map(|open_request| open_request.request.clone());
        let allowed_servers = request.and_then(|request| {
            request.attempt_ended(outcome);
            self.allowed_servers(&*request)
        });
        let (balancer, sink) = self.advance_to(now);
        if let Some(open_request) = sink.open_requests.get_mut(&request_id) {
            open_request.in_flight -= 1;
        }
        if let Some(response) = response {
            sink.respond(request_id, response);
        }
        let finished = sink.is_finished(request_id);
        if let Some(recorder) = &mut sink.recorder {
            recorder.record_attempt_ended(
                now,
                request_id.0,
                index,
                outcome,
                took,
                finished,
                allowed_servers.as_deref(),
            );
        }
        if let Some(allowed_servers) = allowed_servers {
            balancer.restrict_servers(request_id, allowed_servers);
        }
        balancer.attempt_ended(request_id, index, outcome, took, finished, sink);
        sink.remove_if_done(request_id);
    }

    /// Reports that the client of a request has disconnected or cancelled it.
    pub(crate) fn client_disconnected(&mut self, now: Timestamp, request_id: RequestId) {
        self.advance_to(now);
        if let Some(open_request) = self.sink.open_requests.get_mut(&request_id)
            && open_request.response_sender.take().is_some()
            && !open_request.attempts.iter().any(|attempt| attempt.is_written())
        {
            self.abandoned_requests += 1;
        }
        self.sink.record_event(|| Event::ClientLeft(request_id.0));
        self.balancer.client_disconnected(request_id, &mut self.sink);
        self.sink.remove_if_done(request_id);
    }

    /// Fails all requests that are open.
    pub(crate) fn fail_all(&mut self, now: Timestamp) {
        let mut open_requests: Vec<RequestId> = self.sink.open_requests.keys().copied().collect();
        open_requests.sort_unstable_by_key(|request_id| request_id.0);
        for request_id in open_requests {
            self.sink.respond(request_id, Response::empty(ResponseStatus::Failed));
            self.client_disconnected(now, request_id);
        }
    }

    /// Applies new settings. The balancer reads them, and each open request for which `renewed`
    /// returns limits gets the new class and time limit.
    pub(crate) fn apply_settings(
        &mut self,
        now: Timestamp,
        settings: &BTreeMap<String, String>,
        renewed: impl Fn(&dyn ClientRequest) -> Option<RenewedLimits>,
    ) {
        let (balancer, sink) = self.advance_to(now);
        sink.record_event(|| Event::SettingsChanged(settings.clone()));
        balancer.apply_settings(settings);
        let mut open_requests: Vec<(RequestId, Rc<dyn ClientRequest>)> = sink
            .open_requests
            .iter()
            .map(|(request_id, open_request)| (*request_id, open_request.request.clone()))
            .collect();
        open_requests.sort_unstable_by_key(|(request_id, _)| request_id.0);
        for (request_id, request) in open_requests {
            let Some(RenewedLimits { class, time_limit }) = renewed(&*request) else { continue };
            let expires = request.received_at() + time_limit;
            sink.record_event(|| Event::LimitsRenewed { request_id: request_id.0, class, expires });
            balancer.update_limits(request_id, class, expires, sink);
        }
        self.settings = settings.clone();
    }

    /// When the next timer of the balancer is due.
    pub(crate) fn next_timer(&self) -> Option<Timestamp> {
        self.sink.timers.next_due()
    }

    /// Fires the balancer's first timer, if it is due.
    pub(crate) fn fire_timer(&mut self, now: Timestamp) {
        if let Some(token) = self.sink.timers.pop_due(now) {
            let (balancer, sink) = self.advance_to(now);
            sink.record_event(|| Event::TimerFired(token));
            balancer.timer_fired(token, sink);
        }
    }
}
