//! The timing of calls, checked against the deadline within which a change has to be notified.

use super::{call_timeout, silent_after, watch_wait};
use chalkwalk_balancer::discovery::{MAX_NOTIFICATION_DELAY, MAX_QUEUE_WAIT, WATCH_SILENCE_TIMEOUT};
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
        let notified = (wait + Duration::from(MAX_QUEUE_WAIT)).max(Duration::from(MAX_NOTIFICATION_DELAY));
        assert!(wait < silent && silent <= Duration::from(MAX_NOTIFICATION_DELAY), "{wait:?}: {silent:?}");
        assert!(
            silent + Duration::from(MAX_QUEUE_WAIT) <= notified + Duration::from(WATCH_SILENCE_TIMEOUT),
            "{wait:?}: {silent:?}"
        );
        assert!(
            silent < call_timeout(wait),
            "{wait:?}: the call is given up before a parallel one is started"
        );
    }
}
