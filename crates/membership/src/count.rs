//! How many proxies share the servers, as counted where they can see each other, in place of the number that was written down.

use chalkwalk_time::{Span, Timestamp};

/// A fall is believed once so many spans, the present one included, have no higher count, which is a minute at the least: a
/// restart takes seconds, a wave of them half a minute.
const SPANS: usize = 7;
const SPAN: Span = Span::from_secs(10);
/// Whatever is counted, never less than half of what was written: a proxy that sees few others may be the one that is cut off,
/// and what it takes of a cold server is at most doubled. And never more than four times that, which would leave cold servers idle.
const LEAST_PART: u64 = 2;
const MOST_TIMES: u64 = 4;

/// The highest counts of the last minute, by spans of ten seconds.
#[derive(Clone, Debug)]
pub struct Count {
    written: u64,
    highest: [u64; SPANS],
    span: u64, // number of the present one, from zero on
}

impl Count {
    pub fn new(written: u64) -> Count {
        // As if what was written had just been counted.
        Count { written: written.max(1), highest: [written.max(1); SPANS], span: 0 }
    }

    fn pass(&mut self, now: Timestamp) {
        let span = now.whole_periods(SPAN);
        let passed = span.saturating_sub(self.span).min(SPANS as u64) as usize;
        if self.span == 0 && passed == SPANS {
            // The first word: what was written holds for a minute more.
            self.span = span;
            return;
        }
        self.highest.rotate_right(passed);
        self.highest[..passed].fill(0);
        self.span = span;
    }

    /// So many are live, this one included.
    pub fn counted(&mut self, now: Timestamp, live: u64) {
        self.pass(now);
        self.highest[0] = self.highest[0].max(live);
    }

    /// By how many the balancer divides. A higher count holds at once, a lower one after a minute; what nobody has counted
    /// for a minute is as it was written.
    pub fn holds(&mut self, now: Timestamp) -> u64 {
        self.pass(now);
        let highest = self.highest.iter().copied().max().unwrap_or(0);
        let counted = if highest == 0 { self.written } else { highest };
        counted.clamp(self.written.div_ceil(LEAST_PART), self.written * MOST_TIMES)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rise_holds_at_once_a_fall_after_a_minute_and_a_lost_count_is_the_written_one() {
        let mut count = Count::new(20);
        let start = Timestamp::from_ticks(17_000_000_000_000);
        let mut at = |s: u64, live: Option<u64>| {
            let now = start + Span::from_secs(s);
            if let Some(live) = live {
                count.counted(now, live);
            }
            count.holds(now)
        };
        // Half of the fleet is gone for a moment, then for good.
        let seen = [at(0, Some(20)), at(5, Some(10)), at(40, Some(14)), at(45, Some(24))];
        assert_eq!(seen, [20, 20, 20, 24]);
        let seen = [at(90, Some(14)), at(104, Some(14)), at(106, Some(14)), at(111, Some(14))];
        assert_eq!(seen, [24, 24, 24, 14]);
        // Nobody counts any more: what was written. Then it sees itself alone: half of that, after a minute.
        assert_eq!([at(170, None), at(185, None)], [14, 20]);
        assert_eq!([at(190, Some(1)), at(250, Some(1)), at(300, Some(500))], [10, 10, 80]);
    }
}
