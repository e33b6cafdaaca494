//! The HTTP/1.1 frontend: clients' connections on one side, attempts to servers on the other, in
//! the platform's dialect of HTTP.
//!
//! It may use `engine`, `balancer`, `http1`, `limits`, `sockets`, `time`, smol and slog. Another
//! protocol's frontend never enters it, nor a source of the endpoint list; it decides nothing.
//!
//! A connection comes in by `accept`, and `connection` has each request pass its stages in their
//! order: `read_request`, `admit`, `route` (the engine), and `write_reply`. The engine then writes
//! a `request` to a server, and `server_response` reads what comes back.

mod accept;
mod admit;
mod connection;
mod decimal;
mod frontend;
mod health_check;
mod read_request;
mod reply;
mod request;
mod route;
mod server_response;
mod write_reply;

pub use accept::accept;
pub use frontend::{FRONTEND_NAME, Frontend};
pub use health_check::AliveCheck;
