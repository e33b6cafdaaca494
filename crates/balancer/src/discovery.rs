//! Decides when discovery is called, and how soon again after a call that failed. Pure: times and random draws are passed in.
//!
//! Every source of the server list keeps one term: a change counts as notified [`NOTIFIED_WITHIN`] after discovery had it and
//! could be reached, whatever calls failed, were refused or were given up before. The parts below add up to that term:
//!
//! | part | at most |
//! | --- | --- |
//! | a call that was bound to fail as discovery could not be reached, until it has failed or another is made beside it | [`CONNECT_TIMEOUT`], [`POLL_SILENT_AFTER`] |
//! | the backoff after it, the shorter the longer it took | [`Backoff`] |
//! | the next call's wait in the queue of the service | [`LONGEST_QUEUE_WAIT`] |
//!
//! So a call that failed and the next one begin [`LONGEST_CALL_INTERVAL`] at most; that is checked at run time.
//!
//! A backoff is spread as evenly as the term allows, not as short as it could be: all processes of a fleet lose discovery
//! together, and meet it again together. Spread over 3 s, with 2 s in which each may wait in its queue, a service that answers
//! the whole fleet once in 5 s refuses none of them.

use crate::snapshot::stored;
use chalkwalk_time::Span;

const SECOND: Span = Span::from_secs(1);

/// A change counts as notified at the latest so long after discovery had it and could be reached.
pub const NOTIFIED_WITHIN: Span = Span::from_secs(6);
/// How long the service lets a call wait in its queue.
pub const LONGEST_QUEUE_WAIT: Span = Span::from_secs(2);
/// A connection that does not come up is given up after so long. The first SYN is sent again after 1 s.
pub const CONNECT_TIMEOUT: Span = Span::from_secs(2);
/// A call for the present list that has no answer is followed by another beside it: a second beyond its wait in the queue, so
/// that no call is made twice to a service that merely has much to do.
pub const POLL_SILENT_AFTER: Span = LONGEST_QUEUE_WAIT.plus(SECOND);

/// How long a watch may wait for an event, at the most. What a silent one misses counts as notified 2 s after its wait is over; a
/// shorter wait costs every process more calls in calm times, a longer one leaves a silent watch unnoticed for longer than any
/// other fault.
pub const LONGEST_WATCH_WAIT: Span = Span::from_millis(5_500);
/// So long after its wait a watch without an answer is taken for silent, and another call is made beside it.
pub const WATCH_SILENT_AFTER: Span = Span::from_millis(500);
/// From the beginning of a call that failed to that of the next, at the most: what the first missed is notified by the next, at
/// the end of its wait in the queue at the latest.
pub const LONGEST_CALL_INTERVAL: Span = NOTIFIED_WITHIN.minus(LONGEST_QUEUE_WAIT);

/// No failing call is repeated sooner, or calls that fail at once would spin.
const MIN_BACKOFF: Span = Span::from_millis(250);
/// For starved cores, the transfer and reading a long list.
const HEADROOM: Span = Span::from_millis(250);
/// From the beginning of a call that failed to that of the next.
const MAX_RETRY_INTERVAL: Span = LONGEST_CALL_INTERVAL.minus(HEADROOM);
/// A call that took so long has waited in the queue: half of the longest wait, and well above what a call takes on a busy
/// machine.
const MIN_QUEUED_CALL_TIME: Span = Span::from_secs(1);
/// After a call that has waited in the queue no backoff is shorter, as a service that works on calls which it has refused by
/// then has to get through a whole fleet's calls from one call of a process to its next: 3.5 s with the wait.
const MIN_BACKOFF_AFTER_QUEUE: Span = Span::from_millis(1_500);
/// So many calls in a row that failed, the last after waiting, over a minute of nothing else, are taken for a service that the
/// fleet itself keeps from working.
const CONGESTION_FAILURES: u32 = 20;
/// The backoff then. It exceeds the term, and is the one exception: a fleet that keeps to the term would go on keeping the
/// service from answering anybody. Eight seconds in the mean, so that a queue of five seconds runs dry first.
const CONGESTION_BACKOFF: (Span, Span) = (Span::from_secs(4), Span::from_secs(12));

