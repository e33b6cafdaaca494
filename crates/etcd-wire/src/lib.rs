//! The part of etcd's v3 API that chalkwalk speaks: its messages (`proto/etcd.proto`, after the
//! public API definition), the paths of its calls, and gRPC's frames around messages (the public
//! "gRPC over HTTP2" description).
//!
//! It depends on prost and bytes. No connection, runtime or clock enters it, nor what keys and
//! values mean to chalkwalk: the discovery source and the testbed's stand-in for etcd have only
//! this in common.

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

/// The calls, as HTTP/2 paths.
pub mod path {
    /// Reads a range of keys.
    pub const RANGE: &str = "/etcdserverpb.KV/Range";
    /// Writes one key.
    pub const PUT: &str = "/etcdserverpb.KV/Put";
    /// Deletes a range of keys.
    pub const DELETE_RANGE: &str = "/etcdserverpb.KV/DeleteRange";
    /// Compares, then reads or writes, in one step.
    pub const TXN: &str = "/etcdserverpb.KV/Txn";
    /// Discards the history before a revision.
    pub const COMPACT: &str = "/etcdserverpb.KV/Compact";
    /// Streams the changes of ranges of keys.
    pub const WATCH: &str = "/etcdserverpb.Watch/Watch";
    /// Grants a lease.
    pub const LEASE_GRANT: &str = "/etcdserverpb.Lease/LeaseGrant";
    /// Revokes a lease, and deletes the keys bound to it.
    pub const LEASE_REVOKE: &str = "/etcdserverpb.Lease/LeaseRevoke";
    /// Streams renewals of leases.
    pub const LEASE_KEEP_ALIVE: &str = "/etcdserverpb.Lease/LeaseKeepAlive";
}

/// The value of the `content-type` header.
pub const CONTENT_TYPE: &str = "application/grpc";
/// The trailer with the status code, one of [`code`].
pub const GRPC_STATUS: &str = "grpc-status";
/// The trailer with the error message.
pub const GRPC_MESSAGE: &str = "grpc-message";

/// The status codes that chalkwalk or its testbed distinguishes, as the trailer has them.
pub mod code {
    /// The call went well.
    pub const OK: &str = "0";
    /// A revision that is compacted, or not reached yet.
    pub const OUT_OF_RANGE: &str = "11";
    /// A call that the server does not know.
    pub const UNIMPLEMENTED: &str = "12";
    /// The server cannot serve the call now.
    pub const UNAVAILABLE: &str = "14";
    /// What the call names does not exist.
    pub const NOT_FOUND: &str = "5";
}
