//! The operators' HTTP door: HTTP/1.1, one call to a connection, on a listener of its own.
//!
//! | call | does |
//! | --- | --- |
//! | `GET /control/ready` | says whether this process is ready to serve |
//! | `POST /control/out-of-service`, `POST /control/in-service` | empties the proxy, and ends that |
//! | `POST /control/cache-nodes/ID/offline`, `.../online` | disables a server, and ends that |
//!
//! It depends on `http1` and `sockets`. No request, server connection or decision enters it, and no
//! frontend: what a call does is behind [`ProxyControl`]. Its connections are its own: requests
//! cannot take them, and it takes none of theirs.

mod call;
mod control;
mod listener;

pub use control::{ControlFuture, ControlOutcome, ProxyControl};
pub use listener::{ConnectionTask, MAX_CALLERS, MAX_DESCRIPTORS, serve};
