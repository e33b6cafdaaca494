//! etcd as a source of the endpoint list, by its public v3 API (gRPC over HTTP/2 without TLS). The
//! source reads the whole list at one revision, watches for changes from the next revision on, and
//! publishes this proxy's own key bound to a lease.
//!
//! This crate may use `discovery-feed`, `membership`, `engine`, `etcd-wire`, h2 and smol, but no
//! frontend. `machine` decides what to request next and what a response means, without I/O. `call`
//! makes single calls on a connection, `session` runs the machine on one connection, `source` opens
//! one connection after the other, and `announcement` maintains the lease.

mod announcement;
mod call;
mod error;
mod live_proxies;
pub mod machine;
mod session;
mod source;

pub use announcement::Announcement;
pub use source::EtcdSource;
