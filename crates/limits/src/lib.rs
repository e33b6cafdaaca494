//! Limits by request class: time limits, attempts, hedged requests, retry budgets.
//!
//! An operator's limits are checked against the platform's before any of them is used, and all
//! errors are reported at once. What is accepted keeps the platform's limits by construction.
//!
//! - `operator` holds an operator's limits as they are written, `platform` what the platform
//!   allows.
//! - `check` compares the two, rule by rule.
//! - `effective` is which limits apply to a class and who set each, `table` which class a request
//!   is of, `route_match` which requests a route is for.
//! - `budget` counts retries against a share of first attempts, of all classes (`token_bucket`) or
//!   of one (`sliding_window`).
//!
//! No socket, file or clock is used here. Times are in ticks of a tenth of a millisecond, shares in
//! whole thousandths.

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
pub use effective::{Effective, LimitSource, Limits};
pub use error::ConfigError;
pub use operator::{
    ClassOverrides, ClientRetries, LimitOverrides, Located, Route, RouteMatch, UncheckedLimits,
};
pub use platform::{Idempotency, Namespace, PlatformLimits};
pub use table::{LimitTable, RequestAttributes, RequestClass};
