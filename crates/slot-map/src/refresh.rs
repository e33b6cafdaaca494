//! When the map is asked for anew, and of whom: never by more than one call at a time.

use chalkwalk_time::{Span, Timestamp};

/// With nothing amiss. Failovers and moves tell themselves by failures and redirections; a node that was removed and runs on does
/// not, and counts as gone within the term for changes, of which two nodes that hang may take a second each.
const BY_TIMER: Span = Span::from_secs(3);
/// After a redirection or failure, at the soonest: a rebalance redirects thousands of requests, and one view tells all.
const AT_LEAST: Span = Span::from_millis(250);
/// After a view that could not be had; doubled up to eight times that.
const AGAIN: Span = Span::from_millis(250);
const DOUBLINGS: u32 = 3;

#[derive(Clone, Debug, Default)]
pub struct Refresh {
    out: bool,
    wanted: bool,
    fails: u32,
    last: Option<Timestamp>,
    turn: usize,
}

impl Refresh {
    /// Something says that the map is wrong.
    pub fn want(&mut self) {
        self.wanted = true;
    }

    /// When the next call is due; none while one is out.
    pub fn due(&self) -> Option<Timestamp> {
        if self.out {
            return None;
        }
        let Some(last) = self.last else { return Some(Timestamp::ZERO) };
        Some(match (self.fails, self.wanted) {
            (0, true) => last + AT_LEAST,
            (0, false) => last + BY_TIMER,
            (n, _) => last + AGAIN * (1 << (n - 1).min(DOUBLINGS)),
        })
    }

    /// A call goes out now, to the node at this turn of all: each in its turn, as any may be cut off.
    pub fn begin(&mut self, now: Timestamp, nodes: usize) -> usize {
        self.out = true;
        self.wanted = false;
        self.last = Some(now);
        self.turn = self.turn.wrapping_add(1);
        self.turn % nodes.max(1)
    }

    pub fn ended(&mut self, now: Timestamp, good: bool) {
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
        let mut r = Refresh::default();
        assert_eq!(
            (r.due(), r.begin(Timestamp::from_ticks(100), 3), r.due()),
            (Some(Timestamp::ZERO), 1, None)
        );
        r.want();
        r.ended(Timestamp::from_ticks(200), true);
        assert_eq!(r.due(), Some(Timestamp::from_ticks(200) + AT_LEAST));
        assert_eq!(r.begin(Timestamp::from_ticks(3000), 3), 2);
        r.ended(Timestamp::from_ticks(3000), true);
        assert_eq!(r.due(), Some(Timestamp::from_ticks(3000) + BY_TIMER));
        for fails in 1..9 {
            r.begin(Timestamp::from_ticks(5000), 3);
            r.ended(Timestamp::from_ticks(5000), false);
            assert_eq!(r.due(), Some(Timestamp::from_ticks(5000) + AGAIN * (1 << (fails - 1).min(3))));
        }
    }
}
