//! The part of etcd's v3 API that chalkwalk uses: its messages (`proto/etcd.proto`, which follows
//! the public API definition), the paths of its calls, and the gRPC frames around messages (which
//! follow the public "gRPC over HTTP2" description).
//!
//! The crate depends only on prost, bytes and thiserror. It opens no connections, uses no async
//! runtime and no clock, and does not interpret keys and values. It is the only code that the etcd
//! source of the endpoint list shares with the testbed's fake etcd.

mod frames;
mod keys;

pub use frames::{FrameDecoder, FrameError, encode_frame};
pub use keys::prefix_end;
pub use prost::Message;

/// The messages, generated from `proto/etcd.proto`.
#[allow(missing_docs, clippy::all)]
pub mod api {
    include!(concat!(env!("OUT_DIR"), "/etcdserverpb.rs"));
}

/// The HTTP/2 paths of the calls.
pub mod path {
    /// Reads a range of keys.
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// Writes one key.
    pub const PUT: &str = "/etcdserverpb.KV/Put";
    /// Deletes a range of keys.
    pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
    /// Compares, then reads or writes, atomically.
    pub const TXN: &str = "/etcdserverpb.KV/Txn";
    /// Discards the history before a revision.
    pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
    /// Streams the changes of ranges of keys.
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
    /// Grants a lease.
    pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
    /// Revokes a lease, and deletes the keys bound to it.
    pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
    /// Renews leases, with a stream of requests and a stream of responses.
    pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
}

/// The value of the `content-type` header.
pub const CONTENT_TYPE: &str = "application/grpc";
/// The trailer with the status code, one of [`code`].
pub const GRPC_STATUS: &str = "grpc-status";
/// The trailer with the error message.
pub const GRPC_MESSAGE: &str = "grpc-message";

/// The gRPC status codes that chalkwalk or its testbed distinguishes, as written in the trailer.
pub mod code {
    /// The call succeeded.
    pub const OK: &str = "0";
    /// The requested revision has been compacted, or does not exist yet.
    pub const OUT_OF_RANGE: &str = "11";
    /// The server does not know the call.
    pub const UNIMPLEMENTED: &str = "12";
    /// The server cannot serve the call now.
    pub const UNAVAILABLE: &str = "14";
    /// The object that the call refers to, such as a lease, does not exist.
    pub const NOT_FOUND: &str = "5";
}
