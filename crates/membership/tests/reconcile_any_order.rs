//! Property test: changes in arbitrary batches, interleaved with full lists, old lists and
//! redeliveries.

mod helper;

use chalkwalk_balancer::EndpointStatus;
use chalkwalk_membership::reconcile::{EndpointChange, ListUpdate, Reconciler, SourceKind};
use chalkwalk_membership::{ListEntry, ListedEndpoint};
use chalkwalk_time::Span;
use helper::{SECOND, at_ticks, draining, put, ready, removed};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    /// The next changes of the source in one batch of this size.
    Batch(usize),
    /// The current full list, as after a lost connection.
    List,
    /// The full list as of this many revisions ago.
    OldList(u64),
    /// A resumed watch that delivers this many changes again.
    Redelivery(usize),
    /// This many ticks pass.
    Wait(u64),
}

fn event() -> impl Strategy<Value = (usize, u8)> {
    (0usize..5, 0u8..4)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1usize..5).prop_map(Step::Batch),
        1 => Just(Step::List),
        1 => (1u64..6).prop_map(Step::OldList),
        1 => (1usize..4).prop_map(Step::Redelivery),
        2 => (1..SECOND).prop_map(Step::Wait),
    ]
}

type State = BTreeMap<String, ListedEndpoint>;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In whichever order and batches the changes, full lists, old lists and redeliveries arrive,
    /// the result is the source's own list, and a server whose newest known state is a drain is
    /// never in service.
    #[test]
    fn any_order_converges_to_the_source_list_and_never_serves_a_drained_server(
        events in proptest::collection::vec(event(), 1..40),
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        // The source's history: its state after each revision, and the changes between the states.
        let mut states = vec![State::new()];
        let mut changes = Vec::new();
        for (i, (server, kind)) in events.iter().enumerate() {
            let id = format!("c{server}");
            let mut state = states[i].clone();
            let revision = i as u64 + 1;
            let started_at = state.get(&id).map_or(revision, |endpoint| endpoint.started_at.ticks());
            let change = match kind {
                0 => put(revision, draining(&id, started_at)),
                1 => put(revision, ready(&id, started_at)),
                2 => put(revision, ready(&id, revision)),
                _ => removed(revision, &id),
            };
            match &change.change {
                EndpointChange::Put(entry) => _ = state.insert(id, entry.endpoint.clone()),
                EndpointChange::Removed(id) => _ = state.remove(id),
            }
            states.push(state);
            changes.push(change);
        }
        let list = |revision: usize| -> Vec<ListEntry> {
            states[revision].values().map(|endpoint| endpoint.clone().into()).collect()
        };
        let mut reconciler = Reconciler::new(SourceKind::Revisioned);
        let mut now = at_ticks(SECOND);
        // The last delivered revision, and the highest one so far.
        let mut delivered = 0;
        let mut max_delivered = 0;
        let mut view = State::new();
        let mut apply = |update: &ListUpdate| {
            if update.replaces_all {
                view.clear();
            }
            for endpoint in &update.endpoints {
                view.insert(endpoint.id.clone(), endpoint.clone());
            }
            view.clone()
        };
        apply(&reconciler.apply_list(now, 0, list(0)).unwrap());
        for step in steps {
            let update = match step {
                Step::Batch(count) => {
                    let batch_end = (delivered + count).min(changes.len());
                    let batch = changes[delivered..batch_end].to_vec();
                    delivered = batch_end;
                    reconciler.apply_changes(now, batch)
                }
                Step::List => {
                    reconciler.apply_list(now, delivered as u64, list(delivered)).unwrap_or_default()
                }
                Step::OldList(revisions_back) => {
                    let old_revision = delivered.saturating_sub(revisions_back as usize);
                    let update = reconciler.apply_list(now, old_revision as u64, list(old_revision));
                    // If the old list is accepted, the source continues from its revision.
                    delivered = if update.is_ok() { old_revision } else { delivered };
                    update.unwrap_or_default()
                }
                Step::Redelivery(count) => {
                    let first_redelivered = delivered.saturating_sub(count);
                    reconciler.apply_changes(now, changes[first_redelivered..delivered].to_vec())
                }
                Step::Wait(ticks) => {
                    now += Span::from_ticks(ticks);
                    reconciler.tick(now)
                }
            };
            max_delivered = max_delivered.max(delivered);
            let view = apply(&update);
            for (id, endpoint) in &states[max_delivered] {
                let in_service = view.get(id).is_some_and(|seen| seen.status == EndpointStatus::Ready);
                prop_assert!(
                    endpoint.status == EndpointStatus::Ready || !in_service,
                    "{id} is drained at revision {max_delivered}, but in service"
                );
            }
        }
        // Finally everything is delivered, and time passes until nothing is due.
        let last_revision = changes.len();
        let mut view = apply(&reconciler.apply_list(now, last_revision as u64, list(last_revision)).unwrap());
        for _ in 0..200 {
            let Some(deadline) = reconciler.next_deadline() else { break };
            now = now.max(deadline);
            view = apply(&reconciler.tick(now));
        }
        view.retain(|_, endpoint| endpoint.status != EndpointStatus::Gone);
        prop_assert_eq!(&view, &states[last_revision]);
        prop_assert_eq!(reconciler.endpoints(), view.into_values().collect::<Vec<_>>());
    }
}
