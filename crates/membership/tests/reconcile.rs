//! What the engine is notified of, for sequences of lists and changes that a source reports.

mod helper;

use chalkwalk_membership::reconcile::{ListUpdate, ReconcileEvent, Reconciler, RevisionedChange, SourceKind};
use chalkwalk_membership::{ListEntry, ListedEndpoint};
use expect_test::expect;
use helper::{SECOND, at_ticks, draining, put, ready, removed};

/// A reconciler with a textual trace of its updates.
struct Trace {
    reconciler: Reconciler,
    text: String,
}

impl Trace {
    fn new(source: SourceKind) -> Trace {
        Trace { reconciler: Reconciler::new(source), text: String::new() }
    }

    fn record(&mut self, now: u64, update: ListUpdate) {
        let endpoint = |e: &ListedEndpoint| format!(" {}:{:?}@{}", e.id, e.status, e.started_at);
        let endpoints: String = update.endpoints.iter().map(endpoint).collect();
        let event = |e: &ReconcileEvent| format!(" ({} {})", e.message(), e.endpoint_id().unwrap_or(""));
        let events: String = update.events.iter().map(event).collect();
        let whole = if update.replaces_all { " whole" } else { "" };
        let text = format!("{} s{whole}{endpoints}{events}", now / SECOND);
        self.text += text.trim_end();
        self.text += "\n";
    }

    fn list(&mut self, now: u64, revision: u64, entries: Vec<ListEntry>) {
        match self.reconciler.apply_list(at_ticks(now), revision, entries) {
            Ok(update) => self.record(now, update),
            Err(error) => self.text += &format!("{} s {error}\n", now / SECOND),
        }
    }

    fn changes(&mut self, now: u64, changes: Vec<RevisionedChange>) {
        let update = self.reconciler.apply_changes(at_ticks(now), changes);
        self.record(now, update);
    }

    fn tick(&mut self, now: u64) {
        let update = self.reconciler.tick(at_ticks(now));
        self.record(now, update);
    }

    /// Advances the time to the next deadline, and returns this deadline.
    fn tick_when_due(&mut self) -> u64 {
        let due = self.reconciler.next_deadline().expect("something is due").ticks();
        self.tick(due);
        due
    }
}

