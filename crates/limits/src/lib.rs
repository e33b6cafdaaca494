//! Limits by class of request: time limits, attempts, hedged requests, budgets. What an operator says is held against the platform's
//! rules before any of it is used, all faults at once; what is accepted keeps them by construction.
//!
//! It may use the standard library alone: no socket, file or clock ever enters it. Times are whole tenths of a millisecond,
//! shares whole thousandths.

mod budget;
mod check;
mod draft;
mod table;

pub use budget::{RetryBudget, SlidingBudget};
pub use check::{ConfigError, check};
pub use draft::{
    ClientRetries, Idempotency, LimitOverrides, Located, Namespace, PlatformLimits, Route, RouteMatch,
    UncheckedLimits,
};
pub use table::{Effective, LimitSource, LimitTable, Limits, RequestAttributes, RequestClass};
