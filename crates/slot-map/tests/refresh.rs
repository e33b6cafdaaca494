//! The slot map is polled by one call at a time: soon after a redirection, at the regular interval
//! otherwise, and with backoff after failures.

use chalkwalk_slot_map::RefreshSchedule;
use chalkwalk_time::{Span, Timestamp};

#[test]
fn one_poll_at_a_time_soon_after_a_redirection_and_with_backoff_after_failures() {
    let mut schedule = RefreshSchedule::default();
    assert_eq!(schedule.next_due(), Some(Timestamp::ZERO));
    assert_eq!(schedule.start(Timestamp::from_ticks(100), 3), 1);
    assert_eq!(schedule.next_due(), None);
    schedule.request();
    schedule.finish(Timestamp::from_ticks(200), true);
    assert_eq!(schedule.next_due(), Some(Timestamp::from_ticks(200) + Span::from_millis(250)));
    assert_eq!(schedule.start(Timestamp::from_ticks(3000), 3), 2);
    schedule.finish(Timestamp::from_ticks(3000), true);
    assert_eq!(schedule.next_due(), Some(Timestamp::from_ticks(3000) + Span::from_secs(3)));
    for backoff_ms in [250, 500, 1000, 2000, 2000, 2000, 2000, 2000] {
        schedule.start(Timestamp::from_ticks(5000), 3);
        schedule.finish(Timestamp::from_ticks(5000), false);
        let due = Timestamp::from_ticks(5000) + Span::from_millis(backoff_ms);
        assert_eq!(schedule.next_due(), Some(due));
    }
}
