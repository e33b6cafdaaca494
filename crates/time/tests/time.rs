//! Tests of timestamp and span arithmetic, and of their conversions and printed form.

use chalkwalk_time::{Span, Timestamp};
use std::time::Duration;

#[test]
fn spans_convert_to_and_from_durations_by_whole_ticks() {
    assert_eq!(Span::from(Duration::from_micros(1_299)), Span::from_ticks(12));
    assert_eq!(Duration::from(Span::from_millis(3)), Duration::from_millis(3));
    assert_eq!(Duration::from(Span::MAX), Duration::from_micros(u64::MAX));
    assert_eq!((Span::from_secs(2).as_millis(), Span::from_ticks(15).as_millis_f64()), (2_000, 1.5));
}

#[test]
fn timestamps_and_spans_are_added_and_subtracted() {
    let (start, end) = (Timestamp::from_ticks(100), Timestamp::from_ticks(130));
    assert_eq!(end - start, Span::from_ticks(30));
    assert_eq!(start + Span::from_millis(3), end);
    assert_eq!((start.saturating_since(end), start.checked_since(end)), (Span::ZERO, None));
    assert_eq!(Timestamp::MAX.saturating_add(Span::from_ticks(1)), Timestamp::MAX);
}

#[test]
fn timestamps_and_spans_are_printed_as_plain_ticks() {
    let printed = format!("{:?} {} {:?}", Timestamp::from_ticks(7), Span::from_ticks(8), Some(Span::ZERO));
    assert_eq!(printed, "7 8 Some(0)");
}
