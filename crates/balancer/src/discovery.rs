//! Decides when discovery is called, and how soon again after a failed call. The functions are
//! pure: times and random draws are passed in.
//!
//! The same time limit applies to every source of the endpoint list: a change counts as notified,
//! and the drain grace period begins, [`MAX_NOTIFICATION_DELAY`] after discovery had the change and
//! was reachable, even if earlier calls failed, were refused or timed out. These parts add up to
//! that limit:
//!
//! | part | at most |
//! | --- | --- |
//! | a failing call, until its failure or a parallel call | [`CONNECT_TIMEOUT`], [`POLL_SILENCE_TIMEOUT`] |
//! | the backoff after it, which gets shorter the longer the call took | [`Backoff`] |
//! | the next call's wait in the queue of the service | [`MAX_QUEUE_WAIT`] |
//!
//! The first part is spent on a call that fails because discovery was unreachable when it began.
//! A call that a service refuses at once because it has too many callers is repeated sooner, as the
//! time of the failed calls before it counts: see [`backoff_after_refusal`].
//!
//! At most [`MAX_CALL_INTERVAL`] passes between the beginning of a failed call and that of the next
//! one; this is checked at run time.
//!
//! Backoffs are random and spread as widely as the limit allows, instead of being as short as
//! possible, because all proxies of a fleet lose discovery together and reach it again together.
//! With the calls spread over 3 s and a wait of up to 2 s in the queue, a service that takes 5 s to
//! answer the whole fleet once refuses none of them.

use crate::snapshot::stored;
use chalkwalk_time::Span;

const SECOND: Span = Span::from_secs(1);

/// The longest time from when discovery has a change and is reachable until the change counts as
/// notified.
pub const MAX_NOTIFICATION_DELAY: Span = Span::from_secs(6);
/// The longest time that the service lets a call wait in its queue.
pub const MAX_QUEUE_WAIT: Span = Span::from_secs(2);
/// The timeout for connecting to discovery. The first SYN is sent again after 1 s.
pub const CONNECT_TIMEOUT: Span = Span::from_secs(2);
/// If a call for the current list has no answer after this time, another call is made in parallel.
/// It is a second longer than the longest wait in the queue, so that no call is repeated to a
/// service that is merely busy.
pub const POLL_SILENCE_TIMEOUT: Span = MAX_QUEUE_WAIT.plus(SECOND);

/// The longest time that a watch may wait for an event. What a silent watch misses counts as
/// notified 2 s after its wait is over. A shorter wait costs every proxy more calls while nothing
/// changes; with a longer one, a silent watch would stay unnoticed for longer than any other fault.
pub const MAX_WATCH_WAIT: Span = Span::from_millis(5_500);
/// If a watch has no answer this long after the end of its wait, it is considered silent, and
/// another call is made in parallel.
pub const WATCH_SILENCE_TIMEOUT: Span = Span::from_millis(500);
/// The longest time from the beginning of a failed call to that of the next. What the failed call
/// missed is notified by the next one, at the latest at the end of its wait in the queue.
pub const MAX_CALL_INTERVAL: Span = MAX_NOTIFICATION_DELAY.minus(MAX_QUEUE_WAIT);

/// The shortest backoff: without it, calls that fail at once would be repeated in a busy loop.
const MIN_BACKOFF: Span = Span::from_millis(250);
/// Slack in the call interval for CPU starvation, and for the transfer and parsing of a long list.
const HEADROOM: Span = Span::from_millis(250);
/// The longest time from the beginning of a failed call to the planned beginning of the next.
const MAX_RETRY_INTERVAL: Span = MAX_CALL_INTERVAL.minus(HEADROOM);
/// A call that took at least this long counts as having waited in the queue. The value is half of
/// the longest wait, and well above what a call takes on a busy machine.
const MIN_QUEUED_CALL_TIME: Span = Span::from_secs(1);
/// The shortest backoff after a call that waited in the queue. A service that still works on calls
/// that it has already refused has to answer a whole fleet's calls between one call of a proxy and
/// its next: that interval is 3.5 s with the wait in the queue.
const MIN_BACKOFF_AFTER_QUEUE: Span = Span::from_millis(1_500);
/// If more calls than this fail in a row, the last one after waiting in the queue, the service
/// counts as congested by the fleet itself. It takes over a minute of nothing but failures to get
/// there.
const CONGESTION_FAILURES: u32 = 20;
/// The shortest and longest backoff while the service is congested. This is the only exception to
/// the time limit for noticing changes: a fleet that kept to the limit would prevent the service
/// from answering any proxy. The mean of eight seconds lets a queue of five seconds drain first.
const CONGESTION_BACKOFF: (Span, Span) = (Span::from_secs(4), Span::from_secs(12));

/// If a call fails while an older one is still running, the answer to the older call is accepted
/// until this long after the beginning of the newer one; then the shortest backoff follows.
pub const OLDER_CALL_TIMEOUT: Span = MAX_RETRY_INTERVAL.minus(MIN_BACKOFF.times(2));

// Each kind of call fails early enough for the next one to begin within the time limit.
const _: () = assert!(CONNECT_TIMEOUT.plus(MIN_BACKOFF.times(2)).is_at_most(MAX_RETRY_INTERVAL));
const _: () = assert!(POLL_SILENCE_TIMEOUT.is_at_most(MAX_RETRY_INTERVAL));
const _: () = assert!(WATCH_SILENCE_TIMEOUT.plus(MIN_BACKOFF.times(2)).is_at_most(MAX_QUEUE_WAIT));
// A silent watch is followed by another call before the changes that it misses count as notified.
const _: () = assert!(MAX_WATCH_WAIT.plus(WATCH_SILENCE_TIMEOUT).is_at_most(MAX_NOTIFICATION_DELAY));

