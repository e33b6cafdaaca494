//! Counts of live proxies over time, and what is made of them.

use chalkwalk_membership::proxy_count::ProxyCount;
use chalkwalk_time::{Span, Timestamp};

#[test]
fn a_rise_takes_effect_at_once_a_fall_after_a_minute_and_without_counts_the_configured_number() {
    let mut count = ProxyCount::new(20);
    let start = Timestamp::from_ticks(17_000_000_000_000);
    let mut at = |seconds: u64, live: Option<u64>| {
        let now = start + Span::from_secs(seconds);
        if let Some(live) = live {
            count.observe(now, live);
        }
        count.effective(now)
    };
    // Half of the fleet is gone for a moment, then for good.
    let counts = [at(0, Some(20)), at(5, Some(10)), at(40, Some(14)), at(45, Some(24))];
    assert_eq!(counts, [20, 20, 20, 24]);
    let counts = [at(90, Some(14)), at(104, Some(14)), at(106, Some(14)), at(111, Some(14))];
    assert_eq!(counts, [24, 24, 24, 14]);
    // Nobody counts any more: the configured number. Then the proxy sees itself alone: half of
    // that, after a minute.
    assert_eq!([at(170, None), at(185, None)], [14, 20]);
    assert_eq!([at(190, Some(1)), at(250, Some(1)), at(300, Some(500))], [10, 10, 80]);
}
