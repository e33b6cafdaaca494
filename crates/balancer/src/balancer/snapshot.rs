//! The whole state of a balancer in the order in which captures store it, which never changes.

use super::Balancer;
use crate::connections::ConnectionLimits;
use crate::load_shedding::LoadShedding;
use crate::request::Request;
use crate::request_class::ClassHandle;
use crate::settings::Settings;
use crate::snapshot::{MOST_ITEMS, Reader, Snapshot, Stored};
use chalkwalk_time::Timestamp;
use std::collections::{BTreeMap, HashSet};

/// Stores a request, and its class by number.
fn store_request(request: &Request, class: usize, to: &mut Snapshot) {
    class.store(to);
    (request.key, request.write).store(to);
    request.allowed_servers.store(to);
    [request.expires, request.useful_until].store(to);
    request.draw.store(to);
    request.attempts.store(to);
    let Request { shortened, answered, streaming, waiting, leads_fetch, .. } = *request;
    [shortened, answered, streaming, waiting, leads_fetch].store(to);
}

fn load_request(settings: &Settings, from: &mut Reader) -> Option<Request> {
    let class = ClassHandle::new(settings.classes.get(usize::load(from)?)?);
    let (key, write) = Stored::load(from)?;
    let allowed_servers = Stored::load(from)?;
    let [expires, useful_until] = Stored::load(from)?;
    let draw = Stored::load(from)?;
    let attempts = Stored::load(from)?;
    let [shortened, answered, streaming, waiting, leads_fetch] = Stored::load(from)?;
    Some(Request {
        class,
        key,
        write,
        allowed_servers,
        expires,
        useful_until,
        draw,
        attempts,
        shortened,
        answered,
        streaming,
        waiting,
        leads_fetch,
    })
}

impl Balancer {
    /// All that it knows. Nothing while a request still has limits that new settings have replaced: soon after there is.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let mut to = Snapshot::default();
        self.now.store(&mut to);
        self.settings.proxies.store(&mut to);
        self.shedding.shared_ring_share().store(&mut to);
        self.accepted.store(&mut to);
        self.shedding.accepted_recently().store(&mut to);
        self.salt.store(&mut to);
        self.decayed_until.store(&mut to);
        self.connections.refused_share().store(&mut to);
        self.discovery.store(&mut to);
        self.origin.store(&mut to);
        self.random.store(&mut to);
        self.servers.store(&mut to);
        self.shedding.admission_ratios().store(&mut to);
        self.connections.limits().store(&mut to);
        self.latencies.store(&mut to);
        self.fetches.store(&mut to);
        self.key_order.store(&mut to);
        self.disabled.clone().into_iter().collect::<Vec<(String, Timestamp)>>().store(&mut to);
        self.shedding.resolved_keys().store(&mut to);
        self.settings.classes.iter().for_each(|class| class.retry_budget.counters().store(&mut to));
        self.store_requests(&mut to)?;
        Some(to)
    }

    fn store_requests(&self, to: &mut Snapshot) -> Option<()> {
        self.requests.len().store(to);
        let ordered: BTreeMap<&u64, &Request> = self.requests.iter().collect();
        for (request_id, request) in ordered {
            request_id.store(to);
            let class = self.settings.classes.iter().position(|class| request.class.is_of(class))?;
            store_request(request, class, to);
        }
        Some(())
    }

    /// A balancer with these settings which knows all that another knew; nothing where the snapshot is not of such a balancer.
    pub fn from_snapshot(values: &BTreeMap<String, String>, snapshot: &Snapshot) -> Option<Balancer> {
        let from = &mut Reader::new(snapshot);
        let mut balancer = Balancer { settings: Settings::read(values), ..Balancer::default() };
        balancer.now = Stored::load(from)?;
        balancer.settings.proxies = Stored::load(from)?;
        let shared_ring_share = Stored::load(from)?;
        balancer.accepted = Stored::load(from)?;
        let accepted_recently = Stored::load(from)?;
        balancer.salt = Stored::load(from)?;
        balancer.decayed_until = Stored::load(from)?;
        let refused_share = Stored::load(from)?;
        balancer.discovery = Stored::load(from)?;
        balancer.origin = Stored::load(from)?;
        balancer.random = Stored::load(from)?;
        balancer.servers = Stored::load(from)?;
        let admission_ratios = Stored::load(from)?;
        balancer.connections = ConnectionLimits::restored(refused_share, Stored::load(from)?);
        balancer.latencies = Stored::load(from)?;
        balancer.fetches = Stored::load(from)?;
        balancer.key_order = Stored::load(from)?;
        balancer.disabled = Vec::<(String, Timestamp)>::load(from)?.into_iter().collect();
        let resolved_keys = <[HashSet<u64>; 2]>::load(from)?;
        balancer.shedding =
            LoadShedding::restored(shared_ring_share, accepted_recently, admission_ratios, resolved_keys);
        for class in &balancer.settings.classes {
            class.retry_budget.restore(Stored::load(from)?);
        }
        balancer.load_requests(from)?;
        if !from.is_at_end() || !balancer.names_known_servers() {
            return None;
        }
        balancer.rebuild_ring();
        Some(balancer)
    }

    fn load_requests(&mut self, from: &mut Reader) -> Option<()> {
        for _ in 0..u64::load(from).filter(|count| *count <= MOST_ITEMS)? {
            let request_id = Stored::load(from)?;
            let request = load_request(&self.settings, from)?;
            self.requests.insert(request_id, request);
        }
        Some(())
    }

    /// Whether every attempt, and the origin, is at a server that it knows.
    fn names_known_servers(&self) -> bool {
        let known = self.servers.len();
        let mut attempts = self.requests.values().flat_map(|request| &request.attempts);
        attempts.all(|attempt| attempt.server < known) && self.origin.is_none_or(|origin| origin < known)
    }
}
