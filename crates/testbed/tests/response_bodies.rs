//! Bodies that are made for one request, and recognised as such.

use chalkwalk_testbed::stand_ins::body::{body, is_for};

#[test]
fn a_body_matches_its_request_only_if_it_is_whole() {
    let made = body(0xabc, 7, 3, 100);
    assert_eq!(made.len(), 100);
    let mut cut = made.clone();
    cut.truncate(60);
    let mut changed = made.clone();
    changed[50] = b'x';
    let seen = [is_for(&made, 0xabc), is_for(&made, 0xabd), is_for(&cut, 0xabc), is_for(&changed, 0xabc)];
    assert_eq!((seen, is_for(b"", 0)), ([true, false, false, false], false));
}
