//! The machine by itself: what it asks for, whatever is answered.

use chalkwalk_discovery_etcd::machine::{Do, Key, Machine, News};
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

/// What it says and does, a line each.
struct Trace(Machine, String);

impl Trace {
    fn new() -> Trace {
        Trace(Machine::new("/c/", 3, 7), String::new())
    }

    fn did(&mut self, what: Do) {
        let line = match what {
            Do::Connect { endpoint, after } => format!("connect to {endpoint} after {} ms", after / 10),
            Do::Range { from, revision } => {
                format!("range from {:?} at {revision}", String::from_utf8_lossy(&from))
            }
            Do::Watch { from } => format!("watch from {from}"),
            Do::Listen => "listen".into(),
        };
        self.1 += &format!("{line}\n");
    }

    fn news(&mut self, got: Result<(News, Do), String>) {
        let key = |key: &Key| match key {
            Key::ServerIndex(id) => id.clone(),
            Key::Proxy(name) => format!("proxy {name}"),
        };
        match got {
            Ok((news, then)) => {
                match news {
                    News::Nothing => {}
                    News::Whole { revision, another, keys } => {
                        let keys: Vec<_> = keys.iter().map(|(k, _)| key(k)).collect();
                        let of = if another { " of another cluster" } else { "" };
                        self.1 += &format!("whole at {revision}{of}: {}; ", keys.join(", "));
                        self.0.taken(revision);
                    }
                    News::Changes(all) => {
                        let one = |(r, k, v): &(u64, Key, Option<Vec<u8>>)| {
                            format!("{}{}@{r}", if v.is_some() { "" } else { "-" }, key(k))
                        };
                        self.1 += &format!("{}; ", all.iter().map(one).collect::<Vec<_>>().join(" "));
                    }
                    News::Reached(revision) => self.1 += &format!("reached {revision}; "),
                }
                self.did(then);
            }
            Err(fault) => {
                self.1 += &format!("{fault}; ");
                let then = self.0.failed(Span::ZERO);
                self.did(then);
            }
        }
    }

    fn ranged(&mut self, revision: i64, keys: &[&str], more: bool) {
        let kvs = keys.iter().map(|k| kv(k, "v", 1)).collect();
        let page = RangeResponse { header: header(revision), kvs, more, count: 0 };
        let got = self.0.ranged(page);
        self.news(got);
    }

    fn heard(&mut self, said: WatchResponse) {
        let got = self.0.heard(said);
        self.news(got);
    }

    fn opened(&mut self) {
        let then = self.0.opened();
        self.did(then);
    }
}

#[test]
fn pages_then_a_watch_which_is_resumed_after_a_break_and_begun_anew_after_compaction() {
    let mut t = Trace::new();
    let first = t.0.start();
    t.did(first);
    t.opened();
    t.ranged(9, &["/c/caches/a", "/c/caches/b"], true);
    // A later page at a later revision is still of the first one's.
    t.ranged(11, &["/c/proxies/p", "/c/other", "/c/caches/"], false);
    t.heard(created(12));
    let half = WatchResponse { fragment: true, ..watched(12, vec![event(false, "/c/caches/a", 10)]) };
    t.heard(half);
    t.heard(watched(12, vec![event(true, "/c/caches/b", 10), event(true, "/c/proxies/p", 12)]));
    t.heard(watched(20, vec![]));
    t.news(Err("it broke".into()));
    t.opened();
    t.heard(created(25));
    t.heard(watched(25, vec![event(false, "/c/caches/z", 23)]));
    t.news(Err("it broke".into()));
    t.opened();
    t.heard(WatchResponse { canceled: true, compact_revision: 40, ..watched(50, vec![]) });
    t.ranged(50, &["/c/caches/a"], false);
    t.heard(WatchResponse { canceled: true, cancel_reason: "moved".into(), ..watched(50, vec![]) });
    // Restored from an older state: only its whole list tells.
    t.opened();
    t.heard(created(30));
    t.ranged(30, &["/c/caches/a"], false);
    // Restored, and past the revision that is known: another cluster all the same.
    t.opened();
    t.heard(WatchResponse {
        header: Some(ResponseHeader { cluster_id: 9, revision: 60, ..ResponseHeader::default() }),
        ..created(60)
    });
    let header = Some(ResponseHeader { cluster_id: 9, revision: 60, ..ResponseHeader::default() });
    let got = t.0.ranged(RangeResponse { header, ..RangeResponse::default() });
    t.news(got);
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
    .assert_eq(&t.1);
}

