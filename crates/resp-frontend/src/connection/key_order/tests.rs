//! A command waits for earlier ones on its keys where one of the two writes.

use super::*;
use smol::channel::bounded;
use smol::future::poll_once;

/// Whether a command may start while one on key `a` is not answered.
fn may_start(earlier_write: bool, key: &str, write: bool) -> bool {
    let (_not_done, done) = bounded(1);
    let mut order = KeyOrder::default();
    order.add(vec!["a".into()], earlier_write, &done);
    let keys = [key.to_string()];
    let mut waiting = std::pin::pin!(order.wait_for_earlier(&keys, write));
    smol::block_on(poll_once(&mut waiting)).is_some()
}

#[test]
fn only_commands_on_the_same_key_of_which_one_writes_wait() {
    assert!(may_start(false, "a", false));
    assert!(may_start(true, "b", true));
    assert!(!may_start(true, "a", false));
    assert!(!may_start(false, "a", true));
}

#[test]
fn a_command_that_is_answered_holds_up_no_later_one() {
    let (not_done, done) = bounded(1);
    let mut order = KeyOrder::default();
    order.add(vec!["a".into()], true, &done);
    drop(not_done);
    smol::block_on(order.wait_for_earlier(&["a".to_string()], true));
    assert!(order.earlier.is_empty());
}
