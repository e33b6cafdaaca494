//! Membership: which servers there are, reconciled from what a source of the endpoint list reports,
//! and how many proxies share them.
//!
//! No socket, file or clock enters this crate: times are passed in, texts and bytes go in and come
//! out. It may use the balancer's plain types, serde with its formats, and crc32fast. It decides
//! what the engine is notified of; which server a request goes to is the balancer's decision.

mod endpoint;
pub mod format;
pub mod persisted;
pub mod proxy_count;
pub mod reconcile;

pub use endpoint::{ListEntry, ListedEndpoint, MAX_ENDPOINTS};
