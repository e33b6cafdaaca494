//! Limits by request class: time limits, attempts, hedged requests, retry budgets.
//!
//! The operator's limits are checked against the platform's before any of them is used, and all
//! errors are reported at once. Callers get a `LimitTable` only for limits that passed the check,
//! or for the platform's limits alone, so no operator's limit in it exceeds the platform's.
//!
//! - `operator` holds the operator's limits as they are written in the file, `platform` the
//!   platform's limits.
//! - `check` compares the two, rule by rule.
//! - `effective` determines which limits apply to a request class and who set each of them, `table`
//!   finds the class of a request, `route_match` tells whether a route matches a request.
//! - `budget` limits retries to a share of the first attempts: of a single class
//!   (`sliding_window`), or of all classes without a budget of their own (`token_bucket`).
//!
//! This crate uses no sockets, files or clocks. Times are in ticks of 0.1 ms, shares in whole
//! thousandths.

mod budget;
mod check;
mod effective;
mod error;
mod operator;
mod platform;
mod route_match;
mod sliding_window;
mod table;
mod token_bucket;

pub use budget::RetryBudget;
pub use check::check;
pub use effective::{EffectiveLimit, LimitSource, Limits};
pub use error::ConfigError;
pub use operator::{
    ClassOverrides, ClientRetries, LimitOverrides, Located, Route, RouteMatch, UncheckedLimits,
};
pub use platform::{DedupGroup, Idempotency, Namespace, PlatformLimits};
pub use table::{LimitTable, RequestAttributes, RequestClass};
