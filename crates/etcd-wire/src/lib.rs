//! The part of etcd's v3 API that chalkwalk speaks: its messages (`proto/etcd.proto`, after the public API definition), the
//! names of its calls, and gRPC's frames around messages (the public "gRPC over HTTP2" description).
//!
//! It may use prost and bytes. No connection, runtime or clock ever enters it, nor what keys and values mean to chalkwalk: the
//! source and the lab's stand-in have only this in common.

mod frames;

pub use frames::{FrameDecoder, FrameError, encode_frame};
pub use prost::Message;

#[allow(missing_docs, clippy::all)]
pub mod api {
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.rs"));
}

/// The calls, as paths.
pub mod path {
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    pub const PUT: &str = "/etcdserverpb.KV/Put";
    pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
    pub const TXN: &str = "/etcdserverpb.KV/Txn";
    pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
    pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
    pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
    pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
}

pub const CONTENT_TYPE: &str = "application/grpc";
pub const GRPC_STATUS: &str = "grpc-status";
pub const GRPC_MESSAGE: &str = "grpc-message";

/// Codes that are told apart here.
pub mod code {
    pub const OK: &str = "0";
    pub const OUT_OF_RANGE: &str = "11";
    pub const UNIMPLEMENTED: &str = "12";
    pub const UNAVAILABLE: &str = "14";
    pub const NOT_FOUND: &str = "5";
}

/// The end of the range of all keys that begin with a prefix: the prefix with its last byte one up. Empty where there is no
/// such key, which the API takes for one key alone: a prefix of 0xff bytes is not used here.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            break;
        }
    }
    end
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    /// Against bytes put together by hand from the field numbers of the public API, so that a slip in `etcd.proto` shows.
    #[test]
    fn messages_are_as_the_public_api_has_them() {
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
        let by_hand = [0x0a, 13, 0x0a, 1, b'a', 0x12, 1, b'b', 0x18, 0xac, 2, 0x20, 1, 0x40, 1];
        assert_eq!(watch.encode_to_vec(), by_hand);
        // { 1: { 3: 9 }, 4: true, 5: 7, 6: "x", 11: { 1: 1, 2: { 1: "k", 3: 9 } } }
        let by_hand = [
            0x0a, 2, 0x18, 9, 0x20, 1, 0x28, 7, 0x32, 1, b'x', 0x5a, 9, 0x08, 1, 0x12, 5, 0x0a, 1, b'k',
            0x18, 9,
        ];
        let read = api::WatchResponse::decode(&by_hand[..]).unwrap();
        let event = &read.events[0];
        assert_eq!((read.header.unwrap().revision, read.canceled, read.compact_revision), (9, true, 7));
        assert_eq!((event.r#type(), event.kv.as_ref().unwrap().mod_revision), (api::event::Kind::Delete, 9));
        let lease = api::LeaseGrantRequest { ttl: 10, id: 0 };
        expect!["[8, 10]"].assert_eq(&format!("{:?}", lease.encode_to_vec()));
        assert_eq!(prefix_end(b"/c/"), b"/c0");
        assert_eq!(prefix_end(b"a\xff"), b"b");
    }
}
