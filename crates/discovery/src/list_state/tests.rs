//! Which versions are applied, and which of them may return servers to service.

use super::{ListState, MAX_OUTDATED_RESPONSES, UNTRUSTED_DURATION};
use chalkwalk_time::{Span, Timestamp};

fn at_seconds(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_secs(seconds)
}

#[test]
fn a_lower_version_is_outdated_until_it_is_received_several_times_in_a_row() {
    let mut state = ListState::new(10);
    for _ in 0..MAX_OUTDATED_RESPONSES {
        assert!(state.is_outdated(4));
    }
    assert!(!state.is_outdated(4));
    state.accept(4, at_seconds(0));
    assert_eq!(state.version(), 4);
    assert!(!state.is_outdated(4) && !state.is_outdated(5));
}

#[test]
fn a_restarted_list_is_untrusted_for_a_limited_time() {
    let mut state = ListState::new(10);
    state.reset_for_new_address();
    assert!(!state.is_outdated(4) && state.is_untrusted(4, at_seconds(100)));
    state.accept(4, at_seconds(100));
    assert!(state.is_untrusted(5, at_seconds(100) + UNTRUSTED_DURATION - Span::from_secs(1)));
    assert!(!state.is_untrusted(5, at_seconds(100) + UNTRUSTED_DURATION));
    assert!(!state.is_untrusted(10, at_seconds(100)), "a version that is not below the highest is trusted");
    state.accept(5, at_seconds(100) + UNTRUSTED_DURATION);
    assert!(!state.is_untrusted(6, at_seconds(1000)), "the list is trusted from then on");
}
