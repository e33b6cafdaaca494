//! The state machine alone: which requests and connection attempts follow from which responses.

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

fn event(deleted: bool, key: &str, revision: i64) -> Event {
    Event { r#type: i32::from(deleted), kv: Some(kv(key, "v", revision)) }
}

fn watch_response(revision: i64, events: Vec<Event>) -> WatchResponse {
    WatchResponse { header: header(revision), events, ..WatchResponse::default() }
}

fn watch_created(revision: i64) -> WatchResponse {
    WatchResponse { created: true, ..watch_response(revision, vec![]) }
}

/// Records the updates and the next steps of a machine, a line for each response.
struct Trace {
    machine: Machine,
    text: String,
}

impl Trace {
    fn new() -> Trace {
        Trace { machine: Machine::new("/c/", 3, 7), text: String::new() }
    }

    fn attempt(&mut self, ConnectAttempt { endpoint_index, delay }: ConnectAttempt) {
        self.text += &format!("connect to {endpoint_index} after {} ms\n", delay / 10);
    }

    fn step(&mut self, step: Step) {
        let line = match step {
            Step::ReadPage { start_key, revision } => {
                format!("range from {:?} at {revision}", String::from_utf8_lossy(&start_key))
            }
            Step::OpenWatch { start_revision } => format!("watch from {start_revision}"),
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
            Err(error) => self.fail(&error.to_string()),
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
                let suffix = if list.cluster_changed { " of another cluster" } else { "" };
                self.text += &format!("whole list at {}{suffix}: {}; ", list.revision, names.join(", "));
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

    fn fail(&mut self, error: &str) {
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
fn the_watch_is_resumed_after_a_lost_connection_and_replaced_by_a_list_after_compaction() {
    let mut trace = Trace::new();
    let first = trace.machine.first_attempt();
    trace.attempt(first);
    trace.connected();
    trace.page(9, &["/c/caches/a", "/c/caches/b"], true);
    // All pages count as read at the revision of the first page.
    trace.page(11, &["/c/proxies/p", "/c/other", "/c/caches/"], false);
    trace.watch(watch_created(12));
    let first_fragment =
        WatchResponse { fragment: true, ..watch_response(12, vec![event(false, "/c/caches/a", 10)]) };
    trace.watch(first_fragment);
    trace.watch(watch_response(12, vec![event(true, "/c/caches/b", 10), event(true, "/c/proxies/p", 12)]));
    trace.watch(watch_response(20, vec![]));
    trace.fail("connection lost");
    trace.connected();
    trace.watch(watch_created(25));
    trace.watch(watch_response(25, vec![event(false, "/c/caches/z", 23)]));
    trace.fail("connection lost");
    trace.connected();
    trace.watch(WatchResponse { canceled: true, compact_revision: 40, ..watch_response(50, vec![]) });
    trace.page(50, &["/c/caches/a"], false);
    trace.watch(WatchResponse {
        canceled: true,
        cancel_reason: "moved".into(),
        ..watch_response(50, vec![])
    });
    // An endpoint that was restored from an older state: its whole list is read again.
    trace.connected();
    trace.watch(watch_created(30));
    trace.page(30, &["/c/caches/a"], false);
    // An endpoint that was restored and is past the known revision: its cluster id differs, so its
    // whole list is read again.
    trace.connected();
    trace.watch(WatchResponse {
        header: Some(ResponseHeader { cluster_id: 9, revision: 60, ..ResponseHeader::default() }),
        ..watch_created(60)
    });
    let header = Some(ResponseHeader { cluster_id: 9, revision: 60, ..ResponseHeader::default() });
    let result = trace.machine.page_received(RangeResponse { header, ..RangeResponse::default() });
    trace.transition(result);
    expect![[r#"
        connect to 1 after 0 ms
        range from "/c/" at 0
        range from "/c/caches/b\0" at 9
        whole list at 9: a, b, proxy p; watch from 10
        listen
        listen
        a@10 -b@10 -proxy p@12; listen
        reached 20; listen
        connection lost; connect to 2 after 444 ms
        watch from 21
        listen
        z@23; listen
        connection lost; connect to 0 after 460 ms
        watch from 24
        range from "/c/" at 0
        whole list at 50: a; watch from 51
        watch canceled: moved; connect to 1 after 456 ms
        watch from 51
        range from "/c/" at 0
        whole list at 30: a; watch from 31
        watch from 31
        range from "/c/" at 0
        whole list at 60 of another cluster: ; watch from 61
    "#]]
    .assert_eq(&trace.text);
}

#[test]
fn an_endpoint_that_lags_behind_is_left_and_delays_grow() {
    let mut trace = Trace::new();
    trace.connected();
    trace.page(9, &["/c/caches/a"], false);
    trace.watch(watch_created(9));
    trace.watch(watch_response(7, vec![]));
    (0..6).for_each(|_| trace.fail("refused"));
    // Only an endpoint that responds resets the delays.
    trace.connected();
    trace.watch(watch_created(9));
    trace.fail("connection lost");
    expect![[r#"
        range from "/c/" at 0
        whole list at 9: a; watch from 10
        listen
        the endpoint is at revision 7, behind the known revision 9; connect to 2 after 444 ms
        refused; connect to 0 after 460 ms
        refused; connect to 1 after 456 ms
        refused; connect to 2 after 1453 ms
        refused; connect to 0 after 173 ms
        refused; connect to 1 after 25 ms
        refused; connect to 2 after 3480 ms
        watch from 10
        listen
        connection lost; connect to 0 after 162 ms
    "#]]
    .assert_eq(&trace.text);
}

/// Guards against all proxies reconnecting at once. Five hundred proxies lose their watches at the
/// same time, and etcd becomes available again after an outage. The test determines the highest
/// number of connection attempts within any 100 ms.
#[test]
fn watchers_that_lose_etcd_together_do_not_reconnect_at_once() {
    let max_attempts = |outage_ms: u64| {
        let mut attempts_per_100_ms = vec![0; 800];
        for seed in 0..500 {
            let mut machine = Machine::new("/c/", 3, 1000 + seed);
            let mut elapsed_ms = 0;
            loop {
                elapsed_ms += machine.connection_failed(Span::ZERO).delay.as_millis();
                attempts_per_100_ms[(elapsed_ms / 100) as usize] += 1;
                if elapsed_ms >= outage_ms {
                    break;
                }
            }
        }
        attempts_per_100_ms.iter().copied().max().unwrap_or(0)
    };
    expect!["61 168 168 of 500"].assert_eq(&format!(
        "{} {} {} of 500",
        max_attempts(0),
        max_attempts(5_000),
        max_attempts(30_000)
    ));
}

/// etcd is unavailable for 20 s. However its endpoints fail, the first attempt after the outage
/// must start early enough to be answered within the time limit for learning of a change. An
/// endpoint answers within a second, and an attempt that hangs is given up after at most two
/// seconds. Times are in ticks of 0.1 ms.
#[test]
fn the_first_attempt_after_an_outage_starts_in_time() {
    let (max_change_delay, response_time) = (60_000, 10_000);
    for attempt_duration in [0, 10_000, 20_000] {
        for seed in 0..500 {
            let mut machine = Machine::new("/c/", 3, 1000 + seed);
            let (mut elapsed, mut attempt_starts) = (0, Vec::new());
            while elapsed < 300_000 {
                attempt_starts.push(elapsed);
                let next = machine.connection_failed(Span::from_ticks(attempt_duration));
                elapsed += attempt_duration + next.delay.ticks();
            }
            // In the worst case etcd is available again just after an attempt started that will
            // fail.
            let max_gap = attempt_starts.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
            assert!(
                max_gap + response_time <= max_change_delay,
                "seed {seed}, attempts of {attempt_duration} ticks: {max_gap} ticks between two attempts"
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

    /// For any response of an endpoint there is a next step, and the known revision never decreases
    /// unless the whole list is read again.
    #[test]
    fn any_response_has_a_next_step(
        responses in proptest::collection::vec((0u8..8, -3i64..40, any::<bool>()), 0..60),
    ) {
        let mut machine = Machine::new("/c/", 2, 1);
        let mut step = machine.connected();
        let mut known_revision = 0;
        for (response_kind, revision, flag) in responses {
            let result = match (&step, response_kind) {
                (Step::ReadPage { .. }, _) => {
                    let kvs = if flag { vec![kv("/c/caches/a", "v", revision)] } else { vec![] };
                    let more = response_kind == 0;
                    machine.page_received(RangeResponse { header: header(revision), kvs, more, count: 1 })
                }
                (_, 0) => machine.watch_response(watch_created(revision)),
                (_, 1) => machine.watch_response(WatchResponse {
                    canceled: true,
                    compact_revision: revision,
                    ..watch_response(3, vec![])
                }),
                (_, 2) => machine.watch_response(WatchResponse {
                    header: None,
                    events: vec![Event::default()],
                    ..WatchResponse::default()
                }),
                (_, other_kind) => {
                    let events = vec![event(other_kind == 4, "/c/caches/a", revision)];
                    machine.watch_response(WatchResponse {
                        fragment: flag,
                        ..watch_response(revision, events)
                    })
                }
            };
            step = match result {
                Ok(Transition { update, next }) => {
                    if let Update::List(list) = update {
                        machine.list_accepted(list.revision);
                        known_revision = list.revision;
                    }
                    if let Step::OpenWatch { start_revision } = next {
                        prop_assert!(start_revision as u64 > known_revision || known_revision == 0);
                    }
                    next
                }
                Err(_) => {
                    let next = machine.connection_failed(Span::ZERO);
                    prop_assert!(next.endpoint_index < 2, "{:?}", next);
                    machine.connected()
                }
            };
        }
    }
}
