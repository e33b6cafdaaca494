//! A command waits for earlier commands on its keys if at least one of the two writes.

use super::*;
use smol::channel::bounded;
use smol::future::poll_once;

/// Whether a command starts without a wait while an earlier one on keys `a` and `b` is not answered.
fn starts_at_once(earlier_write: bool, key: &str, write: bool) -> bool {
    let (_done_sender, done) = bounded(1);
    let mut order = KeyOrder::default();
    let earlier_keys = order.hashes(&["a".into(), "b".into()]);
    order.add(&earlier_keys, earlier_write, &done);
    let keys = order.hashes(&["x".into(), key.into(), "y".into()]);
    let mut waiting = std::pin::pin!(order.wait_for_earlier(&keys, write));
    smol::block_on(poll_once(&mut waiting)).is_some()
}

#[test]
fn only_commands_on_the_same_key_with_a_write_wait() {
    assert!(starts_at_once(false, "a", false));
    assert!(starts_at_once(true, "c", true));
    assert!(!starts_at_once(true, "a", false));
    assert!(!starts_at_once(false, "b", true));
}

#[test]
fn an_answered_command_does_not_delay_later_ones() {
    let (done_sender, done) = bounded(1);
    let mut order = KeyOrder::default();
    let keys = order.hashes(&["a".into()]);
    order.add(&keys, true, &done);
    drop(done_sender);
    smol::block_on(order.wait_for_earlier(&keys, true));
    assert!(order.unanswered.is_empty());
}
