//! Capture and replay: every call into the balancer and what it decided, as bytes; and the same calls made again.
//!
//! It may use `policy`, serde with postcard, and crc32fast. `record` and `replay` and `tape` do no I/O; `file` alone knows files and a
//! thread. Nothing of a protocol ever enters it.

mod file;
mod record;
mod replay;
mod tape;

pub use file::{Keep, Writer, segments};
pub use record::{Block, Call, Done, Item, MARK, Read, RecordedEndpoint, Told, framed, read};
pub use replay::{Difference, Replay, cut, replay};
pub use tape::Tape;
