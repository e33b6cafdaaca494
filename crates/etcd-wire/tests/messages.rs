//! Compares messages with bytes that were encoded by hand from the field numbers of the public API.
//! The tests guard against a wrong field number or type in `etcd.proto`.

use chalkwalk_etcd_wire::{Message, api, prefix_end};
use expect_test::expect;

#[test]
fn messages_are_encoded_as_in_the_public_api() {
    let create = api::WatchCreateRequest {
        key: "a".into(),
        range_end: "b".into(),
        start_revision: 300,
        progress_notify: true,
        watch_id: 0,
        fragment: true,
    };
    let request = api::watch_request::RequestUnion::CreateRequest(create);
    let watch = api::WatchRequest { request_union: Some(request) };
    // 1: { 1: "a", 2: "b", 3: 300, 4: true, 8: true }
    let hand_encoded = [0x0a, 13, 0x0a, 1, b'a', 0x12, 1, b'b', 0x18, 0xac, 2, 0x20, 1, 0x40, 1];
    assert_eq!(watch.encode_to_vec(), hand_encoded);
    // { 1: { 3: 9 }, 4: true, 5: 7, 6: "x", 11: { 1: 1, 2: { 1: "k", 3: 9 } } }
    let hand_encoded = [
        0x0a, 2, 0x18, 9, 0x20, 1, 0x28, 7, 0x32, 1, b'x', 0x5a, 9, 0x08, 1, 0x12, 5, 0x0a, 1, b'k', 0x18, 9,
    ];
    let response = api::WatchResponse::decode(&hand_encoded[..]).unwrap();
    let event = &response.events[0];
    assert_eq!(
        (response.header.unwrap().revision, response.canceled, response.compact_revision),
        (9, true, 7)
    );
    assert_eq!((event.r#type(), event.kv.as_ref().unwrap().mod_revision), (api::event::Kind::Delete, 9));
    let lease = api::LeaseGrantRequest { ttl: 10, id: 0 };
    expect!["[8, 10]"].assert_eq(&format!("{:?}", lease.encode_to_vec()));
}

#[test]
fn the_range_of_a_prefix_ends_before_the_next_prefix() {
    assert_eq!(prefix_end(b"/c/"), b"/c0");
    assert_eq!(prefix_end(b"a\xff"), b"b");
}
