//! How long single calls to the discovery service may take. Decides without I/O or a clock: the
//! random generator is passed in. The term that all of it adds up to, and the backoff after failed
//! calls, are in `chalkwalk_balancer::discovery`.
//!
//! A change that a call has to bring counts as notified at the latest 6 s after the call fell
//! silent, or 2 s after its wait is over where that is later. A watch waits for 5.5 s at most, so
//! that another call is made beside a silent one before the first of the two.

use chalkwalk_balancer::discovery::{LONGEST_WATCH_WAIT, POLL_SILENT_AFTER, WATCH_SILENT_AFTER};
use std::time::Duration;

/// How long a call may take beside its wait. Discovery is one small service for all, and works
/// through its calls in turn: where there are more than it can answer, each that it accepts waits
/// as long as it allows. A call that is given up before is work done for nobody, and each of a
/// hundred proxies calls again: so twice a turn. Another call is made beside it meanwhile.
const CALL: Duration = Duration::from_secs(4);
/// An answer that can't be used is followed by another call within this time, in milliseconds.
const REPEAT_WITHIN_MS: u64 = 100;

/// How long a watch waits for a change: at random from three quarters of the longest wait on. Those
/// of a whole fleet begin together, after each change, and would all have to be answered in the
/// same moment.
pub(crate) fn watch_wait(random: &mut fastrand::Rng) -> Duration {
    let longest = Duration::from(LONGEST_WATCH_WAIT).as_millis() as u64;
    Duration::from_millis(random.u64(longest * 3 / 4..=longest))
}

/// How long until the call is repeated after an answer that can't be used: well within the 200 ms
/// for which a watch goes on at the service after an answer, in which changes count as notified,
/// and not at the same moment in all proxies.
pub(crate) fn repeat_delay(random: &mut fastrand::Rng) -> Duration {
    Duration::from_millis(random.u64(0..REPEAT_WITHIN_MS))
}

/// After how long a call without an answer counts as silent, and another is made beside it. The
/// second is then answered, even if it waits for its turn as long as it may, within half a second
/// of the time at which what the first missed counts as notified. The grace period of a drain has
/// to cover that, as it covers a process that is held up.
pub(crate) fn silent_after(wait: Duration) -> Duration {
    (wait + Duration::from(WATCH_SILENT_AFTER)).max(Duration::from(POLL_SILENT_AFTER))
}

/// After how long a call without an answer is given up.
pub(crate) fn give_up_after(wait: Duration) -> Duration {
    wait + CALL
}

#[cfg(test)]
mod tests;
