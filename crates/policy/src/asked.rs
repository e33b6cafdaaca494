//! Ways into a router that decide nothing: what callers ask of it, and calls that only pass on.

use crate::plain::{
    Carrier, ClassHandle, EndpointStatus, Learned, Request, RequestId, Server, ServerIndex, Settings, Tenths,
    mixed, point,
};
use crate::policy::Router;
use std::collections::BTreeMap;

impl Router {
    /// Other limits hold from now on, and budgets go on counting. What is open keeps the rules that it has,
    /// until `renewed` tells it others. Zones, kinds and the origin are the same.
    pub fn limits(&mut self, values: &BTreeMap<String, String>) {
        let settings = Settings { proxies: self.settings.proxies, ..Settings::read(values) };
        let before = std::mem::replace(&mut self.settings, settings);
        let pairs = self.settings.classes.iter().zip(&before.classes);
        pairs.for_each(|(class, before)| class.purse.count_from(&before.purse));
    }

    /// Classes of requests; `take` and `renewed` name one by its number.
    pub fn classes(&self) -> usize {
        self.settings.classes.len()
    }

    /// Operators take a server out at that moment, whatever any list says, or put it back. It is restarted in
    /// between: back, it is as cold as one that started then, and what was held against it is void.
    pub fn bar(&mut self, id: &str, out: bool, at: Tenths) {
        _ = if out { Some(*self.barred.entry(id.into()).or_insert(at)) } else { self.barred.remove(id) };
        for server in (0..self.servers.len()).filter(|_| !out) {
            if self.servers[server].id == id {
                self.started(server, at);
            }
        }
        self.rings();
    }

    /// What the figures of `learned` rest on: target times, the own zone, what weights say. Learned under others they mean
    /// something else.
    pub fn terms(&self) -> u64 {
        let targets = self.settings.classes.iter().map(|class| class.target);
        let shape = [self.settings.zone as u64, u64::from(self.settings.sizes)];
        targets.chain(shape).fold(0, |seen, n| mixed(seen.rotate_left(7) ^ mixed(n + 1)))
    }

    /// What was learned of the servers in service, of those where it differs from what holds at first.
    pub fn learned(&self) -> Vec<Learned> {
        let told = |c: &&Server| c.status == EndpointStatus::Ready && (c.part, c.room) != (1000, 800);
        let of =
            |c: &Server| Learned { id: c.id.clone(), born: c.born, size: c.size, part: c.part, room: c.room };
        self.servers.iter().filter(told).map(of).collect()
    }

    /// What a process before this one has learned on the same terms: taken up once the list names a server that has not
    /// started since. Connections, silences, doubts, times, and all that is learned of the origin start afresh.
    pub fn carry(&mut self, learned: Vec<Learned>) {
        self.carried = learned.into_iter().map(|l| (l.id.clone(), l)).collect();
        (0..self.servers.len()).for_each(|server| self.recall(server));
    }

    pub(crate) fn recall(&mut self, server: ServerIndex) {
        let c = &mut self.servers[server];
        if let Some(l) = self.carried.remove(&c.id).filter(|l| l.born == c.born) {
            // Within what could have been learned, whatever is said.
            (c.part, c.room) = (l.part.clamp(30, 1000), l.room.clamp(10, 10_000));
            c.size = if self.settings.sizes { c.size } else { c.size.max(l.size.min(1_000_000)) };
        }
    }

    /// Whether operators have a server out.
    pub fn is_barred(&self, server: ServerIndex) -> bool {
        self.servers.get(server).is_some_and(|c| self.barred.contains_key(&c.id))
    }

    /// Whether operators may mean this server: it is listed, or was taken out. The origin is none.
    pub fn has(&self, id: &str) -> bool {
        let listed = |i: usize| Some(i) != self.origin && self.servers[i].status != EndpointStatus::Gone;
        self.barred.contains_key(id) || (0..self.servers.len()).any(|i| self.servers[i].id == id && listed(i))
    }

    /// Whether no server of any zone is to be asked by what was told: none is listed as in service, or operators took all out.
    pub fn none_ready(&self) -> bool {
        self.rings[2].is_empty()
    }

    /// Whether nothing will name this server any more, so that its place may be another's.
    pub fn done_with(&self, server: ServerIndex) -> bool {
        let c = &self.servers[server];
        let named = |l: &Request| l.attempts.iter().any(|s| s.server == server);
        c.status == EndpointStatus::Gone && c.calls == 0 && !self.requests.values().any(named)
    }

    /// Requests that are not done with yet.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// So many proxies send to the servers, this one included, where that can be counted.
    pub fn shared_by(&mut self, proxies: u64) {
        self.settings.proxies = proxies.max(1);
    }

    /// Takes a request. It must be answered once, before `expires`; route it next.
    pub fn take(&mut self, class: usize, key: &str, write: bool, expires: Tenths) -> RequestId {
        self.take_at(class, point(key, 0), write, expires)
    }
}

impl RequestId {
    /// Limits have changed while it is open: what is sent from now on goes by the new ones, and so does its
    /// time limit where that is shorter and can still be kept.
    pub fn renewed(self, router: &mut Router, class: usize, expires: Tenths, out: &mut dyn Carrier) {
        let (now, rules) = (router.now, ClassHandle::of(&router.settings.classes[class]));
        let Some(l) = router.requests.get_mut(&self.0).filter(|l| !l.over) else { return };
        l.rules = rules;
        if now < expires && expires < l.expires {
            (l.expires, l.useful_until, l.cut) = (expires, l.useful_until.min(expires), true);
            out.wake(self.0, expires - now);
        }
    }

    pub fn route(self, router: &mut Router, out: &mut dyn Carrier) {
        router.place(self, out);
    }

    /// Only these servers may serve it, and their order is the ring's: who holds its key is settled elsewhere.
    pub fn ordered(self, router: &mut Router, servers: Vec<ServerIndex>) {
        router.requests.entry(self.0).and_modify(|l| l.order = Some(servers));
    }

    pub fn client_left(self, router: &mut Router, out: &mut dyn Carrier) {
        router.close(self, out);
    }

    /// Whether the router still knows this request; when it does not, nothing more will come of it.
    pub fn known(self, router: &Router) -> bool {
        router.requests.contains_key(&self.0)
    }
}
