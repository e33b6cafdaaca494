//! Delays a server's return to service if it returns too often. Each return moves the server's keys
//! and puts it into slow start again.

use chalkwalk_time::{Span, Timestamp};

/// The number of returns within the window that are admitted immediately. Further ones are delayed,
/// longer each time.
const MAX_UNDELAYED_RETURNS: u32 = 3;
/// The time within which returns are counted.
const WINDOW: Span = Span::from_secs(60);
/// The delay of the first return above the limit. Each further return doubles it.
const FIRST_DELAY: Span = Span::from_secs(5);
/// Limits the delay to 80 s: 5 s, doubled four times.
const MAX_DOUBLINGS: u32 = 4;

/// Whether a server may return to service now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReturnDecision {
    /// The server returns to service now.
    Admitted,
    /// The server has returned too often; its return is delayed from now on.
    NewlyDelayed,
    /// The return is still delayed.
    Delayed,
}

/// The returns of one server within the window.
#[derive(Debug, Default)]
pub(super) struct FlapDamper {
    returns: u32,
    window_start: Timestamp,
    delayed_until: Option<Timestamp>,
}

impl FlapDamper {
    /// Decides whether a server that was out of service and is now listed as in service may return.
    pub fn try_return(&mut self, now: Timestamp) -> ReturnDecision {
        let newly_delayed = self.delayed_until.is_none() && self.count_return(now);
        if self.delayed_until.is_some_and(|return_due| now < return_due) {
            return if newly_delayed { ReturnDecision::NewlyDelayed } else { ReturnDecision::Delayed };
        }
        self.delayed_until = None;
        ReturnDecision::Admitted
    }

    /// Cancels a delayed return, because the server is no longer listed as in service. The next
    /// return is counted as a further one.
    pub fn cancel_delay(&mut self) {
        self.delayed_until = None;
    }

    /// When the delayed return is due, if there is one.
    pub fn delayed_until(&self) -> Option<Timestamp> {
        self.delayed_until
    }

    /// Counts a return, and returns whether it exceeds the limit and is delayed.
    fn count_return(&mut self, now: Timestamp) -> bool {
        if now >= self.window_start + WINDOW {
            self.returns = 0;
            self.window_start = now;
        }
        self.returns += 1;
        if self.returns <= MAX_UNDELAYED_RETURNS {
            return false;
        }
        let doublings = (self.returns - MAX_UNDELAYED_RETURNS - 1).min(MAX_DOUBLINGS);
        let return_due = now + FIRST_DELAY * (1 << doublings);
        self.delayed_until = Some(return_due);
        // The window restarts after the delay: the server counts as flapping until it has been
        // stable for a full window after its return.
        self.window_start = return_due;
        true
    }
}
