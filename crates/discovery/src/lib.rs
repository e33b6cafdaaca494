//! The platform's side of a proxy: the configuration file that the platform writes, and its
//! endpoint list, polled and watched over HTTP.
//!
//! - `startup` reads the configuration file, `field_paths` notices a later one that lacks fields of
//!   the first.
//! - `watch` keeps the endpoint list up to date, call after call; `watch_state` holds what is known
//!   from the calls so far.
//! - `call` is a single HTTP call, `timing` how long one may take.
//! - `list` is the content of an answer, `list_state` which version a proxy has and how far it
//!   trusts a lower one.
//!
//! It may use the engine, the settings, the limits, `http1` and `sockets`. No frontend and no other
//! source of the endpoint list may use it, nor it them.

mod address;
mod call;
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
