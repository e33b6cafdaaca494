//! Retries that clients make by themselves: they multiply the attempts that are made for each of
//! their requests.

use crate::effective::Limits;
use crate::error::ErrorList;
use crate::operator::{ClientRetries, UncheckedLimits};
use crate::platform::PlatformLimits;
use crate::table::LimitTable;

/// One, in the thousandths that shares are counted in.
const ONE: u64 = 1000;

pub(crate) fn check(
    limits: &UncheckedLimits,
    table: &LimitTable,
    platform: &PlatformLimits,
    errors: &mut ErrorList,
) {
    let Some(clients) = limits.clients else { return };
    if clients.tries.value == 0 {
        errors.add(clients.tries.line, "tries counts the first one: it is 1 at the least".into());
        return;
    }
    for class in table.classes() {
        check_class(&platform.namespaces[class.namespace].name, &class.limits, clients, errors);
    }
}

fn check_class(namespace: &str, limits: &Limits, clients: ClientRetries, errors: &mut ErrorList) {
    let attempts = attempts_per_request(limits);
    let total = attempts * clients.tries.value;
    if total <= clients.max_amplification.value {
        return;
    }
    let message = format!(
        "{namespace}: {} tries of a client with {} attempts each come to {}, and {} is the most that was stated: set further_shots",
        clients.tries.value,
        from_thousandths(attempts),
        from_thousandths(total),
        from_thousandths(clients.max_amplification.value)
    );
    let sources = [&limits.retry_budget.source, &limits.max_attempts.source];
    let lines = sources.iter().filter_map(|source| source.line());
    let line = lines.max().unwrap_or(0).max(clients.max_amplification.line);
    errors.add(line, message);
}

/// Attempts that are made for one request on average, in thousandths, if all of them fail.
fn attempts_per_request(limits: &Limits) -> u64 {
    let most = limits.max_attempts.value * ONE;
    limits.retry_budget.value.map_or(most, |share| most.min(ONE + share))
}

fn from_thousandths(thousandths: u64) -> f64 {
    thousandths as f64 / ONE as f64
}
