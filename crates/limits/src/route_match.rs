//! Decides which requests a route matches.

use crate::operator::RouteMatch;
use crate::table::RequestAttributes;

impl RouteMatch {
    /// Whether the request meets all conditions. `namespace` is the name of the request's
    /// namespace.
    pub(crate) fn matches(&self, request: RequestAttributes, namespace: &str) -> bool {
        let is_met = |condition: &Option<String>, value: &str| {
            condition.as_ref().is_none_or(|condition| condition == value)
        };
        self.path_prefix.as_ref().is_none_or(|prefix| request.path.starts_with(prefix.as_str()))
            && is_met(&self.namespace, namespace)
            && is_met(&self.tenant, request.tenant)
            && is_met(&self.frontend, request.frontend)
    }

    /// Whether these conditions match every request that `other` matches.
    pub(crate) fn covers(&self, other: &RouteMatch) -> bool {
        let covers_condition = |own: &Option<String>, other: &Option<String>| own.is_none() || own == other;
        let covers_path = match (&self.path_prefix, &other.path_prefix) {
            (None, _) => true,
            (Some(own), Some(other)) => other.starts_with(own.as_str()),
            (Some(_), None) => false,
        };
        covers_path
            && covers_condition(&self.namespace, &other.namespace)
            && covers_condition(&self.tenant, &other.tenant)
            && covers_condition(&self.frontend, &other.frontend)
    }
}
