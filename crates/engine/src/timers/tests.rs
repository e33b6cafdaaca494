//! Tests of the firing order of timers. They are unit tests because the queue is not public.

use super::*;
use chalkwalk_time::Span;

fn timestamp(ticks: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_ticks(ticks)
}

#[test]
fn timers_fire_by_due_time_and_then_in_the_order_they_were_set() {
    let mut timers = TimerQueue::default();
    let first: Vec<bool> = [(30, 1), (20, 2), (20, 3), (40, 4), (10, 5)]
        .map(|(due, token)| timers.set(timestamp(due), token))
        .to_vec();
    assert_eq!(first, [true, true, false, false, true]);
    assert_eq!(timers.pop_due(timestamp(9)), None);
    let fired: Vec<u64> = std::iter::from_fn(|| timers.pop_due(timestamp(30))).collect();
    assert_eq!(fired, [5, 2, 3, 1]);
    assert_eq!(timers.next_due(), Some(timestamp(40)));
}
