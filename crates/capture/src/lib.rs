//! Capture and replay: every call into the balancer and what it decided, as bytes; and the same calls made again.
//!
//! It may use `balancer`, serde with postcard, and crc32fast. `format`, `outcome`, `recorder`, `replay` and `excerpt` do no I/O;
//! `writer` and `segments` alone know files and a thread. Nothing of a protocol enters the crate.

mod event;
mod excerpt;
mod format;
mod outcome;
mod recorder;
mod replay;
mod segments;
mod writer;

pub use event::{CallBlock, CaptureItem, Decision, Event, RecordedCall, RecordedEndpoint};
pub use excerpt::excerpt;
pub use format::{CaptureContents, Damage, FILE_MARK, ItemError, NotACapture, encode_item, read};
pub use recorder::{Recorder, Sink};
pub use replay::{Difference, Replay, replay};
pub use segments::{Retention, segments};
pub use writer::{CaptureWriter, OpenError};
