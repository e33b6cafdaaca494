//! The RESP frontend. It accepts client connections and makes attempts at servers, both with the
//! cluster commands and redirections of RESP, as the public specifications define them.
//!
//! This crate depends on `engine`, `resp`, `slot-map`, `limits`, `balancer`, `sockets` and `time`.
//! It depends neither on the frontend of another protocol nor on a source of the endpoint list; the
//! only endpoints that it lists itself are the nodes that the servers report. It makes no routing
//! decisions; the balancer makes them.
//!
//! - `parse`, `arguments`, `command_table`, `command`: parse commands and classify them;
//! - `session`: answers connection and cluster commands;
//! - `connection`: receives the commands of one client and writes the replies, in order;
//! - `request`, `server_reply`, `long_reply`, `merge`: write requests to servers, read the replies, and merge the
//!   replies to commands that were split by slot;
//! - `slot_map_poll`, `health_check`: poll the servers for the slot map and check their health.

mod arguments;
mod command;
mod command_table;
mod connection;
mod frontend;
mod health_check;
mod known_nodes;
mod long_reply;
mod merge;
mod message_cost;
mod parse;
mod request;
mod server_reply;
mod session;
mod settings;
mod slot_map_poll;
#[cfg(test)]
mod test_support;

pub use connection::accept_clients;
pub use frontend::{FRONTEND_NAME, Frontend};
pub use health_check::PingHealthCheck;
pub use settings::{PrefixRule, ProxyNode, Settings, User, hash_secret};
pub use slot_map_poll::{apply_seed_endpoints, poll_slot_map};
