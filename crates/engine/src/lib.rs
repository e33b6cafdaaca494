//! The engine: one proxy without its protocols. It owns the balancer and tells it all that happens, keeps the requests that are
//! open and their one answer, connections by server, descriptors, the phases of the program, its clock and its wakes.
//!
//! It may use `policy`, `limits`, `membership`, `net`, smol and slog. No protocol ever enters it, neither of clients nor of servers,
//! and no format of a list: a request comes in as something that can write itself to a server and read what comes back (`response::ClientRequest`), and
//! leaves as bytes with a verdict; a list comes in as plain lines (`servers::ListedEndpoint`). It decides nothing.
//!
//! Modules point down only: `api`, `background` and `shutdown` use `engine`, which holds what those below it keep.

pub mod api;
pub mod background;
pub mod budget;
pub mod classes;
pub mod clock;
pub mod config;
pub mod engine;
mod idle_clients;
pub mod lifecycle;
pub mod pool;
pub mod requests;
pub mod response;
pub mod servers;
pub mod shutdown;
pub mod violations;
