//! What holds for each request, and which line said so.

use crate::draft::{LimitOverrides, Located, PlatformLimits, RouteMatch, UncheckedLimits};
use chalkwalk_time::Span;

/// Who said what holds.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitSource {
    Platform,
    Defaults(usize),
    Class(String, usize),
    Route(String, usize),
}

impl std::fmt::Display for LimitSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LimitSource::Platform => write!(f, "the house"),
            LimitSource::Defaults(line) => write!(f, "line {line}, defaults"),
            LimitSource::Class(name, line) => write!(f, "line {line}, class {name}"),
            LimitSource::Route(name, line) => write!(f, "line {line}, route {name}"),
        }
    }
}

/// A limit in force, and who set it.
#[derive(Clone, Debug, PartialEq)]
pub struct Effective<T> {
    pub value: T,
    pub source: LimitSource,
}

/// What holds for the requests of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub time_limit: Effective<Span>,
    pub latency_objective: Effective<Span>,
    pub max_attempts: Effective<u64>,
    /// `None`: up to the time limit.
    pub attempt_timeout: Effective<Option<Span>>,
    pub hedging: Effective<bool>,
    /// `None`: only where a server is silent or an attempt lost.
    pub hedge_after: Effective<Option<u64>>,
    /// `None`: the balancer's own budget for all.
    pub retry_budget: Effective<Option<u64>>,
    /// `None`: as many as come.
    pub max_in_flight: Effective<Option<u64>>,
    pub max_body_bytes: Effective<u64>,
}

/// A class: the requests of one namespace that one route takes, or that none does.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub namespace: usize,
    /// By its place in the file.
    pub route: Option<usize>,
    pub limits: Limits,
}

/// What is known of a request when it comes.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestAttributes<'a> {
    pub namespace: usize,
    pub path: &'a str,
    pub tenant: &'a str,
    pub frontend: &'a str,
}

/// All classes; those of the namespaces alone first, in their order, so that a class without routes has its namespace's
/// number.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    classes: Vec<RequestClass>,
    routes: Vec<(RouteMatch, String)>,
    names: Vec<String>,
    of_route: Vec<Vec<Option<usize>>>, // the class, by route and namespace
}

/// What the widest to the narrowest say, and who.
struct Layers<'a>(Vec<(&'a LimitOverrides, &'a dyn Fn(usize) -> LimitSource)>);

impl Layers<'_> {
    fn pick<T: Copy>(
        &self,
        platform: T,
        field: impl Fn(&LimitOverrides) -> Option<Located<T>>,
    ) -> Effective<T> {
        let narrowest = self.0.iter().rev().find_map(|(overrides, source)| {
            let located = field(overrides)?;
            Some(Effective { value: located.value, source: source(located.line) })
        });
        narrowest.unwrap_or(Effective { value: platform, source: LimitSource::Platform })
    }
}

fn some<T>(said: Option<Located<T>>) -> Option<Located<Option<T>>> {
    said.map(|s| Located::new(Some(s.value), s.line))
}

fn limits(platform_limits: &PlatformLimits, namespace: usize, layers: &Layers) -> Limits {
    let ns = &platform_limits.namespaces[namespace];
    let time_limit = layers.pick(ns.time_limit, |s| s.time_limit);
    let mut latency_objective = layers.pick(ns.latency_objective, |s| s.latency_objective);
    if latency_objective.value > time_limit.value && latency_objective.source == LimitSource::Platform {
        // A shorter limit takes the platform's target with it.
        latency_objective = time_limit.clone();
    }
    // Hedged requests are for what may run twice, whatever wider ones say.
    let hedging = platform_limits.hedging && ns.idempotency == crate::Idempotency::Replayable;
    Limits {
        time_limit,
        latency_objective,
        max_attempts: layers.pick(platform_limits.max_attempts, |s| s.max_attempts),
        attempt_timeout: layers.pick(None, |s| some(s.attempt_timeout)),
        hedging: layers.pick(hedging, |s| s.hedging),
        hedge_after: layers.pick(None, |s| some(s.hedge_after)),
        retry_budget: layers.pick(None, |s| some(s.retry_budget)),
        max_in_flight: layers.pick(None, |s| some(s.max_in_flight)),
        max_body_bytes: layers.pick(platform_limits.max_body_bytes, |s| s.max_body_bytes),
    }
}

impl LimitTable {
    /// What holds by a draft, checked or not.
    pub(crate) fn of(draft: &UncheckedLimits, platform_limits: &PlatformLimits) -> LimitTable {
        let mut table = LimitTable {
            routes: draft.routes.iter().map(|r| (r.when.clone(), r.name.clone())).collect(),
            names: platform_limits.namespaces.iter().map(|n| n.name.clone()).collect(),
            ..LimitTable::default()
        };
        let defaults = |line| LimitSource::Defaults(line);
        for route in std::iter::once(None).chain((0..draft.routes.len()).map(Some)) {
            let mut own = vec![None; platform_limits.namespaces.len()];
            for (i, ns) in platform_limits.namespaces.iter().enumerate() {
                let taken = route.map(|r| &draft.routes[r]);
                if taken.is_some_and(|r| r.when.namespace.as_ref().is_some_and(|n| *n != ns.name)) {
                    continue;
                }
                let class = draft.classes.iter().find(|(name, _)| name.value == ns.name);
                let of_class = |line| LimitSource::Class(ns.name.clone(), line);
                let of_route =
                    |line| LimitSource::Route(taken.map_or_else(String::new, |r| r.name.clone()), line);
                let mut layers = Layers(vec![(&draft.defaults, &defaults)]);
                layers.0.extend(class.map(|(_, s)| (s, &of_class as &dyn Fn(usize) -> LimitSource)));
                layers.0.extend(taken.map(|r| (&r.settings, &of_route as &dyn Fn(usize) -> LimitSource)));
                let limits = limits(platform_limits, i, &layers);
                own[i] = Some(table.classes.len());
                table.classes.push(RequestClass { namespace: i, route, limits });
            }
            if route.is_some() {
                table.of_route.push(own);
            }
        }
        table
    }

    /// What holds where no operator says anything.
    pub fn from_settings(platform_limits: &PlatformLimits) -> LimitTable {
        LimitTable::of(&UncheckedLimits::default(), platform_limits)
    }

    pub fn classes(&self) -> &[RequestClass] {
        &self.classes
    }

    /// The class of a request, by its number: that of the first route that takes it, or its namespace's.
    pub fn find(&self, request: RequestAttributes) -> usize {
        let takes = |(when, _): &(RouteMatch, String)| when.takes(request, &self.names);
        let routes = self.routes.iter().zip(&self.of_route).filter(|(route, _)| takes(route));
        let mut classes = routes.filter_map(|(_, own)| own.get(request.namespace).copied().flatten());
        classes.next().unwrap_or(request.namespace)
    }

    /// The name of the route that a class is of.
    pub fn route_of(&self, class: usize) -> Option<&str> {
        self.classes[class].route.map(|r| self.routes[r].1.as_str())
    }
}

impl RouteMatch {
    fn takes(&self, request: RequestAttributes, names: &[String]) -> bool {
        let same = |want: &Option<String>, is: &str| want.as_ref().is_none_or(|w| w == is);
        self.path.as_ref().is_none_or(|p| request.path.starts_with(p.as_str()))
            && same(&self.namespace, names.get(request.namespace).map_or("", String::as_str))
            && same(&self.tenant, request.tenant)
            && same(&self.frontend, request.frontend)
    }

    /// Whether it takes every request that another does.
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
