//! The proxy's interface to the platform: the configuration file that the platform writes, and the
//! platform's endpoint list, which is polled and watched over HTTP.
//!
//! - `startup` reads the configuration file; `field_paths` detects a later file that lacks fields
//!   of the first.
//! - `watch` keeps the endpoint list up to date with one call after the other, which `caller`
//!   starts; `watch_state` holds what is known from the calls so far.
//! - `call` makes a single HTTP call; `timing` defines how long a call may take.
//! - `list` parses and applies a response; `list_state` tracks the version of the list and decides
//!   whether a lower version is trusted.
//!
//! This crate may depend on the engine, the settings, the limits, `http1` and `sockets`. There must
//! be no dependency in either direction between it and a frontend or another source of the endpoint
//! list.

mod address;
mod call;
mod caller;
mod field_paths;
mod list;
mod list_state;
mod startup;
mod timing;
mod watch;
mod watch_state;

pub use address::DiscoveryAddress;
pub use field_paths::FieldPaths;
pub use list::apply_last_known_list;
pub use startup::{StartupConfig, StartupError};
pub use watch::watch_endpoint_list;
