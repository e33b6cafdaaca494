//! What a source says in whatever order and with whatever breaks, and what the core is told of it.

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_membership::ListedEndpoint;
use chalkwalk_membership::reconcile::{Change, Reconciler, SourceKind, Told};
use chalkwalk_time::{Span, Timestamp};
use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

/// A second, in ticks: the tests count in them.
const S: u64 = 10_000;

fn at(ticks: u64) -> Timestamp {
    Timestamp::from_ticks(ticks)
}

fn line(id: &str, status: EndpointStatus, born: u64) -> ListedEndpoint {
    let addr = "127.0.0.1:3000".parse().unwrap();
    ListedEndpoint {
        id: id.into(),
        addr,
        zone: "n".into(),
        kind: String::new(),
        cell: 0,
        size: 100,
        status,
        born: at(born),
    }
}

fn on(id: &str, born: u64) -> (ListedEndpoint, bool) {
    (line(id, EndpointStatus::Ready, born), false)
}

fn off(id: &str, born: u64) -> (ListedEndpoint, bool) {
    (line(id, EndpointStatus::Draining, born), false)
}

fn put((line, back): (ListedEndpoint, bool)) -> Change {
    Change::Put { line, back }
}

/// A reconciler, and a trace of what it tells.
struct Desk(Reconciler, String);

impl Desk {
    fn new(trust: SourceKind) -> Desk {
        Desk(Reconciler::new(trust), String::new())
    }

    fn note(&mut self, now: u64, told: Told) {
        let line = |l: &ListedEndpoint| format!(" {}:{:?}@{}", l.id, l.status, l.born);
        let lines: String = told.lines.iter().map(line).collect();
        let notes: String = told.notes.iter().map(|(event, id)| format!(" ({event} {id})")).collect();
        let whole = if told.whole { " whole" } else { "" };
        let text = format!("{} s{whole}{lines}{notes}", now / S);
        self.1 += text.trim_end();
        self.1 += "\n";
    }

    fn whole(&mut self, now: u64, revision: u64, lines: Vec<(ListedEndpoint, bool)>) {
        match self.0.whole(at(now), revision, lines) {
            Ok(told) => self.note(now, told),
            Err(fault) => self.1 += &format!("{} s {fault}\n", now / S),
        }
    }

    fn changes(&mut self, now: u64, changes: Vec<(u64, Change)>) {
        let told = self.0.changes(at(now), changes);
        self.note(now, told);
    }

    fn pass(&mut self) -> u64 {
        let due = self.0.due().expect("something is due");
        let told = self.0.tick(due);
        self.note(due.ticks(), told);
        due.ticks()
    }
}

