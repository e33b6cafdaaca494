//! The engine: one proxy process without its protocols. It owns the balancer and notifies it of
//! every event, keeps open requests until each has its one final response, and owns the connections
//! to servers, the descriptor budget, the lifecycle of the process, its clock and the balancer's
//! timers. All routing decisions are the balancer's.
//!
//! The crate may depend on `balancer`, `capture`, `limits`, `membership`, `sockets`, `time`, smol,
//! event-listener, rustix and slog. It contains no client or server protocol and no endpoint list
//! format: a request comes in as an object that can write itself to a server and read the response
//! ([`response::ClientRequest`]), and the response leaves as bytes with a status; an endpoint list
//! comes in as plain endpoints ([`servers::ListedEndpoint`]).
//!
//! Each module uses only modules listed below it:
//!
//! - `shutdown`, `background` and `api` call the engine from outside;
//! - `dispatch` calls the request table and spawns the tasks that the balancer asks for;
//! - `attempt` with `body_transfer`, `health_check` and `connect` are those tasks;
//! - `engine` holds the shared state: `request_table` with `effect_sink`, `pool`, `budget`,
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
pub mod server_process;
pub mod servers;
pub mod shutdown;
mod timers;
pub mod violations;
