//! When calls for the list are made and how long they may take. Decides without I/O or a clock: chance and the grace of
//! drains are passed in.
//!
//! What a call has to tell counts as told at the latest 6 s after it fell silent, and where it may wait 2 s after its wait is
//! over, whether or not it has come. From then on the grace runs, so a list that may be silent is asked anew before.

use std::time::Duration;

/// The longest that a watch waits: half of the 20 s in the protocol's example, so that one that has gone silent is
/// noticed while the list is still young.
const WATCH_MS: u64 = 10_000;
/// How long the list's service lets a call wait for its turn.
pub const TURN: Duration = Duration::from_secs(2);
/// When a call that does not wait counts as answered.
const TOLD: Duration = Duration::from_secs(6);
/// How long a call may take beside its wait. The list is one small service for all, and works through its calls in turn:
/// where it is asked for more than it can do, whoever is let in waits as long as it allows. A call given up before is work
/// done for nobody, and each of a hundred proxies asks again: so twice that.
const CALL: Duration = Duration::from_secs(4);
/// An answer that makes no sense is followed by another call in a moment, within this.
const AT_ONCE_MS: u64 = 100;

/// How long a watch waits for news, at the longest: from half of the longest on by chance. Those of a whole fleet begin
/// together, after each change, and would all have to be answered in the same moment.
pub fn watch(chance: &mut fastrand::Rng) -> Duration {
    Duration::from_millis(chance.u64(WATCH_MS / 2..=WATCH_MS))
}

/// A moment after which an answer that made no sense is asked for again: well within the 200 ms for which a watch goes on
/// after it, in which what changes counts as told, and not at the same moment in all proxies.
pub fn at_once(chance: &mut fastrand::Rng) -> Duration {
    Duration::from_millis(chance.u64(0..AT_ONCE_MS))
}

/// After how long a call without an answer is taken for silent, and the list asked anew beside it: so that the second is
/// answered, even if it waits for its turn as long as it may, within the grace of what counts as told by then. Half of the
/// grace is left for that, and no more than a turn.
pub fn silent(wait: Duration, grace: Duration) -> Duration {
    let told = (wait + TURN).max(TOLD);
    told - TURN + (grace / 2).min(TURN)
}

/// After how long a call without an answer is given up.
pub fn over(wait: Duration) -> Duration {
    wait + CALL
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A call begun when one counts as silent, and answered at the end of its turn, is in time; and a call is not taken for
    /// silent before its wait is over. The protocol's figures, in seconds: 6, and 2 after the wait.
    #[test]
    fn a_silent_call_is_followed_by_one_that_is_in_time() {
        for (wait, told) in [(0, 6), (4, 6), (5, 7), (10, 12)].map(|(w, t)| (w * 1000, t * 1000)) {
            for grace in [0, 200, 1000, 3000, 20_000] {
                let at = silent(Duration::from_millis(wait), Duration::from_millis(grace)).as_millis() as u64;
                assert!(wait <= at && at + 2000 <= told + grace, "{wait} {grace}: {at}");
            }
        }
    }
}
