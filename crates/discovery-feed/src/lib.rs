//! Sources of the endpoint list beside the platform's own. [`Feed`] is what they share: they hand
//! it what they read; it has it reconciled, notifies the engine, logs, persists the list and counts
//! proxies. [`FileSource`] is one of them, a watched file.
//!
//! This crate may use `engine`, `membership`, smol and slog. No frontend enters it, nor the
//! protocol of a source that speaks one: such a source is a crate of its own that ends in a feed.

mod feed;
mod file;
mod persistence;

pub use feed::Feed;
pub use file::FileSource;
