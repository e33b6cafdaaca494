//! The RESP frontend: clients' connections on one side, attempts at servers on the other, both in
//! the cluster dialect of RESP, as its public specifications define it.
//!
//! It depends on `engine`, `resp`, `slot-map`, `limits`, `balancer`, `sockets` and `time`, never on
//! another protocol's frontend nor on a source of the endpoint list, except what the servers report
//! of themselves. It makes no routing decisions: the balancer does.
//!
//! - `parse`, `arguments`, `command_table`, `command`: what a client sent, and what is to be done
//!   with it;
//! - `session`: connection and cluster commands, which are answered here;
//! - `connection`: the commands of one client in order, and their replies;
//! - `request`, `server_reply`, `merge`: attempts at servers, and the replies to commands over
//!   several slots;
//! - `slot_map_poll`, `health_check`: what is learned from the servers.

mod arguments;
mod command;
mod command_table;
mod connection;
mod frontend;
mod health_check;
mod merge;
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
pub use health_check::Ping;
pub use settings::{Instance, PrefixRule, Settings, User, hash_secret};
pub use slot_map_poll::{follow_slot_map, list_seeds};
