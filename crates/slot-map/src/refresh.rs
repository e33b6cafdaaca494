//! When the slot map is polled, and which node: never by more than one call at a time.

use chalkwalk_time::{Span, Timestamp};

/// Between two polls while nothing is amiss. Failovers and migrations show by failures and
/// redirections; a node that was removed and still runs does not, and has to count as gone within
/// the time limit for membership changes, of which two nodes that hang may take a second each.
const REFRESH_INTERVAL: Span = Span::from_secs(3);
/// At least between two polls after a redirection or failure: a rebalance redirects thousands of
/// requests, and one view covers them all.
const MIN_INTERVAL: Span = Span::from_millis(250);
/// After a poll that failed; doubled up to eight times that.
const BACKOFF: Span = Span::from_millis(250);
/// How often the backoff doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Schedules polls for the slot map.
#[derive(Clone, Debug, Default)]
pub struct RefreshSchedule {
    in_flight: bool,
    requested: bool,
    /// Polls that failed in a row.
    failures: u32,
    /// When the last poll started or finished.
    last: Option<Timestamp>,
    /// Counts polls, so that each node gets its turn.
    turn: usize,
}

impl RefreshSchedule {
    /// Requests a poll soon: something shows that the map is outdated.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// When the next poll is due; none while one is in flight.
    pub fn next_due(&self) -> Option<Timestamp> {
        if self.in_flight {
            return None;
        }
        let Some(last) = self.last else { return Some(Timestamp::ZERO) };
        let interval = match (self.failures, self.requested) {
            (0, true) => MIN_INTERVAL,
            (0, false) => REFRESH_INTERVAL,
            (failures, _) => BACKOFF * (1 << (failures - 1).min(MAX_DOUBLINGS)),
        };
        Some(last + interval)
    }

    /// A poll starts now. Returns which of so many nodes gets it: each in its turn, as any may be
    /// cut off from the others.
    pub fn start(&mut self, now: Timestamp, nodes: usize) -> usize {
        self.in_flight = true;
        self.requested = false;
        self.last = Some(now);
        self.turn = self.turn.wrapping_add(1);
        self.turn % nodes.max(1)
    }

    /// The poll in flight has ended.
    pub fn finish(&mut self, now: Timestamp, succeeded: bool) {
        self.in_flight = false;
        self.last = Some(now);
        self.failures = if succeeded { 0 } else { self.failures + 1 };
    }
}
