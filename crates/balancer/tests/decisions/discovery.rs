//! When discovery is called again after it refused a call because it has too many callers.

use chalkwalk_balancer::discovery::{
    MAX_CALL_INTERVAL, MAX_NOTIFICATION_DELAY, backoff_after_refusal, was_refused_at_once,
};
use chalkwalk_time::Span;

const LONGEST_BACKOFF: Span = Span::from_millis(3_750);

/// The beginnings of the calls after the last one that reached no service, if all of them are
/// refused at once. `draw` is the share of the largest random number that is drawn each time.
fn refused_calls(first_call: Span, draw: f64) -> Vec<Span> {
    let random_below = |limit: Span| Span::from_ticks((limit.ticks() as f64 * draw) as u64);
    let mut calls = vec![first_call];
    let mut now = first_call;
    while let Some(backoff) = backoff_after_refusal(now, random_below) {
        assert!(backoff > Span::ZERO, "a busy loop at {now:?}");
        now += backoff;
        calls.push(now);
    }
    calls
}

/// Guards against a drain that is noticed late because a call was refused: a later call begins
/// within the limit, and the next ones follow closely until it is over.
#[test]
fn refused_calls_are_repeated_within_the_limit_for_noticing_changes() {
    let first_calls = (1..=375).map(|hundredths| Span::from_millis(10 * hundredths));
    for first_call in first_calls {
        for draw in [0.0, 0.3, 0.7, 0.999] {
            let calls = refused_calls(first_call, draw);
            let repeated_in_time =
                calls[1..].iter().filter(|call| call.is_at_most(MAX_CALL_INTERVAL)).count();
            assert!(repeated_in_time >= 1, "first call at {first_call:?}, draw {draw}: {calls:?}");
            let longest_gap = calls.windows(2).filter(|pair| !pair[0].is_at_most(LONGEST_BACKOFF));
            assert!(
                longest_gap.map(|pair| pair[1] - pair[0]).all(|gap| gap.is_at_most(Span::from_millis(500)))
            );
            assert!(calls.len() <= 26, "{} calls", calls.len());
        }
    }
}

#[test]
fn the_usual_backoff_applies_once_the_limit_is_over() {
    assert_eq!(backoff_after_refusal(MAX_NOTIFICATION_DELAY, |limit| limit), None);
    assert!(backoff_after_refusal(MAX_NOTIFICATION_DELAY - Span::TICK, |_| Span::ZERO).is_some());
}

#[test]
fn a_call_that_waited_in_the_queue_was_not_refused_at_once() {
    assert!(was_refused_at_once(Span::from_millis(999)));
    assert!(!was_refused_at_once(Span::from_secs(1)));
}
