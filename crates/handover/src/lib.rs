//! What the processes of one proxy share over an upgrade: servers that operators disabled, whether the proxy is in service,
//! which process is ready. Each process writes one file, a [`HandoverRecord`]; where two records differ on a matter, the later
//! [`OperatorOverride`] wins.
//!
//! The crate does no I/O: times are passed in, and files come and go as texts. It depends on serde and a checksum only.

mod format;
mod learned;
mod operator_override;
mod record;

pub use format::{DecodeError, MAX_FILE_BYTES};
pub use learned::{LearnedServers, ServerFigures};
pub use operator_override::OperatorOverride;
pub use record::{HandoverRecord, MergeOutcome};
