//! The common part of the endpoint list sources other than the platform's own discovery. Each of
//! them reports what it reads to a [`Feed`], which reconciles the reports, notifies the engine,
//! logs, persists the list and counts proxies. [`FileSource`] is a source that watches a file.
//!
//! This crate may use `engine`, `membership`, smol and slog, but no frontend and no network
//! protocol. A source with a protocol is a crate of its own that reports to a feed.

mod feed;
mod file;
mod persistence;

pub use feed::Feed;
pub use file::FileSource;
