//! Guards against a truncated, changed or wrong value that the testbed takes for the right one: a
//! response body is accepted only if it is whole and was made for the request.

use chalkwalk_testbed::simulated_services::body::{body, body_matches};

#[test]
fn a_body_matches_its_request_only_if_it_is_whole() {
    let whole_body = body(0xabc, 7, 3, 100);
    assert_eq!(whole_body.len(), 100);
    let mut truncated = whole_body.clone();
    truncated.truncate(60);
    let mut changed = whole_body.clone();
    changed[50] = b'x';
    let accepted = [
        body_matches(&whole_body, 0xabc),
        body_matches(&whole_body, 0xabd),
        body_matches(&truncated, 0xabc),
        body_matches(&changed, 0xabc),
    ];
    assert_eq!((accepted, body_matches(b"", 0)), ([true, false, false, false], false));
}
