//! Checks the retries that clients make on their own. They multiply the attempts that the proxy
//! makes for each request.

use crate::effective::Limits;
use crate::error::ErrorList;
use crate::operator::{ClientRetries, UncheckedLimits};
use crate::platform::PlatformLimits;
use crate::table::LimitTable;

/// The number 1 in thousandths, the unit of shares.
const ONE_IN_THOUSANDTHS: u64 = 1000;

pub(crate) fn check(
    limits: &UncheckedLimits,
    table: &LimitTable,
    platform: &PlatformLimits,
    errors: &mut ErrorList,
) {
    let Some(clients) = limits.clients else { return };
    if clients.tries.value == 0 {
        errors.add(
            clients.tries.line,
            "tries is 0, but it includes the first request and must be at least 1".into(),
        );
        return;
    }
    for class in table.classes() {
        check_class(&platform.namespaces[class.namespace].name, &class.limits, clients, errors);
    }
}

fn check_class(namespace: &str, limits: &Limits, clients: ClientRetries, errors: &mut ErrorList) {
    let attempts = attempts_per_request(limits);
    let amplification = attempts * clients.tries.value;
    if amplification <= clients.max_amplification.value {
        return;
    }
    let message = format!(
        "{namespace}: {} tries by a client with {} attempts each make {} attempts, \
         more than the stated amplification of {}: set further_shots",
        clients.tries.value,
        from_thousandths(attempts),
        from_thousandths(amplification),
        from_thousandths(clients.max_amplification.value)
    );
    let sources = [&limits.retry_budget_permille.source, &limits.max_attempts.source];
    let lines = sources.iter().filter_map(|source| source.line());
    let line = lines.max().unwrap_or(0).max(clients.max_amplification.line);
    errors.add(line, message);
}

/// The average number of attempts for one request if all attempts fail, in thousandths.
fn attempts_per_request(limits: &Limits) -> u64 {
    let max_attempts = limits.max_attempts.value * ONE_IN_THOUSANDTHS;
    limits
        .retry_budget_permille
        .value
        .map_or(max_attempts, |share| max_attempts.min(ONE_IN_THOUSANDTHS + share))
}

fn from_thousandths(thousandths: u64) -> f64 {
    thousandths as f64 / ONE_IN_THOUSANDTHS as f64
}
