//! Faults of the etcd cluster.

use chalkwalk_testbed::clock::SECOND;
use chalkwalk_testbed::experiment::Experiment;
use chalkwalk_testbed::model::etcd::{EtcdTimeline, StoreAction, TimedAction};

#[test]
fn etcd_faults_are_computed_in_advance() {
    let text = "title='t'\nseconds=40\n[fleet]\nsource='etcd'\n[load]\nrate=1\n[[namespace]]\nname='a'\ntarget_ms=9\n\
        limit_ms=10\nwork_ms=1\n[[trouble]]\nkind='etcd-down'\nat=2\nfor=3\n[[trouble]]\nkind='etcd-behind'\nat=1\nfor=9\n\
        by=0.5\n[[trouble]]\nkind='etcd-restore'\nat=20\nby=4\n[[trouble]]\nkind='etcd-compact'\nat=3";
    let timeline = EtcdTimeline::new(&Experiment::parse(text).unwrap());
    assert_eq!((timeline.is_down(3 * SECOND), timeline.is_down(5 * SECOND)), (true, false));
    assert_eq!(
        (timeline.lag(2, 2 * SECOND), timeline.lag(1, 2 * SECOND), timeline.lag(2, 11 * SECOND)),
        (500_000, 0, 0)
    );
    assert_eq!(
        [0, 2, 20].map(|s| timeline.next_connection_reset(s * SECOND)),
        [Some(2 * SECOND), Some(20 * SECOND), None]
    );
    assert_eq!(
        timeline.actions,
        [
            TimedAction { at: 3 * SECOND, action: StoreAction::Compact },
            TimedAction { at: 20 * SECOND, action: StoreAction::Restore(4 * SECOND) },
        ]
    );
}
