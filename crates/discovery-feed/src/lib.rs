//! Sources of the list beside the platform's own. `feed` is what they share: they hand it what they read, it has it reconciled,
//! tells the engine, logs, keeps the list on disk and counts proxies. `file` is one of them, a watched file.
//!
//! It may use `engine`, `membership`, smol and slog. A door never enters it, nor the wire of a source that speaks a protocol:
//! such a source is a package of its own that ends in a feed.

mod feed;
mod file;

pub use feed::Feed;
pub use file::FileSource;