/// An older call beside a newer one that failed is accepted until so long after the beginning of the newer: the shortest backoff
/// follows.
pub const OLDER_CALL_TIMEOUT: Span = MAX_RETRY_INTERVAL.minus(MIN_BACKOFF.times(2));

// The term, part by part: what takes the longest before the next call can be made.
const _: () = assert!(CONNECT_TIMEOUT.plus(MIN_BACKOFF.times(2)).fits(MAX_RETRY_INTERVAL));
const _: () = assert!(POLL_SILENT_AFTER.fits(MAX_RETRY_INTERVAL));
const _: () = assert!(WATCH_SILENT_AFTER.plus(MIN_BACKOFF.times(2)).fits(LONGEST_QUEUE_WAIT));
// A silent watch is followed by another call while what it misses does not count as notified yet.
const _: () = assert!(LONGEST_WATCH_WAIT.plus(WATCH_SILENT_AFTER).fits(NOTIFIED_WITHIN));

/// Whether a call that begins so long after the one before keeps the term; that one could wait for an event for `wait`. The
/// grace of drains covers the headroom.
pub fn call_interval_allowed(interval: Span, watch_wait: Span) -> bool {
    // A watch may fail just before it is taken for silent, and the shortest backoff follows. What it missed counts as notified
    // a queue wait after its wait.
    let watched =
        if watch_wait > Span::ZERO { watch_wait + WATCH_SILENT_AFTER + 2 * MIN_BACKOFF } else { Span::ZERO };
    interval <= LONGEST_CALL_INTERVAL.max(watched) + HEADROOM
}

/// The calls to discovery that failed in a row.
#[derive(Default)]
pub(crate) struct DiscoveryCalls {
    failures: u32,
}

stored! { DiscoveryCalls { failures } }

impl DiscoveryCalls {
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A call failed; whether it is the first in a row.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// A call was answered; whether one had failed before. One answer does not end congestion.
    pub fn record_answer(&mut self) -> bool {
        let congested = self.failures > CONGESTION_FAILURES;
        std::mem::replace(&mut self.failures, if congested { CONGESTION_FAILURES } else { 0 }) > 0
    }
}

/// The backoff after failed calls, as the settings of a deployment bound them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backoff {
    min_delay: Span,
    /// From the beginning of the failed call on.
    max_interval: Span,
    /// The longest after any call.
    max_delay: Span,
}

impl Backoff {
    /// Where the list is polled. `ask_time`: for so long a process may neither watch nor poll.
    pub fn polled(max_poll_gap: Span) -> Backoff {
        Backoff {
            min_delay: MIN_BACKOFF,
            max_interval: MAX_RETRY_INTERVAL,
            max_delay: max_poll_gap.max(2 * MIN_BACKOFF),
        }
    }

    /// Where the list is pushed by an agent of the process's own: what it has counts as notified at once, and only the grace
    /// runs. A quarter of it leaves time for further tries; nobody shares the agent.
    pub fn pushed(grace: Span) -> Backoff {
        let max_delay = (grace / 4).clamp(SECOND / 20, MAX_RETRY_INTERVAL);
        Backoff { min_delay: max_delay / 4, max_interval: MAX_RETRY_INTERVAL, max_delay }
    }

    /// How long to wait after a call that took so long and failed, the last of so many in a row; `below` draws a uniform span
    /// below another.
    pub fn delay(
        &self,
        took: Span,
        consecutive_failures: u32,
        random_below: impl FnOnce(Span) -> Span,
    ) -> Span {
        let queued = took >= MIN_QUEUED_CALL_TIME;
        let (min_delay, max_delay) = match queued && consecutive_failures > CONGESTION_FAILURES {
            true => CONGESTION_BACKOFF,
            false => {
                let min_delay = if queued { MIN_BACKOFF_AFTER_QUEUE } else { self.min_delay };
                (min_delay, self.max_interval.saturating_sub(took).max(2 * self.min_delay))
            }
        };
        let max_delay = max_delay.min(self.max_delay);
        let min_delay = min_delay.min(max_delay * 9 / 10);
        min_delay + random_below((max_delay - min_delay).max(Span::TICK))
    }
}
