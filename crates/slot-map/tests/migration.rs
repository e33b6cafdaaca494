//! A slot migrates and migrates back while two requests for it are under way, in every order of the
//! steps: no command runs twice, none runs at a server that does not hold the key, and both
//! requests end.

use chalkwalk_slot_map::{ClusterView, ErrorMeaning, RequestRoute, SlotMap, classify_error};
use std::collections::HashSet;
use std::net::SocketAddr;

const A: usize = 0;
const B: usize = 1;

fn addr(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + server as u16))
}

/// The cluster: which servers believe that they own the slot, and where each request's key is.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Cluster {
    step: usize,
    key_at: [usize; 2],
    owner: [bool; 2],
    migrating: Option<usize>,
    importing: Option<usize>,
    epoch: [u64; 2],
    runs: [Vec<usize>; 2],
}

/// The new owner prepares, then the old one; each key is copied; the new owner takes the slot, the
/// old one learns it; and back.
const STEPS: usize = 12;

impl Cluster {
    fn migrate(&mut self) {
        let (old, new) = if self.step < STEPS / 2 { (A, B) } else { (B, A) };
        match self.step % (STEPS / 2) {
            0 => self.importing = Some(new),
            1 => self.migrating = Some(old),
            2 => self.key_at[0] = new,
            3 => self.key_at[1] = new,
            4 => {
                self.owner[new] = true;
                self.importing = None;
                self.epoch[new] = self.epoch[old] + 1;
            }
            _ => {
                self.owner[old] = false;
                self.migrating = None;
            }
        }
        self.step += 1;
    }

    /// How a server answers a request, by the specification: an error, or none where the command
    /// runs.
    fn answer(&mut self, request: usize, server: usize, asking: bool) -> Option<String> {
        let here = self.key_at[request] == server;
        let other = addr(1 - server);
        if self.owner[server] {
            if here {
                self.runs[request].push(server);
                return None;
            }
            assert!(self.migrating == Some(server), "server {server} owns the slot and has no key");
            return Some(format!("ASK 5 {other}"));
        }
        if self.importing == Some(server) && asking {
            assert!(here, "ASKING for a key that has not been copied");
            self.runs[request].push(server);
            return None;
        }
        Some(format!("MOVED 5 {other}"))
    }
}

#[derive(Clone, Debug)]
struct State {
    cluster: Cluster,
    map: SlotMap,
    routes: [RequestRoute; 2],
    done: [bool; 2],
    attempts: [u32; 2],
    refreshed: bool,
}

impl State {
    fn key(&self) -> String {
        format!("{:?}{:?}{:?}{:?}{:?}", self.cluster, self.map, self.routes, self.done, self.refreshed)
    }

    /// One attempt of a request and its answer.
    fn start_attempt(&mut self, request: usize) {
        let route = &mut self.routes[request];
        let to = route.candidates(&self.map).first().copied().expect("a server that may serve it");
        let server = usize::from(to.port() - 7000);
        self.attempts[request] += 1;
        match self.cluster.answer(request, server, route.needs_asking(to)) {
            None => self.done[request] = true,
            Some(error) => {
                let means = classify_error(&error, to);
                assert!(!matches!(means, ErrorMeaning::Final | ErrorMeaning::RetryLater));
                route.on_error(&means, &mut self.map);
            }
        }
    }

    /// Applies the view that one of the servers reports now.
    fn refresh(&mut self, server: usize) {
        let owner = |s: usize| self.cluster.owner[s] && (s == server || !self.cluster.owner[server]);
        let line = |s: usize| {
            let slots = if owner(s) { " 0-16383" } else { "" };
            format!("n{s} {}@1 master - 0 0 {} connected{slots}\n", addr(s), self.cluster.epoch[s])
        };
        let text = line(A) + &line(B);
        _ = self.map.apply_view(&ClusterView::parse(&text, addr(server)).expect("a view"));
        self.refreshed = true;
    }
}

#[test]
fn every_order_of_a_migration_and_two_requests_runs_each_command_once() {
    let mut map = SlotMap::default();
    let first = "n0 127.0.0.1:7000@1 master - 0 0 1 connected 0-16383\nn1 127.0.0.1:7001@1 master - 0 0 1 connected\n";
    map.apply_view(&ClusterView::parse(first, addr(A)).unwrap()).unwrap();
    let cluster = Cluster {
        step: 0,
        key_at: [A, A],
        owner: [true, false],
        migrating: None,
        importing: None,
        epoch: [1, 1],
        runs: [vec![], vec![]],
    };
    let start = State {
        cluster,
        map,
        routes: [RequestRoute::new(5, false), RequestRoute::new(5, false)],
        done: [false; 2],
        attempts: [0; 2],
        refreshed: false,
    };
    let mut open = vec![start];
    let mut seen = HashSet::new();
    let mut ends = 0;
    let mut most = 0;
    while let Some(state) = open.pop() {
        if !seen.insert(state.key()) {
            continue;
        }
        for request in 0..2 {
            assert!(state.cluster.runs[request].len() <= 1, "a command ran twice: {state:?}");
            assert!(state.attempts[request] <= 5, "a redirection loop: {state:?}");
        }
        most = most.max(state.attempts[0]).max(state.attempts[1]);
        let mut progressed = false;
        if state.cluster.step < STEPS {
            let mut next = state.clone();
            next.cluster.migrate();
            open.push(next);
            progressed = true;
        }
        for request in (0..2).filter(|request| !state.done[*request]) {
            let mut next = state.clone();
            next.start_attempt(request);
            open.push(next);
            progressed = true;
        }
        if !state.refreshed {
            for server in [A, B] {
                let mut next = state.clone();
                next.refresh(server);
                open.push(next);
            }
        }
        ends += usize::from(!progressed);
    }
    assert!(ends > 10 && seen.len() > 200, "{ends} ends of {} states", seen.len());
    assert!(most >= 3, "no request was redirected twice, {most} attempts at most");
}
