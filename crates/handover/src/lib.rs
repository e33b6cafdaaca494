//! The state that the processes of one proxy share during an upgrade: which servers operators have
//! disabled, whether the proxy is in service, and which process is ready. Each process writes one
//! file, a [`HandoverRecord`], and beside it the [`ToldDrains`]; where two records disagree on a server or on the proxy's service
//! state, the later [`OperatorOverride`] wins.
//!
//! The crate does no I/O: the caller passes in the time and the texts of files. Besides the time
//! types it depends only on serde and a checksum library.

mod drains;
mod format;
mod learned;
mod operator_override;
mod record;

pub use drains::ToldDrains;
pub use format::{DecodeError, MAX_FILE_BYTES};
pub use learned::{LearnedServers, ServerStats};
pub use operator_override::OperatorOverride;
pub use record::{HandoverRecord, MergeOutcome};
