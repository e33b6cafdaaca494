//! The HTTP/1.1 door: clients' connections on one side, attempts to servers on the other, as the platform's protocol has them.
//!
//! It may use `engine`, `http1`, `limits` and `net`. Another protocol's door never enters it, nor a source of the list; it decides
//! nothing. A request passes its stages in their order: `take_in`, `admit`, `route`, the engine, and `relay`.

mod admit;
mod clients;
mod door;
mod relay;
mod route;
mod servers;
mod take_in;

pub use admit::FRONTEND_NAME;
pub use clients::accept;
pub use door::Frontend;
pub use servers::AliveCheck;
