//! Retries stay within their share, whatever comes when.

use super::{HALF, MIN_RETRIES, SlidingWindow};
use chalkwalk_time::{Span, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Plays so many requests a second, each with as many retries as allowed while `failing`, and
/// returns how many retries there were in each span of ten seconds.
fn retries_by_span(share: u64, a_second: u64, seconds: u64, failing: impl Fn(u64) -> bool) -> Vec<u64> {
    let mut budget = SlidingWindow::new(share);
    let mut retries = vec![0; (seconds / 10) as usize];
    for i in 0..a_second * seconds {
        let now = i * 10_000 / a_second;
        budget.record_first_attempt(Timestamp::from_ticks(now));
        for _ in 0..3 {
            if failing(now / 10_000) && budget.allows_retry(Timestamp::from_ticks(now)) {
                budget.record_retry(Timestamp::from_ticks(now));
                retries[(now / 100_000) as usize] += 1;
            }
        }
    }
    retries
}

#[test]
fn when_all_fails_retries_stay_at_their_share_and_the_budget_refills() {
    let all = retries_by_span(200, 100, 60, |_| true);
    assert!(all.iter().all(|n| (180..=240).contains(n)), "{all:?}");
    // Nothing fails from 20 to 40 s: the first ten seconds after that may have as many again, and
    // no more.
    let twice = retries_by_span(200, 100, 60, |s| !(20..40).contains(&s));
    assert!(twice[2] == 0 && twice[3] == 0 && (180..=300).contains(&twice[4]), "{twice:?}");
}

#[test]
fn a_quiet_proxy_may_retry_at_all() {
    let all = retries_by_span(100, 1, 30, |_| true);
    assert!(all.iter().all(|n| (MIN_RETRIES..=2 * MIN_RETRIES).contains(n)), "{all:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever comes when, the retries of any ten seconds stay within the share of the first ones
    /// of twice that time, and the floor.
    #[test]
    fn no_span_has_more_than_its_share(
        share in 0u64..1000,
        steps in proptest::collection::vec((0u64..20_000, any::<bool>()), 1..400),
    ) {
        let mut budget = SlidingWindow::new(share);
        let mut now = 0;
        let mut firsts: Vec<u64> = Vec::new();
        let mut retries: Vec<u64> = Vec::new();
        for (pause, first) in steps {
            now += pause;
            if first {
                budget.record_first_attempt(Timestamp::from_ticks(now));
                firsts.push(now);
            }
            if budget.allows_retry(Timestamp::from_ticks(now)) {
                budget.record_retry(Timestamp::from_ticks(now));
                retries.push(now);
            }
            let since = |at: &[u64], span: Span| at.iter().filter(|t| **t + span.ticks() > now).count() as u64;
            let spent = since(&retries, HALF);
            let had = since(&firsts, 2 * HALF);
            prop_assert!(spent <= 2 * MIN_RETRIES + had * share / 1000 + 1, "{spent} of {had}");
        }
    }
}
