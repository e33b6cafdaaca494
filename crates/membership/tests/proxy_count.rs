//! The effective proxy count that results from counts of live proxies over time.

use chalkwalk_membership::proxy_count::ProxyCount;
use chalkwalk_time::{Span, Timestamp};

#[test]
fn an_increase_takes_effect_immediately_a_decrease_after_a_minute_and_no_count_means_the_configured_number() {
    let mut count = ProxyCount::new(20);
    let start = Timestamp::from_ticks(17_000_000_000_000);
    let mut effective_at = |seconds: u64, live: Option<u64>| {
        let now = start + Span::from_secs(seconds);
        if let Some(live) = live {
            count.observe(now, live);
        }
        count.effective_count(now)
    };
    // Half of the fleet is missing for a moment, then permanently.
    let counts = [
        effective_at(0, Some(20)),
        effective_at(5, Some(10)),
        effective_at(40, Some(14)),
        effective_at(45, Some(24)),
    ];
    assert_eq!(counts, [20, 20, 20, 24]);
    let counts = [
        effective_at(90, Some(14)),
        effective_at(104, Some(14)),
        effective_at(106, Some(14)),
        effective_at(111, Some(14)),
    ];
    assert_eq!(counts, [24, 24, 24, 14]);
    // Without further counts, the configured number takes effect. Then the proxy sees only itself,
    // and half of the configured number takes effect after a minute.
    assert_eq!([effective_at(170, None), effective_at(185, None)], [14, 20]);
    assert_eq!(
        [effective_at(190, Some(1)), effective_at(250, Some(1)), effective_at(300, Some(500))],
        [10, 10, 80]
    );
}
