//! Checks the names in an operator's file: names of the platform must exist, and names of classes
//! and routes must be unique.

use crate::error::ErrorList;
use crate::operator::{Route, UncheckedLimits};
use crate::platform::PlatformLimits;

pub(crate) fn check(limits: &UncheckedLimits, platform: &PlatformLimits, errors: &mut ErrorList) {
    check_classes(limits, platform, errors);
    for (index, route) in limits.routes.iter().enumerate() {
        check_route_names(route, platform, errors);
        if route.conditions.path_prefix.as_ref().is_some_and(|path| !path.starts_with('/')) {
            errors.add(route.line, format!("route {}: the path does not begin with /", route.name));
        }
        if limits.routes[..index].iter().any(|other| other.name == route.name) {
            errors.add(route.line, format!("two routes are named {}", route.name));
        }
    }
}

fn check_classes(limits: &UncheckedLimits, platform: &PlatformLimits, errors: &mut ErrorList) {
    for (index, class) in limits.classes.iter().enumerate() {
        let name = &class.namespace;
        if !is_namespace(platform, &name.value) {
            errors.add(name.line, format!("class \"{}\" is not a namespace of the platform", name.value));
        }
        if limits.classes[..index].iter().any(|other| other.namespace.value == name.value) {
            errors.add(name.line, format!("class \"{}\" is defined twice", name.value));
        }
    }
}

fn check_route_names(route: &Route, platform: &PlatformLimits, errors: &mut ErrorList) {
    if let Some(name) = route.conditions.namespace.as_ref().filter(|name| !is_namespace(platform, name)) {
        errors
            .add(route.line, format!("route {}: \"{name}\" is not a namespace of the platform", route.name));
    }
    if let Some(name) = unknown_name(&route.conditions.tenant, &platform.tenants) {
        errors.add(route.line, format!("route {}: \"{name}\" is not a tenant of the platform", route.name));
    }
    if let Some(name) = unknown_name(&route.conditions.frontend, &platform.frontends) {
        let known = platform.frontends.join(", ");
        errors.add(
            route.line,
            format!("route {}: unknown frontend \"{name}\", expected one of: {known}", route.name),
        );
    }
}

fn is_namespace(platform: &PlatformLimits, name: &str) -> bool {
    platform.namespaces.iter().any(|namespace| namespace.name == name)
}

/// Returns the name if it is not one of the known names. If no names are known, any name is
/// accepted.
fn unknown_name<'a>(name: &'a Option<String>, known: &[String]) -> Option<&'a String> {
    name.as_ref().filter(|name| !known.is_empty() && !known.contains(name))
}
