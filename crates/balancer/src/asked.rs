//! Ways into a balancer that decide nothing: what callers ask of it, and calls that only pass on.

use crate::balancer::Balancer;
use crate::plain::{
    ClassHandle, Effects, EndpointStatus, LearnedServer, Request, RequestId, Server, ServerIndex, Settings,
    mixed, point,
};
use chalkwalk_time::Timestamp;
use std::collections::BTreeMap;

impl Balancer {
    /// Other limits hold from now on, and budgets go on counting. What is open keeps the rules that it has,
    /// until `renewed` tells it others. Zones, kinds and the origin are the same.
    pub fn apply_settings(&mut self, values: &BTreeMap<String, String>) {
        let settings = Settings { proxies: self.settings.proxies, ..Settings::read(values) };
        let before = std::mem::replace(&mut self.settings, settings);
        let pairs = self.settings.classes.iter().zip(&before.classes);
        pairs.for_each(|(class, before)| class.purse.continue_from(&before.purse));
    }

    /// Classes of requests; `take` and `renewed` name one by its number.
    pub fn class_count(&self) -> usize {
        self.settings.classes.len()
    }

    /// Operators take a server out at that moment, whatever any list says, or put it back. It is restarted in
    /// between: back, it is as cold as one that started then, and what was held against it is void.
    pub fn set_disabled(&mut self, id: &str, out: bool, at: Timestamp) {
        _ = if out { Some(*self.barred.entry(id.into()).or_insert(at)) } else { self.barred.remove(id) };
        for server in (0..self.servers.len()).filter(|_| !out) {
            if self.servers[server].id == id {
                self.started(server, at);
            }
        }
        self.rings();
    }

    /// What the figures of `learned` rest on: target times, the own zone, what weights say. LearnedServer under others they mean
    /// something else.
    pub fn learning_terms(&self) -> u64 {
        let targets = self.settings.classes.iter().map(|class| class.target.ticks());
        let shape = [self.settings.zone as u64, u64::from(self.settings.sizes)];
        targets.chain(shape).fold(0, |seen, n| mixed(seen.rotate_left(7) ^ mixed(n + 1)))
    }

    /// What was learned of the servers in service, of those where it differs from what holds at first.
    pub fn learned(&self) -> Vec<LearnedServer> {
        let told = |c: &&Server| c.status == EndpointStatus::Ready && (c.part, c.room) != (1000, 800);
        let of = |c: &Server| LearnedServer {
            id: c.id.clone(),
            born: c.born,
            size: c.size,
            key_share: c.part,
            concurrency_limit: c.room,
        };
        self.servers.iter().filter(told).map(of).collect()
    }

    /// What a process before this one has learned on the same terms: taken up once the list names a server that has not
    /// started since. Connections, silences, doubts, times, and all that is learned of the origin start afresh.
    pub fn restore_learned(&mut self, learned: Vec<LearnedServer>) {
        self.carried = learned.into_iter().map(|l| (l.id.clone(), l)).collect();
        (0..self.servers.len()).for_each(|server| self.recall(server));
    }

    pub(crate) fn recall(&mut self, server: ServerIndex) {
        let c = &mut self.servers[server];
        if let Some(l) = self.carried.remove(&c.id).filter(|l| l.born == c.born) {
            // Within what could have been learned, whatever is said.
            (c.part, c.room) = (l.key_share.clamp(30, 1000), l.concurrency_limit.clamp(10, 10_000));
            c.size = if self.settings.sizes { c.size } else { c.size.max(l.size.min(1_000_000)) };
        }
    }

    /// Whether operators have a server out.
    pub fn is_disabled(&self, server: ServerIndex) -> bool {
        self.servers.get(server).is_some_and(|c| self.barred.contains_key(&c.id))
    }

    /// Whether operators may mean this server: it is listed, or was taken out. The origin is none.
    pub fn knows_server(&self, id: &str) -> bool {
        let listed = |i: usize| Some(i) != self.origin && self.servers[i].status != EndpointStatus::Gone;
        self.barred.contains_key(id) || (0..self.servers.len()).any(|i| self.servers[i].id == id && listed(i))
    }

    /// Whether no server of any zone is to be asked by what was told: none is listed as in service, or operators took all out.
    pub fn no_server_ready(&self) -> bool {
        self.rings[2].is_empty()
    }

    /// Whether nothing will name this server any more, so that its place may be another's.
    pub fn index_is_free(&self, server: ServerIndex) -> bool {
        let c = &self.servers[server];
        let named = |l: &Request| l.attempts.iter().any(|s| s.server == server);
        c.status == EndpointStatus::Gone && c.calls == 0 && !self.requests.values().any(named)
    }

    /// Requests that are not done with yet.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// So many proxies send to the servers, this one included, where that can be counted.
    pub fn set_proxy_count(&mut self, proxies: u64) {
        self.settings.proxies = proxies.max(1);
    }

    /// Takes a request. It must be answered once, before `expires`; route it next.
    pub fn accept_request(&mut self, class: usize, key: &str, write: bool, expires: Timestamp) -> RequestId {
        self.accept_request_at(class, point(key, 0), write, expires)
    }
}

impl Balancer {
    /// Limits have changed while it is open: what is sent from now on goes by the new ones, and so does its
    /// time limit where that is shorter and can still be kept.
    pub fn renew_limits(
        &mut self,
        request_id: RequestId,
        class: usize,
        expires: Timestamp,
        effects: &mut dyn Effects,
    ) {
        let (now, rules) = (self.now, ClassHandle::of(&self.settings.classes[class]));
        let Some(l) = self.requests.get_mut(&request_id.0).filter(|l| !l.over) else { return };
        l.rules = rules;
        if now < expires && expires < l.expires {
            (l.expires, l.useful_until, l.cut) = (expires, l.useful_until.min(expires), true);
            effects.set_timer(request_id.0, expires - now);
        }
    }

    pub fn route_request(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        self.place(request_id, effects);
    }

    /// Only these servers may serve it, and their order is the ring's: who holds its key is settled elsewhere.
    pub fn restrict_to(&mut self, request_id: RequestId, servers: Vec<ServerIndex>) {
        self.requests.entry(request_id.0).and_modify(|l| l.order = Some(servers));
    }

    pub fn client_left(&mut self, request_id: RequestId, effects: &mut dyn Effects) {
        self.close(request_id, effects);
    }

    /// Whether the self still knows this request; when it does not, nothing more will come of it.
    pub fn knows_request(&self, request_id: RequestId) -> bool {
        self.requests.contains_key(&request_id.0)
    }
}
