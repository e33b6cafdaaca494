//! How long single calls to the discovery service may take. This module performs no I/O and reads
//! no clock, and the random generator is passed in. The notification deadline to which these times
//! add up, and the backoff after failed calls, are defined in `chalkwalk_balancer::discovery`.
//!
//! A change that a silent call fails to deliver counts as notified at the latest 6 s after the call
//! fell silent, or 2 s after the end of its wait if that is later. A call can fall silent at any
//! moment from its start on, so the earliest time at which the 6 s can end is 6 s after the start
//! of the call. A watch therefore waits for at most 5.5 s, so that the parallel call to a silent
//! one is started by then.

use chalkwalk_balancer::discovery::{MAX_WATCH_WAIT, POLL_SILENCE_TIMEOUT, WATCH_SILENCE_TIMEOUT};
use std::time::Duration;

/// How long a call may take in addition to its wait for a change. Discovery is one small service
/// for all proxies and processes its calls in order; under overload, each accepted call waits in
/// the queue for as long as the service allows. If proxies gave up their calls earlier, the service
/// would still process these calls, and each of a hundred proxies would call again. The timeout is
/// therefore twice the longest queue wait. A parallel call is started in the meantime.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The maximum delay of the call that follows an unusable response, in milliseconds (exclusive).
const MAX_REPEAT_DELAY_MS: u64 = 100;

/// Returns how long a watch waits for a change: a random time between three quarters of the longest
/// wait and the longest wait. The watches of the whole fleet start together after each change;
/// without the randomness, the service would have to respond to all of them at the same moment.
pub(crate) fn watch_wait(random: &mut fastrand::Rng) -> Duration {
    let max_wait_ms = Duration::from(MAX_WATCH_WAIT).as_millis() as u64;
    Duration::from_millis(random.u64(max_wait_ms * 3 / 4..=max_wait_ms))
}

/// Returns the delay before a call is repeated after an unusable response. The service continues a
/// watch for 200 ms after a response, and changes in this time count as notified; the delay is well
/// below that, and is random so that not all proxies call at the same moment.
pub(crate) fn repeat_delay(random: &mut fastrand::Rng) -> Duration {
    Duration::from_millis(random.u64(0..MAX_REPEAT_DELAY_MS))
}

/// Returns the time after which a call without a response counts as silent, and a parallel call is
/// started. Changes that the silent call missed count as notified at the time that the module's
/// documentation states. Even if the parallel call waits in the queue for as long as possible, it
/// gets its response at most half a second after that time. The grace period of a drain has to
/// cover this delay, as it covers that of a stalled process.
pub(crate) fn silent_after(wait: Duration) -> Duration {
    (wait + Duration::from(WATCH_SILENCE_TIMEOUT)).max(Duration::from(POLL_SILENCE_TIMEOUT))
}

/// Returns the time after which a call without a response is given up.
pub(crate) fn call_timeout(wait: Duration) -> Duration {
    wait + CALL_TIMEOUT
}

#[cfg(test)]
mod tests;
