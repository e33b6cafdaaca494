//! The operator's file: what an installation sets beside the platform's settings. TOML, read whole
//! with the line of every value; the limits in it are checked by `chalkwalk_limits` before any of
//! it is used, and all errors are reported at once.
//!
//! - `schema` is the file's tables and keys, `lines` finds the lines of its values, `read` reads it
//!   whole.
//! - `limits`, `membership`, `resp` and `capture` read one part each.
//! - `explain` writes which limits apply to a request, and which line set each.
//!
//! Nothing of the running proxy is used here.

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
