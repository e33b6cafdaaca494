//! The engine: one proxy without its protocols. It owns the balancer and notifies it of all that
//! happens, keeps the open requests until their one final response, the connections to servers, the
//! descriptor budget, the lifecycle of the process, its clock and the balancer's timers. It decides
//! nothing.
//!
//! It may use `balancer`, `capture`, `limits`, `membership`, `sockets`, `time`, smol and slog. No
//! protocol ever enters it, neither of clients nor of servers, and no format of an endpoint list: a
//! request comes in as something that can write itself to a server and read what comes back
//! ([`response::ClientRequest`]), and leaves as bytes with a status; an endpoint list comes in as
//! plain endpoints ([`servers::ListedEndpoint`]).
//!
//! Modules use those below them only:
//!
//! - `shutdown`, `background` and `api` call the engine from outside;
//! - `dispatch` calls the request table and spawns the tasks that it wants;
//! - `attempt` with `body_transfer`, `health_check` and `connect` are those tasks;
//! - `engine` holds what the others share: `request_table` with `effect_sink`, `pool`, `budget`,
//!   `lifecycle` and the rest.

pub mod api;
mod attempt;
mod attempt_handle;
pub mod background;
mod body_transfer;
pub mod budget;
pub mod classes;
pub mod clock;
mod close_schedule;
pub mod config;
mod connect;
mod dispatch;
mod effect_sink;
pub mod engine;
mod health_check;
mod idle_clients;
pub mod lifecycle;
pub mod pool;
pub mod request_table;
pub mod response;
pub mod servers;
pub mod shutdown;
mod timers;
pub mod violations;