#[test]
fn an_endpoint_that_is_behind_is_left_and_waits_grow() {
    let mut t = Trace::new();
    t.opened();
    t.ranged(9, &["/c/caches/a"], false);
    t.heard(created(9));
    t.heard(watched(7, vec![]));
    (0..6).for_each(|_| t.news(Err("refused".into())));
    // Only an endpoint that is heard makes waits short again.
    t.opened();
    t.heard(created(9));
    t.news(Err("it broke".into()));
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
    .assert_eq(&t.1);
}

/// Five hundred proxies lose their watches at once, and etcd comes back after some time: how many knock within 100 ms.
#[test]
fn a_storm_of_watchers_does_not_return_at_once() {
    let knocks = |away_ms: u64| {
        let mut within = vec![0; 800];
        for seed in 0..500 {
            let mut machine = Machine::new("/c/", 3, 1000 + seed);
            let mut at = 0;
            loop {
                let Do::Connect { after, .. } = machine.failed(Span::ZERO) else { unreachable!() };
                at += after.as_millis();
                within[(at / 100) as usize] += 1;
                if at >= away_ms {
                    break;
                }
            }
        }
        within.iter().copied().max().unwrap_or(0)
    };
    expect!["61 168 168 of 500"].assert_eq(&format!(
        "{} {} {} of 500",
        knocks(0),
        knocks(5_000),
        knocks(30_000)
    ));
}

/// Etcd is away for 20 s. However its endpoints fail, the next attempt that can be answered begins early enough to be answered
/// within the term for changes: an endpoint answers within a second, and an attempt that hangs is given up after two at most.
#[test]
fn after_an_outage_the_next_attempt_is_within_the_term() {
    let (term, answer) = (60_000, 10_000);
    for attempt_takes in [0, 10_000, 20_000] {
        for seed in 0..500 {
            let mut machine = Machine::new("/c/", 3, 1000 + seed);
            let (mut at, mut begun) = (0, Vec::new());
            while at < 300_000 {
                begun.push(at);
                let Do::Connect { after, .. } = machine.failed(Span::from_ticks(attempt_takes)) else {
                    unreachable!()
                };
                at += attempt_takes + after.ticks();
            }
            // Etcd returns just after an attempt began that is doomed by then.
            let longest = begun.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
            assert!(
                longest + answer <= term,
                "seed {seed}, attempts take {attempt_takes}: {longest} from one attempt to the next"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever an endpoint answers, there is a next step, and what is known never goes back without a whole list.
    #[test]
    fn any_answers_lead_on(answers in proptest::collection::vec((0u8..8, -3i64..40, any::<bool>()), 0..60)) {
        let mut machine = Machine::new("/c/", 2, 1);
        let mut then = machine.opened();
        let mut held = 0;
        for (kind, revision, flag) in answers {
            let got = match (&then, kind) {
                (Do::Range { .. }, _) => {
                    let kvs = if flag { vec![kv("/c/caches/a", "v", revision)] } else { vec![] };
                    machine.ranged(RangeResponse { header: header(revision), kvs, more: kind == 0, count: 1 })
                }
                (_, 0) => machine.heard(created(revision)),
                (_, 1) => machine.heard(WatchResponse { canceled: true, compact_revision: revision, ..watched(3, vec![]) }),
                (_, 2) => machine.heard(WatchResponse { header: None, events: vec![Event::default()], ..WatchResponse::default() }),
                (_, n) => machine.heard(WatchResponse { fragment: flag, ..watched(revision, vec![event(n == 4, "/c/caches/a", revision)]) }),
            };
            then = match got {
                Ok((news, next)) => {
                    if let News::Whole { revision, .. } = news {
                        machine.taken(revision);
                        held = revision;
                    }
                    if let Do::Watch { from } = next {
                        prop_assert!(from as u64 > held || held == 0);
                    }
                    next
                }
                Err(_) => {
                    let next = machine.failed(Span::ZERO);
                    prop_assert!(matches!(next, Do::Connect { endpoint: 0 | 1, .. }), "{:?}", next);
                    machine.opened()
                }
            };
        }
    }
}
