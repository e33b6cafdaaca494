//! The operators' HTTP interface: HTTP/1.1, one call per connection, on a separate listener.
//!
//! | call | effect |
//! | --- | --- |
//! | `GET /control/ready` | reports whether this process is ready to serve |
//! | `POST /control/out-of-service`, `POST /control/in-service` | drains the proxy, or puts it in service |
//! | `POST /control/cache-nodes/ID/offline`, `.../online` | disables a server, or enables it |
//!
//! The crate depends on `http1` and `sockets`. It knows nothing of requests, server connections,
//! balancing decisions or frontends: [`ProxyControl`] implements the calls. Its connections are
//! limited separately from those of requests, so that neither side can use up the other's.

mod call;
mod control;
mod listener;

pub use control::{ControlFuture, ControlOutcome, ProxyControl};
pub use listener::{ConnectionTask, MAX_CALLERS, MAX_DESCRIPTORS, serve};
