//! Records every call into the balancer with the decisions that it led to, and replays recorded
//! calls.
//!
//! The crate may depend on `balancer`, `time`, serde with postcard, crc32fast and thiserror.
//! `event`, `format`, `outcome`, `recorder`, `replay` and `excerpt` do no I/O; only `writer` uses a
//! thread and only `segments` uses files. The crate depends on no network protocol.

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
pub use format::{
    CaptureContents, Damage, FILE_SIGNATURE, ItemError, UnsupportedFormat, encode_item, read_segment,
};
pub use recorder::{Recorder, Sink};
pub use replay::{Difference, Replay, replay};
pub use segments::{Retention, segment_paths};
pub use writer::{CaptureWriter, OpenError};
