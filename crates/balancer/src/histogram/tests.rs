//! Checks the quantiles of known latencies.

use super::*;

#[test]
fn a_quantile_is_right_to_a_quarter_of_a_doubling() {
    let mut histogram = LatencyHistogram::default();
    assert_eq!(histogram.quantile(900), None);
    (0..1000).for_each(|took| histogram.record(Span::from_ticks(took)));
    let quantiles = [500, 900, 950, 990].map(|thousandths| histogram.quantile(thousandths).map(Span::ticks));
    assert_eq!(quantiles, [Some(504), Some(1016), Some(1016), Some(1016)]);
    // A quantile is the beginning of the next bin, and never below what was recorded.
    for took in 0..3000 {
        let mut histogram = LatencyHistogram::default();
        (0..20).for_each(|_| histogram.record(Span::from_ticks(took)));
        let quantile = histogram.quantile(900).unwrap();
        assert!(
            quantile > Span::from_ticks(took) && quantile <= Span::from_ticks(took + (took + 8) / 4 + 8),
            "{took}: {quantile}"
        );
    }
}
