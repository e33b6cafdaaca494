//! The timing of calls, checked against the deadline within which a change has to be notified.

use super::{call_timeout, silent_after, watch_wait};
use chalkwalk_balancer::discovery::{LONGEST_QUEUE_WAIT, NOTIFIED_WITHIN, WATCH_SILENT_AFTER};
use std::time::Duration;

/// A parallel call is started by the time at which a change counts as notified. If it gets its
/// response after the longest wait in the queue, it delivers the change within half a second of the
/// time at which the changes that the silent call missed count as notified. No call is silent
/// before its wait has ended.
#[test]
fn a_silent_call_is_followed_by_a_parallel_call_in_time() {
    let mut random = fastrand::Rng::with_seed(7);
    let waits = (0..1000).map(|_| watch_wait(&mut random)).chain([Duration::ZERO]);
    for wait in waits {
        let silent = silent_after(wait);
        let notified = (wait + Duration::from(LONGEST_QUEUE_WAIT)).max(Duration::from(NOTIFIED_WITHIN));
        assert!(wait < silent && silent <= Duration::from(NOTIFIED_WITHIN), "{wait:?}: {silent:?}");
        assert!(
            silent + Duration::from(LONGEST_QUEUE_WAIT) <= notified + Duration::from(WATCH_SILENT_AFTER),
            "{wait:?}: {silent:?}"
        );
        assert!(
            silent < call_timeout(wait),
            "{wait:?}: the call is given up before a parallel one is started"
        );
    }
}
