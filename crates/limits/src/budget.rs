//! A budget of retries as a share of first ones, over a sliding time.

use chalkwalk_time::{Span, Timestamp};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The budget of retries that requests of a class share: their own, or that of all which have none.
#[derive(Clone, Debug)]
pub enum RetryBudget {
    Platform(Rc<Cell<u64>>),
    Own(RefCell<SlidingBudget>),
}

/// A fifth of all requests may be sent once more, and a few dozen in a row: enough for a server that fails until it is left,
/// too little for a retry storm. In tenths of an attempt: what a first one brings, what a further one costs, what is there
/// at first, and the most.
const BRINGS: u64 = 2;
const COSTS: u64 = 10;
const AT_FIRST: u64 = 50;
const MOST: u64 = 400;

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::Platform(Rc::new(Cell::new(AT_FIRST)))
    }
}

impl RetryBudget {
    pub fn own(share: u64) -> RetryBudget {
        RetryBudget::Own(RefCell::new(SlidingBudget::new(share)))
    }

    pub fn record_first_attempt(&self, now: Timestamp) {
        match self {
            RetryBudget::Platform(spare) => spare.set((spare.get() + BRINGS).min(MOST)),
            RetryBudget::Own(budget) => budget.borrow_mut().record_first_attempt(now),
        }
    }

    pub fn allows_retry(&self, now: Timestamp) -> bool {
        match self {
            RetryBudget::Platform(spare) => spare.get() >= COSTS,
            RetryBudget::Own(budget) => budget.borrow_mut().allows_retry(now),
        }
    }

    pub fn record_retry(&self, now: Timestamp) {
        match self {
            RetryBudget::Platform(spare) => spare.set(spare.get().saturating_sub(COSTS)),
            RetryBudget::Own(budget) => budget.borrow_mut().record_retry(now),
        }
    }

    /// What was counted: the platform's one number, or a budget's five.
    pub fn counters(&self) -> [u64; 5] {
        match self {
            RetryBudget::Platform(spare) => [spare.get(), 0, 0, 0, 0],
            RetryBudget::Own(budget) => {
                let SlidingBudget { half, firsts, further, .. } = *budget.borrow();
                [half, firsts[0], firsts[1], further[0], further[1]]
            }
        }
    }

    /// Goes on from what was counted.
    pub fn restore(&self, counts: [u64; 5]) {
        match self {
            RetryBudget::Platform(spare) => spare.set(counts[0]),
            RetryBudget::Own(budget) => {
                let mut budget = budget.borrow_mut();
                let [half, a, b, c, d] = counts;
                (budget.half, budget.firsts, budget.further) = (half, [a, b], [c, d]);
            }
        }
    }

    /// Goes on counting what another has counted, if both are of one kind.
    pub fn continue_from(&self, before: &RetryBudget) {
        match (self, before) {
            (RetryBudget::Platform(spare), RetryBudget::Platform(before)) => spare.set(before.get()),
            (RetryBudget::Own(own), RetryBudget::Own(before)) => {
                let share = own.borrow().share;
                own.replace(SlidingBudget { share, ..before.borrow().clone() });
            }
            _ => {}
        }
    }
}

/// Two halves of the sliding time are counted, and the older one counts for the part of it that is still within: no list
/// of events, and the same memory whatever the load.
#[derive(Clone, Debug, Default)]
pub struct SlidingBudget {
    share: u64, // thousandths
    half: u64,  // number of the present one, from zero on
    firsts: [u64; 2],
    further: [u64; 2],
}

/// Half of the sliding time: ten seconds in all are some hundred requests at a quiet proxy, and a trouble that ends is
/// forgotten within them.
const HALF: Span = Span::from_secs(5);
/// Retries that may always be sent within the sliding time, or a proxy with little traffic could try nothing again.
const FLOOR: u64 = 3;

impl SlidingBudget {
    /// `share`: thousandths of the first attempts.
    pub fn new(share: u64) -> SlidingBudget {
        SlidingBudget { share, ..SlidingBudget::default() }
    }

