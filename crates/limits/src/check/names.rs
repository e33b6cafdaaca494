//! Names in an operator's file: those of the platform must be known, its own must differ.

use crate::error::ErrorList;
use crate::operator::{Route, UncheckedLimits};
use crate::platform::PlatformLimits;

pub(crate) fn check(limits: &UncheckedLimits, platform: &PlatformLimits, errors: &mut ErrorList) {
    check_classes(limits, platform, errors);
    for (index, route) in limits.routes.iter().enumerate() {
        check_known(route, platform, errors);
        if route.matches.path.as_ref().is_some_and(|path| !path.starts_with('/')) {
            errors.add(route.line, format!("route {}: a path begins with /", route.name));
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
            errors.add(name.line, format!("class \"{}\" is no namespace of the platform", name.value));
        }
        if limits.classes[..index].iter().any(|other| other.namespace.value == name.value) {
            errors.add(name.line, format!("class \"{}\" is there twice", name.value));
        }
    }
}

fn check_known(route: &Route, platform: &PlatformLimits, errors: &mut ErrorList) {
    if let Some(name) = route.matches.namespace.as_ref().filter(|name| !is_namespace(platform, name)) {
        errors.add(route.line, format!("route {}: \"{name}\" is no namespace of the platform", route.name));
    }
    if let Some(name) = unknown(&route.matches.tenant, &platform.tenants) {
        errors.add(route.line, format!("route {}: \"{name}\" is no tenant of the platform", route.name));
    }
    if let Some(name) = unknown(&route.matches.frontend, &platform.frontends) {
        let known = platform.frontends.join(", ");
        errors
            .add(route.line, format!("route {}: there is no frontend \"{name}\", only {known}", route.name));
    }
}

fn is_namespace(platform: &PlatformLimits, name: &str) -> bool {
    platform.namespaces.iter().any(|namespace| namespace.name == name)
}

/// The name, if it is none of those that are known. Where none is known, any will do.
fn unknown<'a>(name: &'a Option<String>, known: &[String]) -> Option<&'a String> {
    name.as_ref().filter(|name| !known.is_empty() && !known.contains(name))
}
