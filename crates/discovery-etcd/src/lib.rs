//! etcd as a source of the list: the whole of it at a revision, a watch from the next one, and this proxy's own key under a
//! lease, by etcd's public v3 API (gRPC over HTTP/2 without TLS).
//!
//! It may use `source`, `membership`, `engine`, `etcd-wire`, h2 and smol. A door never enters it. What to ask next, and what an answer
//! means, is `machine`'s, which does no I/O; `call` is one call on a connection, `follow` plays the machine on sockets, `announce`
//! keeps the lease.

mod announce;
mod call;
mod follow;
pub mod machine;

pub use announce::Announcement;
pub use follow::EtcdSource;
