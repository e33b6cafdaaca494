//! Delays the return of a server that comes back too often: each return would move its keys, and
//! each time it comes back in slow start.

use chalkwalk_time::{Span, Timestamp};

/// Returns within the window that are admitted at once; further ones wait, longer each time.
const UNDELAYED_RETURNS: u32 = 3;
const WINDOW: Span = Span::from_secs(60);
const FIRST_DELAY: Span = Span::from_secs(5);
/// Five seconds doubled so often are 80.
const MAX_DOUBLINGS: u32 = 4;

/// Whether a server may return to service now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReturnDecision {
    /// It is in service.
    Admitted,
    /// It is listed as in service too often, and waits from now on.
    NewlyDelayed,
    /// It waits still.
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
    /// Decides on a server that was out of service and is listed as in service.
    pub fn try_return(&mut self, now: Timestamp) -> ReturnDecision {
        let newly_delayed = self.delayed_until.is_none() && self.count_return(now);
        if self.delayed_until.is_some_and(|until| now < until) {
            return if newly_delayed { ReturnDecision::NewlyDelayed } else { ReturnDecision::Delayed };
        }
        self.delayed_until = None;
        ReturnDecision::Admitted
    }

    /// The server is no longer listed as in service: the next return is a new one.
    pub fn cancel_delay(&mut self) {
        self.delayed_until = None;
    }

    /// When a delayed return is due.
    pub fn delayed_until(&self) -> Option<Timestamp> {
        self.delayed_until
    }

    /// Counts a return, and says whether it is one too many and delayed.
    fn count_return(&mut self, now: Timestamp) -> bool {
        if now >= self.window_start + WINDOW {
            self.returns = 0;
            self.window_start = now;
        }
        self.returns += 1;
        if self.returns <= UNDELAYED_RETURNS {
            return false;
        }
        let doublings = (self.returns - UNDELAYED_RETURNS - 1).min(MAX_DOUBLINGS);
        let until = now + FIRST_DELAY * (1 << doublings);
        self.delayed_until = Some(until);
        // It counts as flapping until it was steady for a while after that.
        self.window_start = until;
        true
    }
}
