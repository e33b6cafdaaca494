//! The request classes with their limits, and the class that a request belongs to.

use crate::effective::{Limits, Scope, ScopeKind};
use crate::operator::{Route, RouteMatch, UncheckedLimits};
use crate::platform::PlatformLimits;

/// A class of requests: those of one namespace that a given route matches, or those that no route
/// matches.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Index of the namespace in the platform's list.
    pub namespace: usize,
    /// Index of the route in the file. `None`: requests that no route matches.
    pub route: Option<usize>,
    /// The limits that apply to these requests.
    pub limits: Limits,
}

/// The attributes of a request that determine its class.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestAttributes<'a> {
    /// Index of the namespace in the platform's list.
    pub namespace: usize,
    /// The path of an HTTP request, or the key of a RESP command.
    pub path: &'a str,
    /// The tenant's name, empty if the request has none.
    pub tenant: &'a str,
    /// The frontend that received the request.
    pub frontend: &'a str,
}

/// All request classes. The classes without a route come first, in the namespaces' order, so that
/// the index of such a class is that of its namespace.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    classes: Vec<RequestClass>,
    routes: Vec<RouteClasses>,
    namespaces: Vec<String>,
}

#[derive(Clone, Debug)]
struct RouteClasses {
    name: String,
    conditions: RouteMatch,
    /// The index of the route's class for each namespace, `None` if the route does not match
    /// requests of the namespace.
    class_by_namespace: Vec<Option<usize>>,
}

impl LimitTable {
    /// The classes and limits that result from an operator's file, whether it is valid or not.
    pub(crate) fn build(limits: &UncheckedLimits, platform: &PlatformLimits) -> LimitTable {
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

    /// The limits that apply without an operator's file.
    pub fn from_platform(platform: &PlatformLimits) -> LimitTable {
        LimitTable::build(&UncheckedLimits::default(), platform)
    }

    /// All classes, by index.
    pub fn classes(&self) -> &[RequestClass] {
        &self.classes
    }

    /// The index of a request's class: the class of the first route that matches the request, or
    /// that of the request's namespace.
    pub fn class_index(&self, request: RequestAttributes) -> usize {
        let namespace = self.namespaces.get(request.namespace).map_or("", String::as_str);
        let class = |route: &RouteClasses| {
            let class = route.class_by_namespace.get(request.namespace).copied().flatten();
            class.filter(|_| route.conditions.matches(request, namespace))
        };
        self.routes.iter().find_map(class).unwrap_or(request.namespace)
    }

    /// The name of a class's route, if the class has one.
    pub fn route_name(&self, class: usize) -> Option<&str> {
        self.classes[class].route.map(|route| self.routes[route].name.as_str())
    }

    fn add_route(
        &mut self,
        limits: &UncheckedLimits,
        platform: &PlatformLimits,
        index: usize,
        route: &Route,
    ) {
        let mut class_by_namespace = vec![None; platform.namespaces.len()];
        for (namespace, class) in class_by_namespace.iter_mut().enumerate() {
            let name = &platform.namespaces[namespace].name;
            if route.conditions.namespace.as_ref().is_none_or(|namespace| namespace == name) {
                *class = Some(self.add_class(limits, platform, namespace, Some(index)));
            }
        }
        let (name, conditions) = (route.name.clone(), route.conditions.clone());
        self.routes.push(RouteClasses { name, conditions, class_by_namespace });
    }

    /// Adds the class of a namespace, or of a route within the namespace, and returns its index.
    fn add_class(
        &mut self,
        limits: &UncheckedLimits,
        platform: &PlatformLimits,
        namespace: usize,
        route: Option<usize>,
    ) -> usize {
        let platform_namespace = &platform.namespaces[namespace];
        let name = platform_namespace.name.as_str();
        let mut scopes = vec![Scope { overrides: &limits.defaults, kind: ScopeKind::Defaults }];
        let class = limits.classes.iter().find(|class| class.namespace.value == name);
        scopes.extend(class.map(|class| Scope { overrides: &class.overrides, kind: ScopeKind::Class(name) }));
        let route_scope = route.map(|index| &limits.routes[index]);
        scopes.extend(
            route_scope
                .map(|route| Scope { overrides: &route.overrides, kind: ScopeKind::Route(&route.name) }),
        );
        let limits = Limits::resolve(platform, platform_namespace, &scopes);
        self.classes.push(RequestClass { namespace, route, limits });
        self.classes.len() - 1
    }
}
