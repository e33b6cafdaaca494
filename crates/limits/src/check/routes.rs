//! Reports routes that can never match because an earlier route matches all of their requests.

use crate::error::ErrorList;
use crate::operator::UncheckedLimits;

pub(crate) fn check(limits: &UncheckedLimits, errors: &mut ErrorList) {
    for (index, route) in limits.routes.iter().enumerate() {
        let earlier = &limits.routes[..index];
        if let Some(covering) = earlier.iter().find(|covering| covering.conditions.covers(&route.conditions))
        {
            let message = format!(
                "route {} can never match: the earlier route {} matches all of its requests",
                route.name, covering.name
            );
            errors.add(route.line, message);
        }
    }
}
