//! Routes that can never match, as an earlier one matches all that they would.

use crate::error::ErrorList;
use crate::operator::UncheckedLimits;

pub(crate) fn check(limits: &UncheckedLimits, errors: &mut ErrorList) {
    for (index, route) in limits.routes.iter().enumerate() {
        let earlier = &limits.routes[..index];
        if let Some(first) = earlier.iter().find(|first| first.matches.covers(&route.matches)) {
            let message = format!(
                "route {} can never match: route {} matches all that it would",
                route.name, first.name
            );
            errors.add(route.line, message);
        }
    }
}
