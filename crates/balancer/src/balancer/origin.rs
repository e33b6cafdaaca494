//! Decides what is sent to the origin: misses and writes, with one fetch per key at a time, within
//! the origin's concurrency limit. Protects an overloaded origin: a request that it can't answer in
//! time is rejected at once.

use super::Balancer;
use crate::effects::Effects;
use crate::load_shedding::Resource;
use crate::types::RequestId;

impl Balancer {
    /// Sends a request to the origin, or makes it wait for the fetch of its key that is already in
    /// flight.
    pub(super) fn send_to_origin(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        let request = &self.requests[&request_id.0];
        let time_left = request.useful_until.saturating_since(self.now);
        let origin = self.origin.filter(|o| self.is_available(*o) && self.may_attempt(request, *o));
        let Some(origin) = origin else {
            return self.answer_unserved(request_id, effects);
        };
        if !request.write && self.fetches.join(request.key, request_id) {
            self.requests.entry(request_id.0).and_modify(|request| request.waiting = true);
            return effects.set_timer(request_id.0, time_left);
        }
        let server = &self.servers[origin];
        if !server.concurrency.admits(server.liveness.in_flight(), request.draw)
            || server.recent_latency.exceeds(time_left)
            || self.shedding.sheds(Resource::Origin, request.draw)
        {
            return self.reject_for_origin(request_id, effects);
        }
        if !request.write {
            self.fetches.begin(request.key);
            self.requests.entry(request_id.0).and_modify(|request| request.leads_fetch = true);
        }
        self.start_attempt(request_id, origin, effects);
    }

    /// Rejects a request because the origin lacks capacity.
    pub(super) fn reject_for_origin(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        self.shedding.record_origin_rejection();
        self.answer_unserved(request_id, effects);
    }

    /// A fetch has ended. The requests that waited for it continue: if the value was stored, to the
    /// server that now holds the key, else to the origin, where one of them starts a new fetch.
    pub(super) fn end_fetch(&mut self, key: u64, stored: bool, effects: &mut dyn Effects) {
        for request_id in self.fetches.end(key) {
            match self.requests.get(&request_id.0) {
                Some(request) if request.waiting && stored => self.route_request(request_id, effects),
                Some(request) if request.waiting => self.send_to_origin(request_id, effects),
                _ => {}
            }
        }
    }
}
