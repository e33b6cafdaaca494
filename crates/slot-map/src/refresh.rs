//! When the map is asked for anew, and of whom: never by more than one call at a time.

use chalkwalk_time::{Span, Timestamp};

/// With nothing amiss. Failovers and moves tell themselves by failures and redirections; a node that was removed and runs on does
/// not, and counts as gone within the term for changes, of which two nodes that hang may take a second each.
const REFRESH_INTERVAL: Span = Span::from_secs(3);
/// After a redirection or failure, at the soonest: a rebalance redirects thousands of requests, and one view tells all.
const MIN_INTERVAL: Span = Span::from_millis(250);
/// After a view that could not be had; doubled up to eight times that.
const BACKOFF: Span = Span::from_millis(250);
const MAX_DOUBLINGS: u32 = 3;

#[derive(Clone, Debug, Default)]
pub struct RefreshSchedule {
    out: bool,
    wanted: bool,
    fails: u32,
    last: Option<Timestamp>,
    turn: usize,
}

impl RefreshSchedule {
    /// Something says that the map is wrong.
    pub fn request(&mut self) {
        self.wanted = true;
    }

    /// When the next call is due; none while one is out.
    pub fn next_due(&self) -> Option<Timestamp> {
        if self.out {
            return None;
        }
        let Some(last) = self.last else { return Some(Timestamp::ZERO) };
        Some(match (self.fails, self.wanted) {
            (0, true) => last + MIN_INTERVAL,
            (0, false) => last + REFRESH_INTERVAL,
            (n, _) => last + BACKOFF * (1 << (n - 1).min(MAX_DOUBLINGS)),
        })
    }

    /// A call goes out now, to the node at this turn of all: each in its turn, as any may be cut off.
    pub fn start(&mut self, now: Timestamp, nodes: usize) -> usize {
        self.out = true;
        self.wanted = false;
        self.last = Some(now);
        self.turn = self.turn.wrapping_add(1);
        self.turn % nodes.max(1)
    }

    pub fn finish(&mut self, now: Timestamp, good: bool) {
        self.out = false;
        self.last = Some(now);
        self.fails = if good { 0 } else { self.fails + 1 };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_call_at_a_time_soon_after_a_redirection_and_seldom_else() {
        let mut r = RefreshSchedule::default();
        assert_eq!(
            (r.next_due(), r.start(Timestamp::from_ticks(100), 3), r.next_due()),
            (Some(Timestamp::ZERO), 1, None)
        );
        r.request();
        r.finish(Timestamp::from_ticks(200), true);
        assert_eq!(r.next_due(), Some(Timestamp::from_ticks(200) + MIN_INTERVAL));
        assert_eq!(r.start(Timestamp::from_ticks(3000), 3), 2);
        r.finish(Timestamp::from_ticks(3000), true);
        assert_eq!(r.next_due(), Some(Timestamp::from_ticks(3000) + REFRESH_INTERVAL));
        for fails in 1..9 {
            r.start(Timestamp::from_ticks(5000), 3);
            r.finish(Timestamp::from_ticks(5000), false);
            assert_eq!(r.next_due(), Some(Timestamp::from_ticks(5000) + BACKOFF * (1 << (fails - 1).min(3))));
        }
    }
}
