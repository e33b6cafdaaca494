//! Membership: reconciles the reports of an endpoint list source into the set of servers, and
//! determines how many proxies share these servers.
//!
//! This crate performs no I/O and reads no clock: times are passed in, and it only reads and
//! returns text and bytes. It may depend on the balancer's plain types, serde with its formats, and
//! crc32fast. It decides which endpoint changes the engine is notified of; the balancer decides
//! which server a request goes to.

mod endpoint;
pub mod format;
pub mod persisted;
pub mod proxy_count;
pub mod reconcile;

pub use endpoint::{ListEntry, ListedEndpoint, MAX_ENDPOINTS};
