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
    Clients, Draft, Idempotency, LimitOverrides, Located, Match, Namespace, PlatformLimits, Route,
};
pub use table::{Class, LimitSource, Limits, RequestAttributes, Table};