    fn pass(&mut self, now: Timestamp) {
        let half = now.whole_periods(HALF);
        match half.saturating_sub(self.half) {
            0 => return,
            1 => {
                self.firsts = [0, self.firsts[0]];
                self.further = [0, self.further[0]];
            }
            _ => (self.firsts, self.further) = ([0; 2], [0; 2]),
        }
        self.half = half;
    }

    /// The present half, and of the one before the part that is still within.
    fn within(&self, counts: [u64; 2], now: Timestamp) -> Span {
        counts[0] * HALF + counts[1] * (HALF - now.into_period(HALF))
    }

    pub fn record_first_attempt(&mut self, now: Timestamp) {
        self.pass(now);
        self.firsts[0] += 1;
    }

    /// Whether one more further attempt is within the budget.
    pub fn allows_retry(&mut self, now: Timestamp) -> bool {
        self.pass(now);
        let spent = self.within(self.further, now) + HALF;
        spent <= FLOOR * HALF || spent * 1000 <= self.within(self.firsts, now) * self.share
    }

    pub fn record_retry(&mut self, now: Timestamp) {
        self.pass(now);
        self.further[0] += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    /// Plays so many requests a second, each with as many retries as allowed while `failing`, and says how many
    /// retries there were in each span of ten seconds.
    fn played(share: u64, a_second: u64, seconds: u64, failing: impl Fn(u64) -> bool) -> Vec<u64> {
        let mut budget = SlidingBudget::new(share);
        let mut further = vec![0; (seconds / 10) as usize];
        for i in 0..a_second * seconds {
            let now = i * 10_000 / a_second;
            budget.record_first_attempt(Timestamp::from_ticks(now));
            for _ in 0..3 {
                if failing(now / 10_000) && budget.allows_retry(Timestamp::from_ticks(now)) {
                    budget.record_retry(Timestamp::from_ticks(now));
                    further[(now / 100_000) as usize] += 1;
                }
            }
        }
        further
    }

    #[test]
    fn when_all_fails_further_attempts_stay_at_their_share_and_the_budget_refills() {
        let all = played(200, 100, 60, |_| true);
        assert!(all.iter().all(|n| (180..=240).contains(n)), "{all:?}");
        // Nothing fails from 20 to 40 s: the first ten seconds after that may have as many again, and no more.
        let twice = played(200, 100, 60, |s| !(20..40).contains(&s));
        assert!(twice[2] == 0 && twice[3] == 0 && (180..=300).contains(&twice[4]), "{twice:?}");
    }

    #[test]
    fn a_quiet_proxy_may_try_again_at_all() {
        let all = played(100, 1, 30, |_| true);
        assert!(all.iter().all(|n| (FLOOR..=2 * FLOOR).contains(n)), "{all:?}");
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        /// Whatever comes when, the retries of any ten seconds stay within the share of the first ones of twice
        /// that time, and the floor.
        #[test]
        fn no_span_has_more_than_its_share(
            share in 0u64..1000,
            steps in proptest::collection::vec((0u64..20_000, any::<bool>()), 1..400),
        ) {
            let (mut budget, mut now) = (SlidingBudget::new(share), 0);
            let (mut firsts, mut further): (Vec<u64>, Vec<u64>) = Default::default();
            for (pause, first) in steps {
                now += pause;
                if first {
                    budget.record_first_attempt(Timestamp::from_ticks(now));
                    firsts.push(now);
                }
                if budget.allows_retry(Timestamp::from_ticks(now)) {
                    budget.record_retry(Timestamp::from_ticks(now));
                    further.push(now);
                }
                let since = |at: &[u64], span: Span| at.iter().filter(|t| **t + span.ticks() > now).count() as u64;
                let (spent, had) = (since(&further, HALF), since(&firsts, 2 * HALF));
                prop_assert!(spent <= 2 * FLOOR + had * share / 1000 + 1, "{spent} of {had}");
            }
        }
    }
}
