//! Accepts, routes and closes requests, and sets the order in which the decisions about a request
//! are made.

use super::Balancer;
use crate::effects::Effects;
use crate::hash::key_point;
use crate::key_order::{NextStep, Turn};
use crate::load_shedding::Resource;
use crate::request::Request;
use crate::request_class::ClassHandle;
use crate::types::{RequestId, ServerIndex};
use chalkwalk_time::{Span, Timestamp};

/// The random draw of a request is below this.
const DRAW_END: u64 = 100;
/// The quantile, in thousandths, that predicts when a request's turn comes: the median latency.
const MEDIAN_THOUSANDTHS: u64 = 500;

impl Balancer {
    /// Accepts a request, which must be answered exactly once and before `expires`. Call
    /// `route_request` next.
    pub fn accept_request(&mut self, class: usize, key: &str, write: bool, expires: Timestamp) -> RequestId {
        self.accept_request_at(class, key_point(key), write, expires)
    }

    /// Like `accept_request`, for a key of which only the point on the ring is known.
    pub fn accept_request_at(
        &mut self,
        class: usize,
        key: u64,
        write: bool,
        expires: Timestamp,
    ) -> RequestId {
        let request_id = RequestId(self.accepted_count);
        self.accepted_count += 1;
        self.shedding.count_request();
        let class = &self.settings.classes[class];
        class.retry_budget.record_first_attempt(self.now);
        let useful_until =
            if class.late_answers_useful { expires } else { expires.min(self.now + class.target) };
        let draw = self.random.below(DRAW_END);
        let class = ClassHandle::new(class);
        let request = Request { class, key, write, expires, useful_until, draw, ..Request::default() };
        self.requests.insert(request_id.0, request);
        request_id
    }

    /// Restricts the request to these servers, in this order, instead of the ring's: which server
    /// owns the key is decided elsewhere.
    pub fn restrict_servers(&mut self, request_id: RequestId, servers: Vec<ServerIndex>) {
        self.requests.entry(request_id.0).and_modify(|request| request.allowed_servers = Some(servers));
    }

    /// Applies changed limits to an open request. Later attempts follow the new limits, and the
    /// request's time limit follows if the new one is shorter and can still be met.
    pub fn update_limits(
        &mut self,
        request_id: RequestId,
        class: usize,
        expires: Timestamp,
        effects: &mut dyn Effects,
    ) {
        let now = self.now;
        let class = ClassHandle::new(&self.settings.classes[class]);
        let Some(request) = self.requests.get_mut(&request_id.0).filter(|request| !request.answered) else {
            return;
        };
        request.class = class;
        if now < expires && expires < request.expires {
            request.expires = expires;
            request.useful_until = request.useful_until.min(expires);
            request.time_limit_shortened = true;
            effects.set_timer(request_id.0, expires - now);
        }
    }

    /// The client has disconnected: nothing more is sent for its request.
    pub fn client_disconnected(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        self.close(request_id, effects);
    }

    /// Sends a request to the server or the origin that the decisions select, or rejects it at
    /// once.
    pub fn route_request(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        if !self.is_its_turn(request_id, effects) {
            return;
        }
        let request = &self.requests[&request_id.0];
        let first_attempt = request.attempts.is_empty();
        // Protects the other request classes from one that would take up all capacity.
        if first_attempt && request.class.is_over_max_open() {
            return self.answer_unserved(request_id, effects);
        }
        if request.write && self.settings.origin_kind.is_some() && request.allowed_servers.is_none() {
            return self.send_to_origin(request_id, effects);
        }
        if first_attempt && self.shedding.sheds(Resource::Servers, request.draw) {
            return self.answer_unserved(request_id, effects);
        }
        // Protects the origin behind the servers: when fetches fail or are late, requests for keys
        // that no server is known to hold are rejected.
        if self.will_likely_fetch(request) && self.shedding.sheds(Resource::Origin, request.draw) {
            return self.reject_for_origin(request_id, effects);
        }
        match self.select_server(request) {
            Some(server) => self.start_attempt(request_id, server, effects),
            None => self.answer_unserved(request_id, effects),
        }
    }

    /// Whether the server that gets the request will likely fetch its key from the origin.
    pub(super) fn will_likely_fetch(&self, request: &Request) -> bool {
        self.settings.servers_fetch
            && request.allowed_servers.is_none()
            && (request.write || self.shedding.needs_fetch(request.key))
    }

    /// Whether a request may be sent now. If not, it waits for its turn, or is rejected if its turn
    /// can't come while an answer is still useful.
    fn is_its_turn(&mut self, request_id: RequestId, effects: &mut dyn Effects) -> bool {
        let request = &self.requests[&request_id.0];
        if !request.class.in_order {
            return true;
        }
        let useful_until = request.useful_until;
        let median_latency = self.latencies.quantile(MEDIAN_THOUSANDTHS).unwrap_or(Span::ZERO);
        match self.key_order.enter(request.key, request_id, self.now, median_latency, useful_until) {
            Turn::Now => return true,
            Turn::Never => self.answer_unserved(request_id, effects),
            Turn::Wait => {
                self.requests.entry(request_id.0).and_modify(|request| request.waiting = true);
                effects.set_timer(request_id.0, useful_until - self.now);
            }
        }
        false
    }

    /// Continues with the next request for a key.
    pub(super) fn advance_key(&mut self, key: u64, effects: &mut dyn Effects) {
        match self.key_order.advance(key, self.now) {
            NextStep::Nothing => {}
            NextStep::Later(request_id, after) => effects.set_timer(request_id.0, after),
            NextStep::Start(request_id) => {
                self.requests.entry(request_id.0).and_modify(|request| request.waiting = false);
                self.route_request(request_id, effects);
            }
        }
    }

    /// The request has its final answer: nothing more is sent for it.
    pub(super) fn close(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        let Some(request) = self.requests.get_mut(&request_id.0) else { return };
        if !request.answered && self.settings.cancellation {
            request.pending_attempts().for_each(|attempt| effects.cancel_attempt(request_id, attempt));
        }
        let key = request.key;
        let led_fetch = std::mem::replace(&mut request.leads_fetch, false);
        request.answered = true;
        if !request.is_pending() {
            self.requests.remove(&request_id.0);
            self.key_order.leave(key, request_id);
            self.advance_key(key, effects);
        }
        if led_fetch {
            self.end_fetch(key, false, effects);
        }
    }
}
