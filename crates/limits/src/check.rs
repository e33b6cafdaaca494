//! Checks an operator's limits against the platform's. All errors are found at once, each with the
//! line to correct and the rule that it breaks.

mod class;
mod clients;
mod names;
mod routes;
mod values;

use crate::error::{ConfigError, ErrorList};
use crate::operator::UncheckedLimits;
use crate::platform::PlatformLimits;
use crate::table::LimitTable;

/// Returns the limits that apply, or all errors in the operator's limits.
pub fn check(limits: &UncheckedLimits, platform: &PlatformLimits) -> Result<LimitTable, Vec<ConfigError>> {
    let mut errors = ErrorList::default();
    names::check(limits, platform, &mut errors);
    values::check(limits, &mut errors);
    routes::check(limits, &mut errors);
    let table = LimitTable::build(limits, platform);
    class::check(&table, platform, &mut errors);
    clients::check(limits, &table, platform, &mut errors);
    let errors = errors.into_sorted();
    if errors.is_empty() { Ok(table) } else { Err(errors) }
}
