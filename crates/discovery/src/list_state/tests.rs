//! Which versions are applied, and which of them bring servers back.

use super::{DOUBTED, ListState, OUTDATED_ANSWERS};
use chalkwalk_time::{Span, Timestamp};

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_secs(seconds)
}

#[test]
fn a_lower_version_is_outdated_until_it_has_come_several_times_in_a_row() {
    let mut state = ListState::new(10);
    for _ in 0..OUTDATED_ANSWERS {
        assert!(state.is_outdated(4));
    }
    assert!(!state.is_outdated(4));
    state.accept(4, at(0));
    assert_eq!(state.version(), 4);
    assert!(!state.is_outdated(4) && !state.is_outdated(5));
}

#[test]
fn a_list_that_has_started_again_is_doubted_for_a_time() {
    let mut state = ListState::new(10);
    state.move_elsewhere();
    assert!(!state.is_outdated(4) && state.is_doubted(4, at(100)));
    state.accept(4, at(100));
    assert!(state.is_doubted(5, at(100) + DOUBTED - Span::from_secs(1)));
    assert!(!state.is_doubted(5, at(100) + DOUBTED));
    assert!(!state.is_doubted(10, at(100)), "no lower than the highest");
    state.accept(5, at(100) + DOUBTED);
    assert!(!state.is_doubted(6, at(1000)), "believed from then on");
}
