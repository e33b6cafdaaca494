//! Capture and replay: every call into the balancer and what it decided, as bytes; and the same calls made again.
//!
//! It may use `policy`, serde with postcard, and crc32fast. `record` and `replay` and `recorder` do no I/O; `file` alone knows files and a
//! thread. Nothing of a protocol ever enters it.

mod file;
mod format;
mod recorder;
mod replay;

pub use file::{CaptureWriter, Retention, segments};
pub use format::{
    CallBlock, CaptureContents, CaptureItem, Decision, Event, FILE_MARK, RecordedCall, RecordedEndpoint,
    encode_item, read,
};
pub use recorder::Recorder;
pub use replay::{Difference, Replay, excerpt, replay};
