//! The balancer's timers, in the order in which they fire.

#[cfg(test)]
mod tests;

use chalkwalk_time::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer. The order of the fields is the order of firing: timers due at the same time fire in the
/// order in which they were set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Timestamp,
    sequence: u64,
    token: u64,
}

/// The timers that are set and have not fired.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer. Returns whether it is due before all others.
    pub fn set(&mut self, due: Timestamp, token: u64) -> bool {
        let is_first = self.next_due().is_none_or(|first| due < first);
        self.last_sequence += 1;
        self.timers.push(Reverse(Timer { due, sequence: self.last_sequence, token }));
        is_first
    }

    /// When the first timer is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.timers.peek().map(|Reverse(timer)| timer.due)
    }

    /// Removes the first timer if it is due, and returns its token.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<u64> {
        if self.next_due()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse(timer)| timer.token)
    }
}
