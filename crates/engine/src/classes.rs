//! The classes of requests and their limits as they apply now, and the same as settings that the
//! balancer reads.

use chalkwalk_limits::{LimitTable, Limits, PlatformLimits, RequestAttributes};
use chalkwalk_time::Span;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The names of the platform's settings that are read here.
const PROXIES_SETTING: &str = "proxies";
const ZONE_SETTING: &str = "zone";
const NAMESPACES_SETTING: &str = "namespaces";

/// The classes by the settings and limits that apply now.
pub struct RequestClasses {
    active: RefCell<ActiveSettings>,
    generation: Cell<u64>,
}

struct ActiveSettings {
    settings: BTreeMap<String, String>,
    platform_limits: PlatformLimits,
    from_settings: Rc<LimitTable>,
    /// What an operator has set.
    limits: Option<Rc<LimitTable>>,
    /// Of the time limits now and before.
    longest_time_limit: Span,
}

/// The class of a request, and what a frontend needs of its limits to accept it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLimits {
    /// The number of the class.
    pub class: usize,
    /// Of the request, from its arrival to its final response.
    pub time_limit: Span,
    /// Of a request's body, in bytes.
    pub longest_body: u64,
}

impl RequestClasses {
    /// The classes by the platform's settings, and what an operator has set.
    pub fn new(
        settings: BTreeMap<String, String>,
        platform_limits: PlatformLimits,
        limits: Option<LimitTable>,
    ) -> RequestClasses {
        RequestClasses {
            active: RefCell::new(ActiveSettings::new(settings, platform_limits, limits, Span::ZERO)),
            generation: Cell::new(0),
        }
    }

    /// Other settings apply from now on. Classes are numbered anew: a request that was accepted
    /// before knows by its generation that its number may be another class's.
    pub fn apply_settings(
        &self,
        settings: BTreeMap<String, String>,
        platform_limits: PlatformLimits,
        limits: Option<LimitTable>,
    ) {
        let longest_before = self.longest_time_limit();
        *self.active.borrow_mut() = ActiveSettings::new(settings, platform_limits, limits, longest_before);
        self.generation.set(self.generation.get() + 1);
    }

    /// Other limits of the operator apply from now on, for the same classes of the platform.
    pub fn set_limits(&self, limits: Option<LimitTable>) {
        self.active.borrow_mut().limits = limits.map(Rc::new);
    }

    /// Counts the settings that have applied.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Of a request's body in bytes, whatever its class.
    pub fn longest_body(&self) -> u64 {
        self.active.borrow().platform_limits.max_body_bytes
    }

    /// Of the time limits of all requests that may be open.
    pub fn longest_time_limit(&self) -> Span {
        self.active.borrow().longest_time_limit
    }

    /// The names of the platform's namespaces, by number.
    pub fn namespace_names(&self) -> Vec<String> {
        self.active
            .borrow()
            .platform_limits
            .namespaces
            .iter()
            .map(|namespace| namespace.name.clone())
            .collect()
    }

    /// The platform's settings by its names, without what an operator has set.
    pub fn platform_settings(&self) -> BTreeMap<String, String> {
        self.active.borrow().settings.clone()
    }

    /// The class of a request, and its limits.
    pub fn find(&self, request: RequestAttributes) -> ClassLimits {
        let table = self.table();
        let class = table.find(request);
        let limits = &table.classes()[class].limits;
        ClassLimits { class, time_limit: limits.time_limit.value, longest_body: limits.max_body_bytes.value }
    }

    fn table(&self) -> Rc<LimitTable> {
        let active = self.active.borrow();
        active.limits.clone().unwrap_or_else(|| active.from_settings.clone())
    }

    /// By how many proxies the servers are shared, as the settings say.
    pub fn proxy_count(&self) -> u64 {
        self.active.borrow().number(PROXIES_SETTING).map_or(1, |proxies| proxies as u64).max(1)
    }

    /// The zone that the proxy is in, by its number among the platform's.
    pub fn zone(&self) -> usize {
        self.active.borrow().number(ZONE_SETTING).unwrap_or(0.0) as usize
    }

    /// The settings that the balancer reads: the platform's as they are where no operator has set
    /// anything, and otherwise with a namespace for each class.
    pub fn balancer_settings(&self) -> BTreeMap<String, String> {
        let active = self.active.borrow();
        let mut settings = active.settings.clone();
        let Some(table) = active.limits.as_ref() else { return settings };
        settings.insert(NAMESPACES_SETTING.into(), table.classes().len().to_string());
        for (number, class) in table.classes().iter().enumerate() {
            settings.extend(active.settings_of_class(number, class.namespace));
            settings.extend(limits_as_settings(number, &class.limits));
        }
        settings
    }
}

impl ActiveSettings {
    fn new(
        settings: BTreeMap<String, String>,
        platform_limits: PlatformLimits,
        limits: Option<LimitTable>,
        longest_before: Span,
    ) -> ActiveSettings {
        let time_limits = platform_limits.namespaces.iter().map(|namespace| namespace.time_limit);
        let longest_time_limit = time_limits.max().unwrap_or(Span::ZERO).max(longest_before);
        let from_settings = Rc::new(LimitTable::from_settings(&platform_limits));
        let limits = limits.map(Rc::new);
        ActiveSettings { settings, platform_limits, from_settings, limits, longest_time_limit }
    }

    fn number(&self, name: &str) -> Option<f64> {
        self.settings.get(name)?.parse().ok()
    }

    /// The settings of a namespace, as those of a class in it.
    fn settings_of_class(&self, class: usize, namespace: usize) -> Vec<(String, String)> {
        let prefix = format!("namespace {namespace} ");
        let of_namespace = self.settings.iter().filter_map(|(name, value)| {
            let name = name.strip_prefix(&prefix)?;
            Some((format!("namespace {class} {name}"), value.clone()))
        });
        of_namespace.collect()
    }
}

/// The limits of a class by the names of the platform's settings.
fn limits_as_settings(class: usize, limits: &Limits) -> Vec<(String, String)> {
    let values = [
        ("target time", Some(limits.latency_objective.value.ticks())),
        ("most shots", Some(limits.max_attempts.value)),
        ("second copies", Some(u64::from(limits.hedging.value))),
        ("shot wait", limits.attempt_timeout.value.map(Span::ticks)),
        ("copies after", limits.hedge_after.value),
        ("further shots", limits.retry_budget.value),
        ("most open", limits.max_in_flight.value),
    ];
    let set = values.into_iter().filter_map(|(name, value)| {
        value.map(|value| (format!("namespace {class} {name}"), value.to_string()))
    });
    set.collect()
}
