//! Which requests a route is for.

use crate::operator::RouteMatch;
use crate::table::RequestAttributes;

impl RouteMatch {
    /// Whether the route is for this request; `namespace` is the name of the request's.
    pub(crate) fn matches(&self, request: RequestAttributes, namespace: &str) -> bool {
        let equal = |condition: &Option<String>, value: &str| {
            condition.as_ref().is_none_or(|condition| condition == value)
        };
        self.path.as_ref().is_none_or(|prefix| request.path.starts_with(prefix.as_str()))
            && equal(&self.namespace, namespace)
            && equal(&self.tenant, request.tenant)
            && equal(&self.frontend, request.frontend)
    }

    /// Whether it matches every request that another does.
    pub(crate) fn covers(&self, other: &RouteMatch) -> bool {
        let wider = |own: &Option<String>, other: &Option<String>| own.is_none() || own == other;
        let path = match (&self.path, &other.path) {
            (None, _) => true,
            (Some(own), Some(other)) => other.starts_with(own.as_str()),
            (Some(_), None) => false,
        };
        path && wider(&self.namespace, &other.namespace)
            && wider(&self.tenant, &other.tenant)
            && wider(&self.frontend, &other.frontend)
    }
}
