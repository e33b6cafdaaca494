//! The classes of requests, each with its limits, and which class a request is of.

use crate::effective::{Limits, Scope, ScopeKind};
use crate::operator::{Route, RouteMatch, UncheckedLimits};
use crate::platform::PlatformLimits;

/// The requests of one namespace that one route is for, or that none is.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The namespace's number.
    pub namespace: usize,
    /// The route, by its position in the file.
    pub route: Option<usize>,
    /// The limits that apply.
    pub limits: Limits,
}

/// What is known of a request when it comes.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestAttributes<'a> {
    /// The namespace's number.
    pub namespace: usize,
    /// The path, or the key.
    pub path: &'a str,
    /// The tenant, empty where none is named.
    pub tenant: &'a str,
    /// The frontend that it came by.
    pub frontend: &'a str,
}

/// All classes. Those of the namespaces alone come first, in the namespaces' order, so that a class
/// without a route has the number of its namespace.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    classes: Vec<RequestClass>,
    routes: Vec<RouteClasses>,
    namespaces: Vec<String>,
}

#[derive(Clone, Debug)]
struct RouteClasses {
    name: String,
    matches: RouteMatch,
    /// The route's class by namespace, `None` where it is for another one.
    by_namespace: Vec<Option<usize>>,
}

impl LimitTable {
    /// The limits that apply by an operator's file, checked or not.
    pub(crate) fn of(limits: &UncheckedLimits, platform: &PlatformLimits) -> LimitTable {
        let mut table = LimitTable {
            namespaces: platform.namespaces.iter().map(|namespace| namespace.name.clone()).collect(),
            ..LimitTable::default()
        };
        for namespace in 0..platform.namespaces.len() {
            table.add_class(limits, platform, namespace, None);
        }
        for (index, route) in limits.routes.iter().enumerate() {
            table.add_route(limits, platform, index, route);
        }
        table
    }

    /// The limits that apply where no operator sets any.
    pub fn from_settings(platform: &PlatformLimits) -> LimitTable {
        LimitTable::of(&UncheckedLimits::default(), platform)
    }

    /// All classes, by number.
    pub fn classes(&self) -> &[RequestClass] {
        &self.classes
    }

    /// The number of a request's class: that of the first route that is for it, or its namespace's.
    pub fn find(&self, request: RequestAttributes) -> usize {
        let namespace = self.namespaces.get(request.namespace).map_or("", String::as_str);
        let class = |route: &RouteClasses| {
            let class = route.by_namespace.get(request.namespace).copied().flatten();
            class.filter(|_| route.matches.matches(request, namespace))
        };
        self.routes.iter().find_map(class).unwrap_or(request.namespace)
    }

    /// The name of a class's route.
    pub fn route_of(&self, class: usize) -> Option<&str> {
        self.classes[class].route.map(|route| self.routes[route].name.as_str())
    }

    fn add_route(
        &mut self,
        limits: &UncheckedLimits,
        platform: &PlatformLimits,
        index: usize,
        route: &Route,
    ) {
        let mut by_namespace = vec![None; platform.namespaces.len()];
        for (namespace, class) in by_namespace.iter_mut().enumerate() {
            let name = &platform.namespaces[namespace].name;
            if route.matches.namespace.as_ref().is_none_or(|namespace| namespace == name) {
                *class = Some(self.add_class(limits, platform, namespace, Some(index)));
            }
        }
        let (name, matches) = (route.name.clone(), route.matches.clone());
        self.routes.push(RouteClasses { name, matches, by_namespace });
    }

    /// Adds the class of a namespace, or of a route in it, and returns its number.
    fn add_class(
        &mut self,
        limits: &UncheckedLimits,
        platform: &PlatformLimits,
        namespace: usize,
        route: Option<usize>,
    ) -> usize {
        let of_platform = &platform.namespaces[namespace];
        let name = of_platform.name.as_str();
        let mut scopes = vec![Scope { overrides: &limits.defaults, kind: ScopeKind::Defaults }];
        let class = limits.classes.iter().find(|class| class.namespace.value == name);
        scopes.extend(class.map(|class| Scope { overrides: &class.overrides, kind: ScopeKind::Class(name) }));
        let route_scope = route.map(|index| &limits.routes[index]);
        scopes.extend(
            route_scope
                .map(|route| Scope { overrides: &route.overrides, kind: ScopeKind::Route(&route.name) }),
        );
        let limits = Limits::of(platform, of_platform, &scopes);
        self.classes.push(RequestClass { namespace, route, limits });
        self.classes.len() - 1
    }
}
