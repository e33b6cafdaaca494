//! How long single calls to discovery may take. Decides without I/O or a clock: chance is passed in. The term that all of it
//! adds up to, and the rests after calls that failed, are `chalkwalk_balancer::discovery`'s.
//!
//! What a call has to tell counts as told at the latest 6 s after it fell silent, or 2 s after its wait is over where that is
//! later. A watch waits for 5.5 s at most, so that another call is made beside a silent one before the first of the two.

use chalkwalk_balancer::discovery::{SILENT_AFTER, WATCH, WATCH_SILENT_AFTER};
use std::time::Duration;

/// How long a call may take beside its wait. Discovery is one small service for all, and works through its calls in turn:
/// where it is asked for more than it can do, whoever is let in waits as long as it allows. A call given up before is work
/// done for nobody, and each of a hundred proxies asks again: so twice a turn. Another is made beside it meanwhile.
const CALL: Duration = Duration::from_secs(4);
/// An answer that makes no sense is followed by another call in a moment, within this.
const AT_ONCE_MS: u64 = 100;

/// How long a watch waits for news, at the longest: from three quarters of the longest on by chance. Those of a whole fleet
/// begin together, after each change, and would all have to be answered in the same moment.
pub fn watch(chance: &mut fastrand::Rng) -> Duration {
    let most = Duration::from(WATCH).as_millis() as u64;
    Duration::from_millis(chance.u64(most * 3 / 4..=most))
}

/// A moment after which an answer that made no sense is asked for again: well within the 200 ms for which a watch goes on
/// after it, in which what changes counts as told, and not at the same moment in all proxies.
pub fn at_once(chance: &mut fastrand::Rng) -> Duration {
    Duration::from_millis(chance.u64(0..AT_ONCE_MS))
}

/// After how long a call without an answer is taken for silent, and the list asked anew beside it: so that the second is
/// answered, even if it waits for its turn as long as it may, within half a second of the time at which what the first missed
/// counts as told, which the grace has to cover as it covers a process that is held up.
pub fn silent(wait: Duration) -> Duration {
    (wait + Duration::from(WATCH_SILENT_AFTER)).max(Duration::from(SILENT_AFTER))
}

/// After how long a call without an answer is given up.
pub fn over(wait: Duration) -> Duration {
    wait + CALL
}

#[cfg(test)]
mod tests {
    use super::*;
    use chalkwalk_balancer::discovery::{NOTIFIED_WITHIN, TURN};

    /// A call is made beside a silent one by the time at which a change counts as told, and, answered at the end of its turn, tells
    /// it within half a second of when what the silent one missed does. No call is taken for silent before its wait is over.
    #[test]
    fn a_silent_call_is_followed_by_one_that_is_in_time() {
        let mut chance = fastrand::Rng::with_seed(7);
        let waits = (0..1000).map(|_| watch(&mut chance)).chain([Duration::ZERO]);
        for wait in waits {
            let at = silent(wait);
            let told = (wait + Duration::from(TURN)).max(Duration::from(NOTIFIED_WITHIN));
            assert!(wait < at && at <= Duration::from(NOTIFIED_WITHIN), "{wait:?}: {at:?}");
            assert!(
                at + Duration::from(TURN) <= told + Duration::from(WATCH_SILENT_AFTER),
                "{wait:?}: {at:?}"
            );
            assert!(at < over(wait), "{wait:?}: given up before another is made");
        }
    }
}