#[test]
fn drains_and_returns_in_one_batch_are_applied_in_order() {
    let mut trace = Trace::new(SourceKind::Revisioned);
    trace.list(0, 5, vec![ready("a", 1), draining("b", 1), ready("c", 1), ready("d", 1)]);
    // a is drained while b returns; c is drained and returns as a new process; d is removed and
    // listed again.
    trace.changes(
        SECOND,
        vec![
            put(6, draining("a", 1)),
            put(7, ready("b", 9)),
            put(8, draining("c", 1)),
            removed(8, "d"),
            put(9, ready("c", 9)),
            put(9, ready("d", 1)),
        ],
    );
    // Changes that are delivered again after a resumed watch have no effect.
    trace.changes(2 * SECOND, vec![put(6, ready("a", 1)), put(9, ready("c", 9))]);
    expect![[r#"
          0 s whole a:Ready@1 b:Draining@1 c:Ready@1 d:Ready@1
          1 s a:Draining@1 b:Ready@9 c:Ready@9
          2 s
    "#]]
    .assert_eq(&trace.text);
}

#[test]
fn an_old_list_neither_returns_nor_removes_servers() {
    let mut trace = Trace::new(SourceKind::Revisioned);
    trace.list(0, 10, vec![ready("a", 1), draining("b", 1), ready("c", 1), ready("d", 1)]);
    // The old list dates from before b's drain and d's start. A new process of b does return to
    // service.
    let old = || vec![ready("a", 1), ready("b", 1), ready("c", 1)];
    (1..5).for_each(|i| trace.list(i * SECOND, 4, old()));
    trace.changes(6 * SECOND, vec![put(5, ready("b", 7))]);
    assert_eq!(trace.tick_when_due(), 64 * SECOND);
    expect![[r#"
        0 s whole a:Ready@1 b:Draining@1 c:Ready@1 d:Ready@1
        1 s outdated list: revision 4 is older than the current revision 10
        2 s outdated list: revision 4 is older than the current revision 10
        3 s outdated list: revision 4 is older than the current revision 10
        4 s (older list accepted, treated as stale ) (listed as in service but stays drained b)
        6 s b:Ready@7
        64 s d:Gone@1
    "#]]
    .assert_eq(&trace.text);
}

#[test]
fn a_new_history_is_stale_at_any_revision_and_drains_of_a_rejected_list_apply() {
    let mut trace = Trace::new(SourceKind::Revisioned);
    trace.list(0, 10, vec![ready("a", 1), draining("b", 1), ready("c", 1), ready("d", 3)]);
    // The list is rejected as outdated, but its drain of c applies. Its drain of d does not,
    // because it refers to an earlier process of d.
    trace.list(SECOND, 8, vec![ready("a", 1), ready("b", 1), draining("c", 1), draining("d", 2)]);
    trace.tick(SECOND);
    // The source was restored from a backup, and its revision is already above the known one.
    trace.reconciler.history_changed(at_ticks(2 * SECOND));
    trace.list(2 * SECOND, 30, vec![ready("a", 1), ready("b", 1), draining("c", 1)]);
    trace.changes(3 * SECOND, vec![put(31, draining("a", 1)), put(32, ready("b", 2))]);
    assert_eq!(trace.tick_when_due(), 62 * SECOND);
    expect![[r#"
        0 s whole a:Ready@1 b:Draining@1 c:Ready@1 d:Ready@3
        1 s outdated list: revision 8 is older than the current revision 10
        1 s c:Draining@1
        2 s (listed as in service but stays drained b)
        3 s a:Draining@1 b:Ready@2
        62 s d:Gone@3
    "#]]
    .assert_eq(&trace.text);
}

#[test]
fn a_file_that_still_lists_a_drained_server_does_not_return_it_to_service() {
    let mut trace = Trace::new(SourceKind::Unordered);
    trace.list(0, 1, vec![ready("a", 1), ready("b", 0)]);
    trace.list(SECOND, 2, vec![draining("a", 1), draining("b", 0)]);
    trace.list(2 * SECOND, 3, vec![ready("a", 1), ready("b", 0)]);
    trace.list(3 * SECOND, 4, vec![ready("a", 5), ListEntry { reinstated: true, ..ready("b", 0) }]);
    // The file removes a and lists it again without a drain in between, so a returns to service.
    trace.list(4 * SECOND, 5, vec![ready("b", 0)]);
    trace.list(5 * SECOND, 6, vec![ready("a", 5), ready("b", 0)]);
    expect![[r#"
          0 s whole a:Ready@1 b:Ready@0
          1 s a:Draining@1 b:Draining@0
          2 s (listed as in service but stays drained a) (listed as in service but stays drained b)
          3 s a:Ready@5 b:Ready@0
          4 s a:Gone@5
          5 s a:Ready@5
    "#]]
    .assert_eq(&trace.text);
}

#[test]
fn a_mass_removal_is_delayed_and_drains_during_it_apply() {
    let all = || ["a", "b", "c", "d"].map(|id| ready(id, 1)).to_vec();
    let mut trace = Trace::new(SourceKind::Revisioned);
    trace.list(0, 1, all());
    trace.list(SECOND, 2, vec![draining("d", 1)]);
    trace.changes(2 * SECOND, vec![put(3, ready("a", 1))]);
    trace.changes(3 * SECOND, vec![put(4, draining("b", 1))]);
    assert_eq!(trace.tick_when_due(), 31 * SECOND);
    // Servers disappear one at a time, as when leases expire: the third within ten seconds raises
    // the suspicion.
    trace.list(100 * SECOND, 5, all());
    for (i, id) in ["a", "b", "c"].iter().enumerate() {
        trace.changes((110 + i as u64) * SECOND, vec![removed(6 + i as u64, id)]);
    }
    trace.list(120 * SECOND, 9, all());
    // Servers that were drained first may all be removed at once.
    trace.list(200 * SECOND, 10, ["a", "b", "c", "d"].map(|id| draining(id, 1)).to_vec());
    trace.list(201 * SECOND, 11, vec![]);
    expect![[r#"
        0 s whole a:Ready@1 b:Ready@1 c:Ready@1 d:Ready@1
        1 s d:Draining@1 (mass removal suspected, missing caches retained )
        2 s
        3 s b:Draining@1
        31 s c:Gone@1
        100 s b:Ready@1 c:Ready@1 d:Ready@1
        110 s a:Gone@1
        111 s b:Gone@1
        112 s (mass removal suspected, missing caches retained )
        120 s a:Ready@1 b:Ready@1
        200 s a:Draining@1 b:Draining@1 c:Draining@1 d:Draining@1
        201 s a:Gone@1 b:Gone@1 c:Gone@1 d:Gone@1
    "#]]
    .assert_eq(&trace.text);
}

#[test]
fn a_flapping_server_returns_with_growing_delays_and_drains_immediately() {
    let mut trace = Trace::new(SourceKind::Revisioned);
    trace.list(0, 1, vec![ready("a", 1), ready("b", 1)]);
    for i in 1..=5 {
        trace.changes(2 * i * SECOND, vec![put(10 * i, draining("a", i))]);
        trace.changes((2 * i + 1) * SECOND, vec![put(10 * i + 1, ready("a", i + 1))]);
    }
    assert_eq!(trace.tick_when_due(), 21 * SECOND);
    // After a long time without a return, the server is treated like any other.
    trace.changes(200 * SECOND, vec![put(100, draining("a", 6))]);
    trace.changes(201 * SECOND, vec![put(101, ready("a", 7))]);
    expect![[r#"
        0 s whole a:Ready@1 b:Ready@1
        2 s a:Draining@1
        3 s a:Ready@2
        4 s a:Draining@2
        5 s a:Ready@3
        6 s a:Draining@3
        7 s a:Ready@4
        8 s a:Draining@4
        9 s a:Draining@5 (flapping, return to service delayed a)
        10 s
        11 s a:Draining@6 (flapping, return to service delayed a)
        21 s a:Ready@6
        200 s a:Draining@6
        201 s a:Ready@7
    "#]]
    .assert_eq(&trace.text);
}
