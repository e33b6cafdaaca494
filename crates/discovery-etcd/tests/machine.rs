//! The machine by itself: what it requests, whatever the responses.

use chalkwalk_discovery_etcd::machine::{
    ConnectAttempt, Key, KeyChange, KeyValuePair, Machine, ProtocolError, Step, Transition, Update,
};
use chalkwalk_etcd_wire::api::{Event, KeyValue, RangeResponse, ResponseHeader, WatchResponse};
use chalkwalk_time::Span;
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn header(revision: i64) -> Option<ResponseHeader> {
    Some(ResponseHeader { revision, ..ResponseHeader::default() })
}

fn kv(key: &str, value: &str, revision: i64) -> KeyValue {
    let (key, value) = (key.to_string().into(), value.to_string().into());
    KeyValue { key, value, mod_revision: revision, ..KeyValue::default() }
}

fn event(gone: bool, key: &str, revision: i64) -> Event {
    Event { r#type: i32::from(gone), kv: Some(kv(key, "v", revision)) }
}

fn watched(revision: i64, events: Vec<Event>) -> WatchResponse {
    WatchResponse { header: header(revision), events, ..WatchResponse::default() }
}

fn created(revision: i64) -> WatchResponse {
    WatchResponse { created: true, ..watched(revision, vec![]) }
}

/// What becomes known and what is done next, a line each.
struct Trace {
    machine: Machine,
    text: String,
}

impl Trace {
    fn new() -> Trace {
        Trace { machine: Machine::new("/c/", 3, 7), text: String::new() }
    }

    fn attempt(&mut self, ConnectAttempt { endpoint, delay }: ConnectAttempt) {
        self.text += &format!("connect to {endpoint} after {} ms\n", delay / 10);
    }

    fn step(&mut self, step: Step) {
        let line = match step {
            Step::ReadPage { from, revision } => {
                format!("range from {:?} at {revision}", String::from_utf8_lossy(&from))
            }
            Step::OpenWatch { from } => format!("watch from {from}"),
            Step::AwaitResponse => "listen".into(),
        };
        self.text += &format!("{line}\n");
    }

    fn transition(&mut self, result: Result<Transition, ProtocolError>) {
        match result {
            Ok(transition) => {
                self.update(transition.update);
                self.step(transition.next);
            }
            Err(error) => self.failed(&error.to_string()),
        }
    }

    fn update(&mut self, update: Update) {
        let name = |key: &Key| match key {
            Key::Endpoint(id) => id.clone(),
            Key::Proxy(name) => format!("proxy {name}"),
        };
        match update {
            Update::Nothing => {}
            Update::List(list) => {
                let names: Vec<_> = list.pairs.iter().map(|KeyValuePair { key, .. }| name(key)).collect();
                let of = if list.cluster_changed { " of another cluster" } else { "" };
                self.text += &format!("whole at {}{of}: {}; ", list.revision, names.join(", "));
                self.machine.list_accepted(list.revision);
            }
            Update::Changes(changes) => {
                let change = |KeyChange { revision, key, value }: &KeyChange| {
                    format!("{}{}@{revision}", if value.is_some() { "" } else { "-" }, name(key))
                };
                self.text += &format!("{}; ", changes.iter().map(change).collect::<Vec<_>>().join(" "));
            }
            Update::Progress { revision } => self.text += &format!("reached {revision}; "),
        }
    }

    fn failed(&mut self, error: &str) {
        self.text += &format!("{error}; ");
        let attempt = self.machine.connection_failed(Span::ZERO);
        self.attempt(attempt);
    }

    fn page(&mut self, revision: i64, keys: &[&str], more: bool) {
        let kvs = keys.iter().map(|key| kv(key, "v", 1)).collect();
        let page = RangeResponse { header: header(revision), kvs, more, count: 0 };
        let result = self.machine.page_received(page);
        self.transition(result);
    }

    fn watch(&mut self, response: WatchResponse) {
        let result = self.machine.watch_response(response);
        self.transition(result);
    }

    fn connected(&mut self) {
        let step = self.machine.connected();
        self.step(step);
    }
}

#[test]
fn pages_then_a_watch_which_is_resumed_after_a_break_and_replaced_by_a_list_after_compaction() {
    let mut trace = Trace::new();
    let first = trace.machine.first_attempt();
    trace.attempt(first);
    trace.connected();
    trace.page(9, &["/c/caches/a", "/c/caches/b"], true);
    // A later page at a later revision is still of the first one's.
    trace.page(11, &["/c/proxies/p", "/c/other", "/c/caches/"], false);
    trace.watch(created(12));
    let half = WatchResponse { fragment: true, ..watched(12, vec![event(false, "/c/caches/a", 10)]) };
    trace.watch(half);
    trace.watch(watched(12, vec![event(true, "/c/caches/b", 10), event(true, "/c/proxies/p", 12)]));
    trace.watch(watched(20, vec![]));
    trace.failed("it broke");
    trace.connected();
    trace.watch(created(25));
    trace.watch(watched(25, vec![event(false, "/c/caches/z", 23)]));
    trace.failed("it broke");
    trace.connected();
    trace.watch(WatchResponse { canceled: true, compact_revision: 40, ..watched(50, vec![]) });
    trace.page(50, &["/c/caches/a"], false);
    trace.watch(WatchResponse { canceled: true, cancel_reason: "moved".into(), ..watched(50, vec![]) });
    // Restored from an older state: only its whole list shows which.
    trace.connected();
    trace.watch(created(30));
    trace.page(30, &["/c/caches/a"], false);
    // Restored, and past the revision that is known: another cluster all the same.
    trace.connected();
    trace.watch(WatchResponse {
        header: Some(ResponseHeader { cluster_id: 9, revision: 60, ..ResponseHeader::default() }),
        ..created(60)
    });
    let header = Some(ResponseHeader { cluster_id: 9, revision: 60, ..ResponseHeader::default() });
    let result = trace.machine.page_received(RangeResponse { header, ..RangeResponse::default() });
    trace.transition(result);
    expect![[r#"
        connect to 1 after 0 ms
        range from "/c/" at 0
        range from "/c/caches/b\0" at 9
        whole at 9: a, b, proxy p; watch from 10
        listen
        listen
        a@10 -b@10 -proxy p@12; listen
        reached 20; listen
        it broke; connect to 2 after 444 ms
        watch from 21
        listen
        z@23; listen
        it broke; connect to 0 after 460 ms
        watch from 24
        range from "/c/" at 0
        whole at 50: a; watch from 51
        watch canceled: moved; connect to 1 after 456 ms
        watch from 51
        range from "/c/" at 0
        whole at 30: a; watch from 31
        watch from 31
        range from "/c/" at 0
        whole at 60 of another cluster: ; watch from 61
    "#]]
    .assert_eq(&trace.text);
}

#[test]
fn an_endpoint_that_is_behind_is_given_up_and_delays_grow() {
    let mut trace = Trace::new();
    trace.connected();
    trace.page(9, &["/c/caches/a"], false);
    trace.watch(created(9));
    trace.watch(watched(7, vec![]));
    (0..6).for_each(|_| trace.failed("refused"));
    // Only an endpoint that responds makes delays short again.
    trace.connected();
    trace.watch(created(9));
    trace.failed("it broke");
    expect![[r#"
        range from "/c/" at 0
        whole at 9: a; watch from 10
        listen
        an endpoint behind, at 7 after 9; connect to 2 after 444 ms
        refused; connect to 0 after 460 ms
        refused; connect to 1 after 456 ms
        refused; connect to 2 after 1453 ms
        refused; connect to 0 after 173 ms
        refused; connect to 1 after 25 ms
        refused; connect to 2 after 3480 ms
        watch from 10
        listen
        it broke; connect to 0 after 162 ms
    "#]]
    .assert_eq(&trace.text);
}

/// Five hundred proxies lose their watches at once, and etcd comes back after some time: how many
/// connect within 100 ms.
#[test]
fn watchers_that_lose_etcd_together_do_not_return_at_once() {
    let peak = |away_ms: u64| {
        let mut within = vec![0; 800];
        for seed in 0..500 {
            let mut machine = Machine::new("/c/", 3, 1000 + seed);
            let mut at = 0;
            loop {
                at += machine.connection_failed(Span::ZERO).delay.as_millis();
                within[(at / 100) as usize] += 1;
                if at >= away_ms {
                    break;
                }
            }
        }
        within.iter().copied().max().unwrap_or(0)
    };
    expect!["61 168 168 of 500"].assert_eq(&format!("{} {} {} of 500", peak(0), peak(5_000), peak(30_000)));
}

/// Etcd is away for 20 s. However its endpoints fail, the next attempt that can be answered begins
/// early enough to be answered within the time in which a change must be known: an endpoint answers
/// within a second, and an attempt that hangs is given up after two at most.
#[test]
fn after_an_outage_the_next_attempt_is_in_time() {
    let (limit, response) = (60_000, 10_000);
    for attempt_takes in [0, 10_000, 20_000] {
        for seed in 0..500 {
            let mut machine = Machine::new("/c/", 3, 1000 + seed);
            let (mut at, mut starts) = (0, Vec::new());
            while at < 300_000 {
                starts.push(at);
                let next = machine.connection_failed(Span::from_ticks(attempt_takes));
                at += attempt_takes + next.delay.ticks();
            }
            // Etcd returns just after an attempt began that is doomed by then.
            let longest = starts.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
            assert!(
                longest + response <= limit,
                "seed {seed}, attempts take {attempt_takes}: {longest} from one attempt to the next"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever an endpoint responds, there is a next step, and what is known never goes back
    /// without a whole list.
    #[test]
    fn any_responses_lead_on(
        responses in proptest::collection::vec((0u8..8, -3i64..40, any::<bool>()), 0..60),
    ) {
        let mut machine = Machine::new("/c/", 2, 1);
        let mut step = machine.connected();
        let mut known = 0;
        for (kind, revision, flag) in responses {
            let result = match (&step, kind) {
                (Step::ReadPage { .. }, _) => {
                    let kvs = if flag { vec![kv("/c/caches/a", "v", revision)] } else { vec![] };
                    let more = kind == 0;
                    machine.page_received(RangeResponse { header: header(revision), kvs, more, count: 1 })
                }
                (_, 0) => machine.watch_response(created(revision)),
                (_, 1) => machine.watch_response(WatchResponse {
                    canceled: true,
                    compact_revision: revision,
                    ..watched(3, vec![])
                }),
                (_, 2) => machine.watch_response(WatchResponse {
                    header: None,
                    events: vec![Event::default()],
                    ..WatchResponse::default()
                }),
                (_, n) => {
                    let events = vec![event(n == 4, "/c/caches/a", revision)];
                    machine.watch_response(WatchResponse { fragment: flag, ..watched(revision, events) })
                }
            };
            step = match result {
                Ok(Transition { update, next }) => {
                    if let Update::List(list) = update {
                        machine.list_accepted(list.revision);
                        known = list.revision;
                    }
                    if let Step::OpenWatch { from } = next {
                        prop_assert!(from as u64 > known || known == 0);
                    }
                    next
                }
                Err(_) => {
                    let next = machine.connection_failed(Span::ZERO);
                    prop_assert!(next.endpoint < 2, "{:?}", next);
                    machine.connected()
                }
            };
        }
    }
}
