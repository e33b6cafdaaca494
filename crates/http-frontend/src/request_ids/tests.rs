//! An id is accepted once while its request is open, and not again after it may have run.

use super::*;

#[test]
fn only_ids_of_requests_that_may_have_run_and_must_not_run_twice_are_remembered() {
    let ids = RequestIds::default();
    let ends_as = |name: &str, is_replayable: bool, sent: bool, refused: bool| {
        let open = ids.claim(name.as_bytes(), is_replayable).unwrap();
        assert!(ids.claim(name.as_bytes(), is_replayable).is_none(), "open");
        if sent {
            open.mark_sent();
        }
        if refused {
            open.mark_refused();
        }
        drop(open);
        ids.claim(name.as_bytes(), is_replayable).is_none()
    };
    assert!(ends_as("sent", false, true, false));
    assert!(!ends_as("replayable", true, true, false));
    assert!(!ends_as("not sent", false, false, false));
    assert!(!ends_as("refused", false, true, true));
}

#[test]
fn remembered_ids_are_bounded_in_number_and_in_time() {
    let mut table = IdTable::default();
    let now = Instant::now();
    for id in 0..=MAX_REMEMBERED as IdHash {
        table.remember(id, now);
    }
    assert_eq!((table.used.len(), table.used.contains(&0)), (MAX_REMEMBERED, false));
    table.forget_old(now + RETENTION);
    assert_eq!((table.used.len(), table.used_in_order.len()), (0, 0));
}
