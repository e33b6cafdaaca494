//! The schedule for polls of the slot map: when to poll, and which node. No more than one poll is
//! in flight at a time.

use chalkwalk_time::{Span, Timestamp};

/// Time between two polls while no error or redirection requests a refresh. Failovers and
/// migrations are noticed through failures and redirections, but a node that was removed from the
/// cluster and still runs causes neither. Polls have to detect its removal within the time limit
/// for membership changes, even if two nodes that hang are polled first and take a second each.
const REFRESH_INTERVAL: Span = Span::from_secs(3);
/// Minimum time between two polls after a redirection or a failed attempt. A rebalance redirects
/// thousands of requests, and one view of the cluster covers them all.
const MIN_REFRESH_INTERVAL: Span = Span::from_millis(250);
/// Delay after the first failed poll. It doubles with each further failure, up to eight times this
/// delay.
const INITIAL_BACKOFF: Span = Span::from_millis(250);
/// How many times the delay doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Schedules polls for the slot map.
#[derive(Clone, Debug, Default)]
pub struct RefreshSchedule {
    poll_in_flight: bool,
    refresh_requested: bool,
    /// The number of consecutive polls that failed.
    failed_polls: u32,
    /// The time at which the last poll started or finished.
    last_poll_at: Option<Timestamp>,
    /// The number of polls started, by which the node for the next poll is chosen.
    poll_count: usize,
}

impl RefreshSchedule {
    /// Requests a poll soon, because an error or a redirection indicates that the map is outdated.
    pub fn request(&mut self) {
        self.refresh_requested = true;
    }

    /// The time at which the next poll is due; `None` while a poll is in flight.
    pub fn next_due(&self) -> Option<Timestamp> {
        if self.poll_in_flight {
            return None;
        }
        let Some(last_poll_at) = self.last_poll_at else { return Some(Timestamp::ZERO) };
        let interval = match (self.failed_polls, self.refresh_requested) {
            (0, true) => MIN_REFRESH_INTERVAL,
            (0, false) => REFRESH_INTERVAL,
            (failed_polls, _) => INITIAL_BACKOFF * (1 << (failed_polls - 1).min(MAX_BACKOFF_DOUBLINGS)),
        };
        Some(last_poll_at + interval)
    }

    /// Records that a poll starts now, and returns the index of the node to poll. The nodes are
    /// polled in rotation, as any of them may be partitioned from the others.
    pub fn start(&mut self, now: Timestamp, node_count: usize) -> usize {
        self.poll_in_flight = true;
        self.refresh_requested = false;
        self.last_poll_at = Some(now);
        self.poll_count = self.poll_count.wrapping_add(1);
        self.poll_count % node_count.max(1)
    }

    /// Records that the poll in flight has ended.
    pub fn finish(&mut self, now: Timestamp, succeeded: bool) {
        self.poll_in_flight = false;
        self.last_poll_at = Some(now);
        self.failed_polls = if succeeded { 0 } else { self.failed_polls + 1 };
    }
}
