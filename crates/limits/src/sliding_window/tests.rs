//! Retries stay within their share of the first attempts for any order and timing of events.

use super::{HALF_WINDOW, MIN_RETRIES_PER_WINDOW, SlidingWindow};
use chalkwalk_time::{Span, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Simulates requests at a constant rate and returns the number of retries in each ten seconds. In
/// the seconds for which `failing` is true, each request is retried as often as the budget allows,
/// at most three times.
fn retries_per_window(
    share_permille: u64,
    requests_per_second: u64,
    seconds: u64,
    failing: impl Fn(u64) -> bool,
) -> Vec<u64> {
    let mut budget = SlidingWindow::new(share_permille);
    let mut retries = vec![0; (seconds / 10) as usize];
    for i in 0..requests_per_second * seconds {
        let now = i * 10_000 / requests_per_second;
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
fn retries_stay_at_their_share_of_first_attempts_and_the_budget_refills() {
    let counts = retries_per_window(200, 100, 60, |_| true);
    assert!(counts.iter().all(|count| (180..=240).contains(count)), "{counts:?}");
    // Nothing fails from 20 to 40 s. In the first ten seconds after that, the first attempts of the
    // pause allow some more retries, but not more than 300 in all.
    let counts_with_pause = retries_per_window(200, 100, 60, |second| !(20..40).contains(&second));
    assert!(
        counts_with_pause[2] == 0 && counts_with_pause[3] == 0 && (180..=300).contains(&counts_with_pause[4]),
        "{counts_with_pause:?}"
    );
}

#[test]
fn a_proxy_with_little_traffic_may_retry() {
    let counts = retries_per_window(100, 1, 30, |_| true);
    assert!(
        counts.iter().all(|count| (MIN_RETRIES_PER_WINDOW..=2 * MIN_RETRIES_PER_WINDOW).contains(count)),
        "{counts:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// The retries of any half window stay within the share of the first attempts of the whole
    /// window, plus twice the minimum that is always allowed.
    #[test]
    fn retries_within_any_half_window_stay_within_the_share(
        share_permille in 0u64..1000,
        steps in proptest::collection::vec((0u64..20_000, any::<bool>()), 1..400),
    ) {
        let mut budget = SlidingWindow::new(share_permille);
        let mut now = 0;
        let mut first_attempts: Vec<u64> = Vec::new();
        let mut retries: Vec<u64> = Vec::new();
        for (pause, is_first_attempt) in steps {
            now += pause;
            if is_first_attempt {
                budget.record_first_attempt(Timestamp::from_ticks(now));
                first_attempts.push(now);
            }
            if budget.allows_retry(Timestamp::from_ticks(now)) {
                budget.record_retry(Timestamp::from_ticks(now));
                retries.push(now);
            }
            let count_within = |times: &[u64], window: Span| times
                .iter()
                .filter(|time| **time + window.ticks() > now)
                .count() as u64;
            let retry_count = count_within(&retries, HALF_WINDOW);
            let first_attempt_count = count_within(&first_attempts, 2 * HALF_WINDOW);
            prop_assert!(
                retry_count <= 2 * MIN_RETRIES_PER_WINDOW + first_attempt_count * share_permille / 1000 + 1,
                "{retry_count} retries for {first_attempt_count} first attempts"
            );
        }
    }
}
