//! Timelines of servers, links and the list.

use chalkwalk_testbed::clock::SECOND;
use chalkwalk_testbed::experiment::Experiment;
use chalkwalk_testbed::model::timeline::{EndpointStatus, Reachability, Timelines};

const SMALL_FLEET: &str = r#"
    title = "t"
    seconds = 30
    load = { rate = 10 }
    world = { zones = ["a", "b"], caches = 4, list_late_s = 0.5, cold_s = 5 }
    [[namespace]]
    name = "page"
    target_ms = 300
    limit_ms = 1000
    work_ms = 5
"#;

fn timelines(faults: &str) -> Timelines {
    Timelines::new(&Experiment::parse(&format!("{SMALL_FLEET}{faults}")).unwrap())
}

#[test]
fn a_rolling_deploy_drains_each_in_turn_and_restarts_it_in_slow_start() {
    let timelines =
        timelines("[[trouble]]\nkind='rolling-deploy'\nat=2\nevery=4\ndrain=1\ndown=1\ncaches=[1,2]");
    let seen: Vec<_> = timelines
        .list_updates
        .iter()
        .map(|update| (update.published_at / 100_000, update.server, update.status))
        .collect();
    let (draining, gone, ready) = (EndpointStatus::Draining, EndpointStatus::Gone, EndpointStatus::Ready);
    assert_eq!(
        seen,
        [(25, 1, draining), (35, 1, gone), (45, 1, ready), (65, 2, draining), (75, 2, gone), (85, 2, ready)]
    );
    assert_eq!(timelines.reachability(1, (1, 0), 3 * SECOND), (Reachability::Refused, 4 * SECOND));
    assert!(
        timelines.servers[1].speed.speed(4 * SECOND) < 0.3
            && timelines.servers[0].speed.speed(4 * SECOND) == 1.0
    );
}

#[test]
fn a_cut_zone_is_silent_for_other_zones_and_a_lost_zone_is_silent_for_all() {
    let timelines = timelines(
        "[[trouble]]\nkind='zone-cut'\nat=2\nfor=2\nzone='b'\n[[trouble]]\nkind='zone-lost'\nat=10\nfor=9\nzone='b'",
    );
    let reachability = |server, zones, at| timelines.reachability(server, zones, at * SECOND).0;
    assert_eq!(reachability(1, (1, 0), 3), Reachability::Silent);
    assert_eq!(
        (reachability(1, (1, 1), 3), reachability(0, (0, 0), 3), reachability(1, (1, 0), 4)),
        (Reachability::Up, Reachability::Up, Reachability::Up)
    );
    assert_eq!(
        (reachability(3, (1, 1), 12), reachability(3, (1, 1), 19)),
        (Reachability::Silent, Reachability::Up)
    );
    assert_eq!(timelines.origin_reachability(1, 3 * SECOND), (Reachability::Silent, 4 * SECOND));
}

#[test]
fn a_late_list_delays_the_changes_within_its_span() {
    let delay = "[[trouble]]\nkind='list-late'\nat=0\nfor=3\nby=5\n";
    let timelines = timelines(&format!("{delay}[[trouble]]\nkind='restarts'\nat=1\ndown=6\ncaches=[0]"));
    let seen: Vec<_> =
        timelines.list_updates.iter().map(|update| (update.published_at / 100_000, update.status)).collect();
    assert_eq!(seen, [(65, EndpointStatus::Gone), (75, EndpointStatus::Ready)]);
}
