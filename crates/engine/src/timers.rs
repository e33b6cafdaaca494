//! The balancer's timers, in the order in which they fire.

#[cfg(test)]
mod tests;

use chalkwalk_time::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The order of the fields is the order of firing: of those due at the same moment the one set
/// first comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Timestamp,
    number: u64,
    token: u64,
}

/// Timers that are set and have not fired.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BinaryHeap<Reverse<Timer>>,
    set_so_far: u64,
}

impl TimerQueue {
    /// Sets a timer; whether it is due before all others.
    pub fn set(&mut self, due: Timestamp, token: u64) -> bool {
        let is_first = self.next_due().is_none_or(|first| due < first);
        self.set_so_far += 1;
        self.timers.push(Reverse(Timer { due, number: self.set_so_far, token }));
        is_first
    }

    /// When the first timer is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.timers.peek().map(|Reverse(timer)| timer.due)
    }

    /// Takes the token of the first timer out, if it is due by now.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<u64> {
        if self.next_due()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse(timer)| timer.token)
    }
}