#[test]
fn a_drain_in_one_batch_with_returns_is_taken_in_order() {
    let mut d = Desk::new(SourceKind::Revisioned);
    d.whole(0, 5, vec![on("a", 1), off("b", 1), on("c", 1), on("d", 1)]);
    // a drains while b returns; c drains and is back as another process; d is gone and back.
    let gone = Change::Gone("d".into());
    d.changes(
        S,
        vec![
            (6, put(off("a", 1))),
            (7, put(on("b", 9))),
            (8, put(off("c", 1))),
            (8, gone),
            (9, put(on("c", 9))),
            (9, put(on("d", 1))),
        ],
    );
    // Told again after a resume: nothing new.
    d.changes(2 * S, vec![(6, put(on("a", 1))), (9, put(on("c", 9)))]);
    expect![[r#"
          0 s whole a:Ready@1 b:Draining@1 c:Ready@1 d:Ready@1
          1 s a:Draining@1 b:Ready@9 c:Ready@9
          2 s
    "#]]
    .assert_eq(&d.1);
}

#[test]
fn an_old_list_brings_nothing_back_and_takes_nothing_away() {
    let mut d = Desk::new(SourceKind::Revisioned);
    d.whole(0, 10, vec![on("a", 1), off("b", 1), on("c", 1), on("d", 1)]);
    // A state of before b's drain and d's start; b as another process is another matter.
    let old = || vec![on("a", 1), on("b", 1), on("c", 1)];
    (1..5).for_each(|i| d.whole(i * S, 4, old()));
    d.changes(6 * S, vec![(5, put(on("b", 7)))]);
    assert_eq!(d.pass(), 64 * S);
    expect![[r#"
        0 s whole a:Ready@1 b:Draining@1 c:Ready@1 d:Ready@1
        1 s an old list, 4 after 10
        2 s an old list, 4 after 10
        3 s an old list, 4 after 10
        4 s (older list taken, and doubted ) (listed as in service, and stays drained b)
        6 s b:Ready@7
        64 s d:Gone@1
    "#]]
    .assert_eq(&d.1);
}

#[test]
fn another_history_is_doubted_whatever_its_revisions_and_drains_of_a_refused_list_hold() {
    let mut d = Desk::new(SourceKind::Revisioned);
    d.whole(0, 10, vec![on("a", 1), off("b", 1), on("c", 1), on("d", 3)]);
    // Refused as old, and yet a drain is a drain; but not that of d's process before.
    d.whole(S, 8, vec![on("a", 1), on("b", 1), off("c", 1), off("d", 2)]);
    let told = d.0.tick(Timestamp::from_ticks(S));
    d.note(S, told);
    // Restored from a backup, and by now past the revision that was known.
    d.0.another_history(Timestamp::from_ticks(2 * S));
    d.whole(2 * S, 30, vec![on("a", 1), on("b", 1), off("c", 1)]);
    d.changes(3 * S, vec![(31, put(off("a", 1))), (32, put(on("b", 2)))]);
    assert_eq!(d.pass(), 62 * S);
    expect![[r#"
        0 s whole a:Ready@1 b:Draining@1 c:Ready@1 d:Ready@3
        1 s an old list, 8 after 10
        1 s c:Draining@1
        2 s (listed as in service, and stays drained b)
        3 s a:Draining@1 b:Ready@2
        62 s d:Gone@3
    "#]]
    .assert_eq(&d.1);
}

#[test]
fn a_file_that_still_lists_a_drained_server_does_not_bring_it_back() {
    let mut d = Desk::new(SourceKind::Assembled);
    d.whole(0, 1, vec![on("a", 1), on("b", 0)]);
    d.whole(S, 2, vec![off("a", 1), off("b", 0)]);
    d.whole(2 * S, 3, vec![on("a", 1), on("b", 0)]);
    d.whole(3 * S, 4, vec![on("a", 5), (line("b", EndpointStatus::Ready, 0), true)]);
    // Gone by the file and back without a drain: that is what its writer wants.
    d.whole(4 * S, 5, vec![on("b", 0)]);
    d.whole(5 * S, 6, vec![on("a", 5), on("b", 0)]);
    expect![[r#"
          0 s whole a:Ready@1 b:Ready@0
          1 s a:Draining@1 b:Draining@0
          2 s (listed as in service, and stays drained a) (listed as in service, and stays drained b)
          3 s a:Ready@5 b:Ready@0
          4 s a:Gone@5
          5 s a:Ready@5
    "#]]
    .assert_eq(&d.1);
}

#[test]
fn a_list_suddenly_short_is_doubted_for_a_while_and_drains_in_it_hold() {
    let all = || ["a", "b", "c", "d"].map(|id| on(id, 1)).to_vec();
    let mut d = Desk::new(SourceKind::Revisioned);
    d.whole(0, 1, all());
    d.whole(S, 2, vec![off("d", 1)]);
    d.changes(2 * S, vec![(3, put(on("a", 1)))]);
    d.changes(3 * S, vec![(4, put(off("b", 1)))]);
    assert_eq!(d.pass(), 31 * S);
    // One at a time, as leases run out: the third within ten seconds is one too many.
    d.whole(100 * S, 5, all());
    for (i, id) in ["a", "b", "c"].iter().enumerate() {
        d.changes((110 + i as u64) * S, vec![(6 + i as u64, Change::Gone(id.to_string()))]);
    }
    d.whole(120 * S, 9, all());
    // Announced ahead, all may go at once.
    d.whole(200 * S, 10, ["a", "b", "c", "d"].map(|id| off(id, 1)).to_vec());
    d.whole(201 * S, 11, vec![]);
    expect![[r#"
        0 s whole a:Ready@1 b:Ready@1 c:Ready@1 d:Ready@1
        1 s d:Draining@1 (list suddenly short, missing caches kept for now )
        2 s
        3 s b:Draining@1
        31 s c:Gone@1
        100 s b:Ready@1 c:Ready@1 d:Ready@1
        110 s a:Gone@1
        111 s b:Gone@1
        112 s (list suddenly short, missing caches kept for now )
        120 s a:Ready@1 b:Ready@1
        200 s a:Draining@1 b:Draining@1 c:Draining@1 d:Draining@1
        201 s a:Gone@1 b:Gone@1 c:Gone@1 d:Gone@1
    "#]]
    .assert_eq(&d.1);
}

#[test]
fn a_server_that_flaps_comes_back_later_each_time_and_goes_at_once() {
    let mut d = Desk::new(SourceKind::Revisioned);
    d.whole(0, 1, vec![on("a", 1), on("b", 1)]);
    for i in 1..=5 {
        d.changes(2 * i * S, vec![(10 * i, put(off("a", i)))]);
        d.changes((2 * i + 1) * S, vec![(10 * i + 1, put(on("a", i + 1)))]);
    }
    assert_eq!(d.pass(), 21 * S);
    // Steady for long: it is as any other.
    d.changes(200 * S, vec![(100, put(off("a", 6)))]);
    d.changes(201 * S, vec![(101, put(on("a", 7)))]);
    expect![[r#"
        0 s whole a:Ready@1 b:Ready@1
        2 s a:Draining@1
        3 s a:Ready@2
        4 s a:Draining@2
        5 s a:Ready@3
        6 s a:Draining@3
        7 s a:Ready@4
        8 s a:Draining@4
        9 s a:Draining@5 (comes back again and again, held for a while a)
        10 s
        11 s a:Draining@6 (comes back again and again, held for a while a)
        21 s a:Ready@6
        200 s a:Draining@6
        201 s a:Ready@7
    "#]]
    .assert_eq(&d.1);
}

// ---- any order, any breaks ----

#[derive(Clone, Debug)]
enum Step {
    /// So many of the source's events, in one batch.
    Batch(usize),
    /// A break: the whole list as of now.
    Whole,
    /// The whole list of so many revisions ago.
    Old(u64),
    /// A resume that tells so many events again.
    Again(usize),
    Pass(u64),
}

fn event() -> impl Strategy<Value = (usize, u8)> {
    (0usize..5, 0u8..4)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1usize..5).prop_map(Step::Batch),
        1 => Just(Step::Whole),
        1 => (1u64..6).prop_map(Step::Old),
        1 => (1usize..4).prop_map(Step::Again),
        2 => (1..S).prop_map(Step::Pass),
    ]
}

type State = BTreeMap<String, ListedEndpoint>;

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// The same events in whatever batches, with whatever breaks, old lists and repeats between, end in the source's own
    /// list, and at no moment is a server in service whose newest word is a drain.
    #[test]
    fn any_order_ends_in_the_same_list_and_never_serves_what_is_drained(
        events in proptest::collection::vec(event(), 1..40),
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        // The source's history: its state after each revision, and the changes between.
        let mut states = vec![State::new()];
        let mut changes = Vec::new();
        for (i, (server, kind)) in events.iter().enumerate() {
            let (id, mut state) = (format!("c{server}"), states[i].clone());
            let born = state.get(&id).map_or(i as u64 + 1, |l| l.born.ticks());
            let change = match kind {
                0 => put(off(&id, born)),
                1 => put(on(&id, born)),
                2 => put(on(&id, i as u64 + 1)),
                _ => Change::Gone(id.clone()),
            };
            match &change {
                Change::Put { line, .. } => _ = state.insert(id, line.clone()),
                Change::Gone(id) => _ = state.remove(id),
            }
            states.push(state);
            changes.push((i as u64 + 1, change));
        }
        let whole = |revision: usize| states[revision].values().map(|l| (l.clone(), false)).collect::<Vec<_>>();
        let (mut r, mut now, mut at, mut heard) = (Reconciler::new(SourceKind::Revisioned), at(S), 0, 0);
        let mut seen = State::new();
        let mut hear = |told: &Told| {
            if told.whole {
                seen.clear();
            }
            told.lines.iter().for_each(|l| _ = seen.insert(l.id.clone(), l.clone()));
            seen.clone()
        };
        hear(&r.whole(now, 0, whole(0)).unwrap());
        for step in steps {
            let told = match step {
                Step::Batch(n) => {
                    let to = (at + n).min(changes.len());
                    let batch = changes[at..to].to_vec();
                    at = to;
                    r.changes(now, batch)
                }
                Step::Whole => r.whole(now, at as u64, whole(at)).unwrap_or_default(),
                Step::Old(by) => {
                    let old = at.saturating_sub(by as usize);
                    let told = r.whole(now, old as u64, whole(old));
                    // Once it is believed, the source goes on from there.
                    at = if told.is_ok() { old } else { at };
                    told.unwrap_or_default()
                }
                Step::Again(n) => r.changes(now, changes[at.saturating_sub(n)..at].to_vec()),
                Step::Pass(by) => {
                    now += Span::from_ticks(by);
                    r.tick(now)
                }
            };
            heard = heard.max(at);
            let view = hear(&told);
            for (id, line) in &states[heard] {
                let serving = view.get(id).is_some_and(|l| l.status == EndpointStatus::Ready);
                prop_assert!(
                    line.status == EndpointStatus::Ready || !serving,
                    "{id} is drained at revision {heard}, and in service"
                );
            }
        }
        // Everything is told in the end, and time passes.
        let mut view = hear(&r.whole(now, changes.len() as u64, whole(changes.len())).unwrap());
        for _ in 0..200 {
            let Some(due) = r.due() else { break };
            now = now.max(due);
            view = hear(&r.tick(now));
        }
        view.retain(|_, l| l.status != EndpointStatus::Gone);
        prop_assert_eq!(&view, &states[changes.len()]);
        prop_assert_eq!(r.lines(), view.into_values().collect::<Vec<_>>());
    }
}
