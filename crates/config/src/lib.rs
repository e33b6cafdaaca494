//! Reads the operator's file, in which an installation sets what the platform's settings do not
//! cover. The file is TOML and is read as a whole, with the line of every value. `chalkwalk_limits`
//! checks its limits before any part of the file is used, and all errors are reported at once.
//!
//! - `schema` defines the file's tables and keys, `lines` finds the lines of its values, `read`
//!   reads the whole file.
//! - `limits`, `membership`, `resp` and `capture` read one part of the file each.
//! - `explain` formats which limits apply to a request, and which line of the file sets each of
//!   them.
//!
//! This crate uses nothing of the running proxy.

mod capture;
mod explain;
mod limits;
mod lines;
mod membership;
mod read;
mod resp;
mod schema;

pub use capture::CaptureConfig;
pub use explain::explain;
pub use membership::{EtcdConfig, MembershipConfig, MembershipSource};
pub use read::{OperatorConfig, format_errors, read};
pub use resp::{KeyPrefix, ProxyInstance, RespConfig, RespUser};
