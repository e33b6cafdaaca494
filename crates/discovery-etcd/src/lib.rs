//! etcd as a source of the endpoint list: the whole list at a revision, a watch from the next one
//! on, and this proxy's own key under a lease, by etcd's public v3 API (gRPC over HTTP/2 without
//! TLS).
//!
//! This crate may use `discovery-feed`, `membership`, `engine`, `etcd-wire`, h2 and smol. No
//! frontend enters it. What to request next, and what a response means, is decided by `machine`,
//! which does no I/O; `call` is one call on a connection, `session` runs the machine on one
//! connection, `source` opens one connection after the other, `announcement` keeps the lease.

mod announcement;
mod call;
mod error;
mod live_proxies;
pub mod machine;
mod session;
mod source;

pub use announcement::Announcement;
pub use source::EtcdSource;