/// Whether a call that begins `interval` after the previous one is within the time limit for
/// noticing changes. `watch_wait` is how long the previous call could wait for an event. The drain
/// grace period covers the headroom.
pub fn call_interval_allowed(interval: Span, watch_wait: Span) -> bool {
    // A watch may fail just before it counts as silent, and the shortest backoff follows. What it
    // missed counts as notified one queue wait after the end of its own wait.
    let watch_interval = if watch_wait > Span::ZERO {
        watch_wait + WATCH_SILENCE_TIMEOUT + 2 * MIN_BACKOFF
    } else {
        Span::ZERO
    };
    interval <= MAX_CALL_INTERVAL.max(watch_interval) + HEADROOM
}

/// The longest backoff after a refused call for which no call within the limit is left.
const MAX_BACKOFF_PAST_LIMIT: Span = MIN_BACKOFF.times(2);

/// The backoff after a call that a service refused at once because it has too many callers. The
/// service was reachable then, and may have been for `may_miss_changes_for`, the time since the
/// proxy last had its list or called a service that it could not reach: changes since then count as
/// notified [`MAX_NOTIFICATION_DELAY`] after they were made, whether or not calls are refused.
///
/// Until the last call that keeps to this limit is due, half of the time left for it is used. From
/// then on until the limit is over, an answer may still come in time if the queue is short. `None`
/// if it is over: the usual [`Backoff`] applies.
pub fn backoff_after_refusal(
    may_miss_changes_for: Span,
    random_below: impl FnOnce(Span) -> Span,
) -> Option<Span> {
    if may_miss_changes_for >= MAX_NOTIFICATION_DELAY {
        return None;
    }
    let time_left = MAX_CALL_INTERVAL.saturating_sub(may_miss_changes_for);
    let max_backoff = (time_left / 2).max(MAX_BACKOFF_PAST_LIMIT);
    let backoff = MIN_BACKOFF + random_below(max_backoff - MIN_BACKOFF);
    // The last call within the limit is not missed by a fraction of a backoff.
    Some(if time_left > Span::ZERO { backoff.min(time_left) } else { backoff })
}

/// Whether a refused call that took this long was refused at once, and not after a wait in the
/// queue.
pub fn was_refused_at_once(took: Span) -> bool {
    took < MIN_QUEUED_CALL_TIME
}

/// Counts the calls to discovery that failed in a row.
#[derive(Default)]
pub(crate) struct DiscoveryCalls {
    failures: u32,
}

stored! { DiscoveryCalls { failures } }

impl DiscoveryCalls {
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failed call. Returns whether it is the first in a row.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Records an answered call. Returns whether failed calls were counted before it. One answer
    /// does not end congestion: it only lowers a higher count to the threshold.
    pub fn record_answer(&mut self) -> bool {
        let congested = self.failures > CONGESTION_FAILURES;
        std::mem::replace(&mut self.failures, if congested { CONGESTION_FAILURES } else { 0 }) > 0
    }
}

/// The backoff after failed calls, within the bounds that the settings of a deployment give.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backoff {
    min_delay: Span,
    /// The longest time from the beginning of the failed call to the next call.
    max_interval: Span,
    /// The longest backoff after any call.
    max_delay: Span,
}

impl Backoff {
    /// The backoff for a list that is polled. `max_time_without_poll` is the longest time that a
    /// proxy may go without a watch or a poll.
    pub fn polled(max_time_without_poll: Span) -> Backoff {
        Backoff {
            min_delay: MIN_BACKOFF,
            max_interval: MAX_RETRY_INTERVAL,
            max_delay: max_time_without_poll.max(2 * MIN_BACKOFF),
        }
    }

    /// The backoff for a list that is pushed by the process's own agent. A change counts as
    /// notified as soon as the agent has it, so calls have to be repeated within the drain grace
    /// period. A backoff of at most a quarter of that period leaves time for further calls. It may
    /// be short, because no other process uses the agent.
    pub fn pushed(grace: Span) -> Backoff {
        let max_delay = (grace / 4).clamp(SECOND / 20, MAX_RETRY_INTERVAL);
        Backoff { min_delay: max_delay / 4, max_interval: MAX_RETRY_INTERVAL, max_delay }
    }

    /// The backoff after a call that took `took` and was the last of `consecutive_failures` failed
    /// ones. `random_below` draws a uniformly distributed span below its argument.
    pub fn delay(
        &self,
        took: Span,
        consecutive_failures: u32,
        random_below: impl FnOnce(Span) -> Span,
    ) -> Span {
        let was_queued = took >= MIN_QUEUED_CALL_TIME;
        let (min_delay, max_delay) = match was_queued && consecutive_failures > CONGESTION_FAILURES {
            true => CONGESTION_BACKOFF,
            false => {
                let min_delay = if was_queued { MIN_BACKOFF_AFTER_QUEUE } else { self.min_delay };
                (min_delay, self.max_interval.saturating_sub(took).max(2 * self.min_delay))
            }
        };
        let max_delay = max_delay.min(self.max_delay);
        let min_delay = min_delay.min(max_delay * 9 / 10);
        min_delay + random_below((max_delay - min_delay).max(Span::TICK))
    }
}
