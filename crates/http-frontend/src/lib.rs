//! The HTTP/1.1 frontend: serves client connections and exchanges requests and responses with the
//! servers, using the platform's HTTP headers.
//!
//! It may depend on `engine`, `balancer`, `http1`, `limits`, `sockets`, `time`, smol and slog, but
//! not on the frontend of another protocol or on a source of the endpoint list. It makes no routing
//! or retry decisions; the engine makes them.
//!
//! `accept` accepts connections, and `connection` passes each request through its stages in order:
//! `read_request`, `admit`, `route` (which calls the engine), and `write_reply`. For each attempt,
//! the engine uses `request` to write the request to a server and `server_response` to read the
//! response.

mod accept;
mod admit;
mod connection;
mod decimal;
mod frontend;
mod health_check;
mod read_request;
mod reply;
mod request;
mod request_ids;
mod route;
mod server_response;
mod shared_ids;
mod write_reply;

pub use accept::accept_connections;
pub use frontend::{FRONTEND_NAME, Frontend};
pub use health_check::HttpHealthCheck;
pub use shared_ids::{ClaimError, SharedClaim, SharedIds};
