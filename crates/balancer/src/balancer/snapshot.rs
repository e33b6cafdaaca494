//! The whole state of a balancer, in the order in which captures store it. This order never
//! changes.

use super::Balancer;
use crate::connections::ConnectionLimits;
use crate::load_shedding::LoadShedding;
use crate::request::Request;
use crate::request_class::ClassHandle;
use crate::settings::Settings;
use crate::snapshot::{MAX_ITEMS, Reader, Snapshot, Stored};
use chalkwalk_time::Timestamp;
use std::collections::{BTreeMap, HashSet};

/// Stores a request, with its class as an index.
fn store_request(request: &Request, class: usize, snapshot: &mut Snapshot) {
    class.store(snapshot);
    (request.key, request.write).store(snapshot);
    request.allowed_servers.store(snapshot);
    [request.expires, request.useful_until].store(snapshot);
    request.draw.store(snapshot);
    request.attempts.store(snapshot);
    let Request { time_limit_shortened, answered, streaming, waiting, leads_fetch, .. } = *request;
    [time_limit_shortened, answered, streaming, waiting, leads_fetch].store(snapshot);
}

fn load_request(settings: &Settings, reader: &mut Reader) -> Option<Request> {
    let class = ClassHandle::new(settings.classes.get(usize::load(reader)?)?);
    let (key, write) = Stored::load(reader)?;
    let allowed_servers = Stored::load(reader)?;
    let [expires, useful_until] = Stored::load(reader)?;
    let draw = Stored::load(reader)?;
    let attempts = Stored::load(reader)?;
    let [time_limit_shortened, answered, streaming, waiting, leads_fetch] = Stored::load(reader)?;
    Some(Request {
        class,
        key,
        write,
        allowed_servers,
        expires,
        useful_until,
        draw,
        attempts,
        time_limit_shortened,
        answered,
        streaming,
        waiting,
        leads_fetch,
    })
}

impl Balancer {
    /// The whole state of the balancer. Returns `None` while an open request still has limits that
    /// new settings have replaced.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let mut snapshot = Snapshot::default();
        self.now.store(&mut snapshot);
        self.settings.proxies.store(&mut snapshot);
        self.shedding.shared_ring_share().store(&mut snapshot);
        self.accepted_count.store(&mut snapshot);
        self.shedding.accepted_recently().store(&mut snapshot);
        self.salt.store(&mut snapshot);
        self.decayed_until.store(&mut snapshot);
        self.connections.refused_share().store(&mut snapshot);
        self.discovery.store(&mut snapshot);
        self.origin.store(&mut snapshot);
        self.random.store(&mut snapshot);
        self.servers.store(&mut snapshot);
        self.shedding.admission_ratios().store(&mut snapshot);
        self.connections.limits().store(&mut snapshot);
        self.latencies.store(&mut snapshot);
        self.fetches.store(&mut snapshot);
        self.key_order.store(&mut snapshot);
        self.disabled.clone().into_iter().collect::<Vec<(String, Timestamp)>>().store(&mut snapshot);
        self.shedding.resolved_keys().store(&mut snapshot);
        self.settings.classes.iter().for_each(|class| class.retry_budget.counters().store(&mut snapshot));
        self.store_requests(&mut snapshot)?;
        Some(snapshot)
    }

    fn store_requests(&self, snapshot: &mut Snapshot) -> Option<()> {
        self.requests.len().store(snapshot);
        let ordered: BTreeMap<&u64, &Request> = self.requests.iter().collect();
        for (request_id, request) in ordered {
            request_id.store(snapshot);
            let class = self.settings.classes.iter().position(|class| request.class.is_of(class))?;
            store_request(request, class, snapshot);
        }
        Some(())
    }

    /// Creates a balancer with these settings and the state of a snapshot. Returns `None` if the
    /// snapshot does not fit the settings.
    pub fn from_snapshot(values: &BTreeMap<String, String>, snapshot: &Snapshot) -> Option<Balancer> {
        let reader = &mut Reader::new(snapshot);
        let mut balancer = Balancer { settings: Settings::read(values), ..Balancer::default() };
        balancer.now = Stored::load(reader)?;
        balancer.settings.proxies = Stored::load(reader)?;
        let shared_ring_share = Stored::load(reader)?;
        balancer.accepted_count = Stored::load(reader)?;
        let accepted_recently = Stored::load(reader)?;
        balancer.salt = Stored::load(reader)?;
        balancer.decayed_until = Stored::load(reader)?;
        let refused_share = Stored::load(reader)?;
        balancer.discovery = Stored::load(reader)?;
        balancer.origin = Stored::load(reader)?;
        balancer.random = Stored::load(reader)?;
        balancer.servers = Stored::load(reader)?;
        let admission_ratios = Stored::load(reader)?;
        balancer.connections = ConnectionLimits::restored(refused_share, Stored::load(reader)?);
        balancer.latencies = Stored::load(reader)?;
        balancer.fetches = Stored::load(reader)?;
        balancer.key_order = Stored::load(reader)?;
        balancer.disabled = Vec::<(String, Timestamp)>::load(reader)?.into_iter().collect();
        let resolved_keys = <[HashSet<u64>; 2]>::load(reader)?;
        balancer.shedding =
            LoadShedding::restored(shared_ring_share, accepted_recently, admission_ratios, resolved_keys);
        for class in &balancer.settings.classes {
            class.retry_budget.restore(Stored::load(reader)?);
        }
        balancer.load_requests(reader)?;
        if !reader.is_at_end() || !balancer.references_known_servers() {
            return None;
        }
        balancer.rebuild_ring();
        Some(balancer)
    }

    fn load_requests(&mut self, reader: &mut Reader) -> Option<()> {
        for _ in 0..u64::load(reader).filter(|count| *count <= MAX_ITEMS)? {
            let request_id = Stored::load(reader)?;
            let request = load_request(&self.settings, reader)?;
            self.requests.insert(request_id, request);
        }
        Some(())
    }

    /// Whether every attempt, and the origin, refers to a known server.
    fn references_known_servers(&self) -> bool {
        let server_count = self.servers.len();
        let mut attempts = self.requests.values().flat_map(|request| &request.attempts);
        attempts.all(|attempt| attempt.server < server_count)
            && self.origin.is_none_or(|origin| origin < server_count)
    }
}
