//! A slot migrates to another server and back while two requests for it are in flight. In every
//! order of the steps, no command runs twice, none runs at a server that does not hold the key, and
//! both requests end.

use chalkwalk_slot_map::{ClusterView, ErrorMeaning, RequestRoute, SlotMap, classify_error};
use std::collections::HashSet;
use std::net::SocketAddr;

const SERVER_A: usize = 0;
const SERVER_B: usize = 1;

fn addr(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + server as u16))
}

/// The cluster: the servers that consider themselves owners of the slot, and the location of each
/// request's key.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Cluster {
    step: usize,
    key_server: [usize; 2],
    owners: [bool; 2],
    migrating: Option<usize>,
    importing: Option<usize>,
    epoch: [u64; 2],
    runs: [Vec<usize>; 2],
}

/// The steps of both migrations. Each migration takes six: the new owner starts to import the slot,
/// the old owner starts to migrate it, the two keys are copied one after the other, the new owner
/// takes the slot over, and the old owner learns of that.
const MIGRATION_STEPS: usize = 12;

impl Cluster {
    fn migration_step(&mut self) {
        let (old, new) =
            if self.step < MIGRATION_STEPS / 2 { (SERVER_A, SERVER_B) } else { (SERVER_B, SERVER_A) };
        match self.step % (MIGRATION_STEPS / 2) {
            0 => self.importing = Some(new),
            1 => self.migrating = Some(old),
            2 => self.key_server[0] = new,
            3 => self.key_server[1] = new,
            4 => {
                self.owners[new] = true;
                self.importing = None;
                self.epoch[new] = self.epoch[old] + 1;
            }
            _ => {
                self.owners[old] = false;
                self.migrating = None;
            }
        }
        self.step += 1;
    }

    /// A server's reply to a request according to the specification: an error, or `None` if the
    /// command runs.
    fn answer(&mut self, request: usize, server: usize, asking: bool) -> Option<String> {
        let has_key = self.key_server[request] == server;
        let other = addr(1 - server);
        if self.owners[server] {
            if has_key {
                self.runs[request].push(server);
                return None;
            }
            assert!(self.migrating == Some(server), "server {server} owns the slot and has no key");
            return Some(format!("ASK 5 {other}"));
        }
        if self.importing == Some(server) && asking {
            assert!(has_key, "ASKING for a key that has not been copied");
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
    map_refreshed: bool,
}

impl State {
    fn fingerprint(&self) -> String {
        format!("{:?}{:?}{:?}{:?}{:?}", self.cluster, self.map, self.routes, self.done, self.map_refreshed)
    }

    /// Makes one attempt of a request and applies the reply.
    fn start_attempt(&mut self, request: usize) {
        let route = &mut self.routes[request];
        let target = route.candidates(&self.map).first().copied().expect("a server that may serve it");
        let server = usize::from(target.port() - 7000);
        self.attempts[request] += 1;
        match self.cluster.answer(request, server, route.needs_asking(target)) {
            None => self.done[request] = true,
            Some(error) => {
                let meaning = classify_error(&error, target);
                assert!(!matches!(meaning, ErrorMeaning::Final | ErrorMeaning::RetryLater));
                route.on_error(&meaning, &mut self.map);
            }
        }
    }

    /// Applies the view that `server` reports now.
    fn refresh(&mut self, server: usize) {
        let is_owner =
            |index: usize| self.cluster.owners[index] && (index == server || !self.cluster.owners[server]);
        let line = |index: usize| {
            let slots = if is_owner(index) { " 0-16383" } else { "" };
            format!(
                "n{index} {}@1 master - 0 0 {} connected{slots}\n",
                addr(index),
                self.cluster.epoch[index]
            )
        };
        let text = line(SERVER_A) + &line(SERVER_B);
        _ = self.map.apply_view(&ClusterView::parse(&text, addr(server)).expect("a view"));
        self.map_refreshed = true;
    }
}

#[test]
fn every_order_of_a_migration_and_two_requests_runs_each_command_once() {
    let mut map = SlotMap::default();
    let initial_view = "n0 127.0.0.1:7000@1 master - 0 0 1 connected 0-16383\nn1 127.0.0.1:7001@1 master - 0 0 1 connected\n";
    map.apply_view(&ClusterView::parse(initial_view, addr(SERVER_A)).unwrap()).unwrap();
    let cluster = Cluster {
        step: 0,
        key_server: [SERVER_A, SERVER_A],
        owners: [true, false],
        migrating: None,
        importing: None,
        epoch: [1, 1],
        runs: [vec![], vec![]],
    };
    let initial_state = State {
        cluster,
        map,
        routes: [RequestRoute::new(5, false), RequestRoute::new(5, false)],
        done: [false; 2],
        attempts: [0; 2],
        map_refreshed: false,
    };
    let mut unexplored = vec![initial_state];
    let mut visited = HashSet::new();
    let mut end_states = 0;
    let mut max_attempts = 0;
    while let Some(state) = unexplored.pop() {
        if !visited.insert(state.fingerprint()) {
            continue;
        }
        for request in 0..2 {
            assert!(state.cluster.runs[request].len() <= 1, "a command ran twice: {state:?}");
            assert!(state.attempts[request] <= 5, "a redirection loop: {state:?}");
        }
        max_attempts = max_attempts.max(state.attempts[0]).max(state.attempts[1]);
        let mut has_next_step = false;
        if state.cluster.step < MIGRATION_STEPS {
            let mut next = state.clone();
            next.cluster.migration_step();
            unexplored.push(next);
            has_next_step = true;
        }
        for request in (0..2).filter(|request| !state.done[*request]) {
            let mut next = state.clone();
            next.start_attempt(request);
            unexplored.push(next);
            has_next_step = true;
        }
        if !state.map_refreshed {
            for server in [SERVER_A, SERVER_B] {
                let mut next = state.clone();
                next.refresh(server);
                unexplored.push(next);
            }
        }
        end_states += usize::from(!has_next_step);
    }
    assert!(end_states > 10 && visited.len() > 200, "{end_states} end states of {} states", visited.len());
    assert!(max_attempts >= 3, "no request was redirected twice, {max_attempts} attempts at most");
}
