//! Outcomes of attempts at a server.

use chalkwalk_testbed::clock::{MILLISECOND, Micros, SECOND};
use chalkwalk_testbed::model::server::{AttemptInput, Reply, ServerModel, ServerSpec};
use chalkwalk_testbed::model::timeline::{Incarnation, Reachability, ServerTimeline};

fn spec() -> ServerSpec {
    ServerSpec {
        cores: 2,
        max_queued: 2,
        max_values: 2,
        slow_start_share: 0.2,
        slow_start: 10 * SECOND,
        collapse_multiple: 2.0,
        collapse_window: SECOND,
        read_through: false,
    }
}

fn timeline() -> ServerTimeline {
    let incarnations =
        vec![Incarnation { started_at: 0, ended_at: Micros::MAX, reachability_after: Reachability::Refused }];
    ServerTimeline { incarnations, ..ServerTimeline::default() }
}

fn attempt(key: u64) -> AttemptInput {
    AttemptInput { key, is_write: false, work: 10 * MILLISECOND, sample: 0.5 }
}

fn failing_origin(_: Micros) -> Option<Micros> {
    None
}

#[test]
fn values_stored_last_are_hits_and_the_rest_and_writes_are_misses() {
    let (mut server, timeline) = (ServerModel::new(spec(), 0), timeline());
    [1, 2, 3].into_iter().for_each(|key| server.store(key));
    let mut reply = |now, attempt| server.handle(now, attempt, &timeline, failing_origin).reply;
    let write = AttemptInput { is_write: true, ..attempt(3) };
    let replies =
        [(0, attempt(1)), (0, attempt(3)), (20_000, write)].map(|(now, attempt)| reply(now, attempt));
    assert_eq!(replies, [Reply::Miss, Reply::Hit, Reply::Miss]);
}

#[test]
fn a_full_queue_rejects_without_processing() {
    let (mut server, timeline) = (ServerModel::new(spec(), 0), timeline());
    server.store(1);
    let plans = [(); 5].map(|()| server.handle(0, attempt(1), &timeline, failing_origin));
    assert_eq!(
        plans.map(|plan| plan.reply),
        [Reply::Hit, Reply::Hit, Reply::Hit, Reply::Hit, Reply::Unprocessed]
    );
    assert!(!plans[4].takes_effect && plans[3].due_at == 20 * MILLISECOND);
}

#[test]
fn a_server_in_slow_start_collapses_under_load_that_a_warm_server_sustains() {
    let timeline = timeline();
    let collapsed = [SECOND, 0].map(|started_at| {
        let mut server = ServerModel::new(spec(), started_at);
        // The budget is twice a fifth of two cores, 0.8 s of work per second, plus 80 ms as
        // tolerance for random arrivals.
        (0..100).position(|i| server.handle(SECOND + i, attempt(1), &timeline, failing_origin).collapses)
    });
    assert_eq!(collapsed, [Some(88), None]);
}

#[test]
fn read_through_servers_fetch_and_cache_or_fail_with_the_origin() {
    let timeline = timeline();
    let mut server = ServerModel::new(ServerSpec { read_through: true, ..spec() }, 0);
    let replies =
        [None, Some(90_000), None].map(|fetched| server.handle(0, attempt(1), &timeline, |_| fetched).reply);
    assert_eq!(replies, [Reply::Error, Reply::Fetched, Reply::Hit]);
}

#[test]
fn a_purge_drops_all_cached_values_at_once() {
    let (mut server, mut timeline) = (ServerModel::new(spec(), 0), timeline());
    timeline.purges = vec![500];
    server.store(1);
    let replies = [0, 600].map(|now| server.handle(now, attempt(1), &timeline, failing_origin).reply);
    assert_eq!(replies, [Reply::Hit, Reply::Miss]);
}
