//! The times of calls against the term within which a change has to be notified.

use super::{give_up_after, silent_after, watch_wait};
use chalkwalk_balancer::discovery::{LONGEST_QUEUE_WAIT, NOTIFIED_WITHIN, WATCH_SILENT_AFTER};
use std::time::Duration;

/// A call is made beside a silent one by the time at which a change counts as notified, and,
/// answered at the end of its turn, brings it within half a second of when what the silent one
/// missed does. No call is silent before its wait is over.
#[test]
fn a_silent_call_is_followed_by_one_that_is_in_time() {
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
        assert!(silent < give_up_after(wait), "{wait:?}: given up before another is made");
    }
}
