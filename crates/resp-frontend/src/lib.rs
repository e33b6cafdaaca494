//! The RESP door: clients' connections on one side, attempts to servers on the other, both in the cluster dialect of RESP, after
//! its public specifications.
//!
//! It may use `engine`, `resp`, `slots`, `limits`, `membership` and `net`. Another protocol's door never enters it, nor a source of the
//! list but what the servers say of themselves; it decides nothing. `command` says what a command is, `client` answers what is not
//! for servers, `clients` keeps a connection's order, `request` is an attempt and its answer, `cluster` learns the slot map.

mod client;
mod clients;
mod cluster;
mod command;
mod frontend;
mod parts;
mod request;
mod settings;

pub use clients::accept_clients;
pub use cluster::{follow_slot_map, list_seeds};
pub use frontend::Frontend;
pub use request::Ping;
pub use settings::{Instance, PrefixRule, Settings, User, hash_secret};

/// The name by which an operator's routes know this door.
pub const FRONTEND_NAME: &str = "resp";
