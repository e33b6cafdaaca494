//! The request classes and the limits that apply to them now, and their conversion to the settings
//! that the balancer reads.

use chalkwalk_limits::{Idempotency, LimitTable, Limits, PlatformLimits, RequestAttributes};
use chalkwalk_time::Span;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Names of the platform's settings that this module reads or replaces.
const PROXIES_SETTING: &str = "proxies";
const ZONE_SETTING: &str = "zone";
const NAMESPACES_SETTING: &str = "namespaces";
/// "1" if the endpoint list is watched, and the balancer itself requests the watches; "0" if the list
/// is pushed.
pub(crate) const WATCHED_SETTING: &str = "watched";

/// The request classes under the active settings and limits.
pub struct RequestClasses {
    active: RefCell<ActiveSettings>,
    generation: Cell<u64>,
}

struct ActiveSettings {
    settings: BTreeMap<String, String>,
    platform_limits: PlatformLimits,
    platform_table: Rc<LimitTable>,
    /// The operator's limits, if there are any.
    operator_limits: Option<Rc<LimitTable>>,
    /// The maximum of all time limits since the start.
    max_time_limit: Span,
}

/// The class of a request, and the limits that a frontend needs to accept it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLimits {
    /// The index of the class.
    pub class: usize,
    /// Time limit from the arrival of the request to its final response.
    pub time_limit: Span,
    /// Maximum length of a request's body, in bytes.
    pub max_body_bytes: u64,
}

impl RequestClasses {
    /// Builds the classes from the platform's settings and the operator's limits.
    pub fn new(
        settings: BTreeMap<String, String>,
        platform_limits: PlatformLimits,
        operator_limits: Option<LimitTable>,
    ) -> RequestClasses {
        RequestClasses {
            active: RefCell::new(ActiveSettings::new(settings, platform_limits, operator_limits, Span::ZERO)),
            generation: Cell::new(0),
        }
    }

    /// Replaces the settings. Class indices are assigned anew. A request that was accepted before
    /// the change detects by its generation that its index may now denote another class.
    pub fn apply_settings(
        &self,
        settings: BTreeMap<String, String>,
        platform_limits: PlatformLimits,
        operator_limits: Option<LimitTable>,
    ) {
        let previous_max = self.max_time_limit();
        *self.active.borrow_mut() =
            ActiveSettings::new(settings, platform_limits, operator_limits, previous_max);
        self.generation.set(self.generation.get() + 1);
    }

    /// Replaces the operator's limits; the platform's settings stay.
    pub fn set_limits(&self, operator_limits: Option<LimitTable>) {
        self.active.borrow_mut().operator_limits = operator_limits.map(Rc::new);
    }

    /// How many times the settings have been replaced.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Maximum length of a request's body in any class, in bytes.
    pub fn max_body_bytes(&self) -> u64 {
        self.active.borrow().platform_limits.max_body_bytes
    }

    /// An upper bound of the time limits of all open requests.
    pub fn max_time_limit(&self) -> Span {
        self.active.borrow().max_time_limit
    }

    /// The shortest time limit of any class.
    pub fn min_time_limit(&self) -> Span {
        let table = self.table();
        table.classes().iter().map(|class| class.limits.time_limit.value).min().unwrap_or(Span::ZERO)
    }

    /// The names of the platform's namespaces, in the order of their indices.
    pub fn namespace_names(&self) -> Vec<String> {
        self.active
            .borrow()
            .platform_limits
            .namespaces
            .iter()
            .map(|namespace| namespace.name.clone())
            .collect()
    }

    /// The platform's settings under their own names, without the operator's limits.
    pub fn platform_settings(&self) -> BTreeMap<String, String> {
        self.active.borrow().settings.clone()
    }

    /// Whether the platform pushes its endpoint list to an agent of this proxy, instead of the proxy
    /// polling it.
    pub fn is_list_pushed(&self) -> bool {
        self.active.borrow().settings.get(WATCHED_SETTING).is_some_and(|watched| watched == "0")
    }

    /// The class of a request, and its limits.
    pub fn find(&self, request: RequestAttributes) -> ClassLimits {
        let table = self.table();
        let class = table.class_index(request);
        let limits = &table.classes()[class].limits;
        ClassLimits {
            class,
            time_limit: limits.time_limit.value,
            max_body_bytes: limits.max_body_bytes.value,
        }
    }

    /// The first of these namespaces that keeps the guarantees of all of them; `None` if none does.
    pub fn strictest_namespace(&self, namespaces: &[usize]) -> Option<usize> {
        self.active.borrow().platform_limits.strictest_namespace(namespaces)
    }

    /// Whether requests of a namespace with the same key run one at a time, in the order of
    /// acceptance.
    pub fn keeps_order(&self, namespace: usize) -> bool {
        self.active.borrow().platform_limits.namespaces.get(namespace).is_some_and(|found| found.in_order)
    }

    /// Whether requests of a namespace may run any number of times.
    pub fn is_replayable(&self, namespace: usize) -> bool {
        let active = self.active.borrow();
        let found = active.platform_limits.namespaces.get(namespace);
        found.is_some_and(|found| found.idempotency == Idempotency::Replayable)
    }

    fn table(&self) -> Rc<LimitTable> {
        let active = self.active.borrow();
        active.operator_limits.clone().unwrap_or_else(|| active.platform_table.clone())
    }

    /// The number of proxies that share the servers, according to the settings.
    pub fn proxy_count(&self) -> u64 {
        self.active.borrow().numeric_setting(PROXIES_SETTING).map_or(1, |proxies| proxies as u64).max(1)
    }

    /// The index of the proxy's zone in the platform's list of zones.
    pub fn zone(&self) -> usize {
        self.active.borrow().numeric_setting(ZONE_SETTING).unwrap_or(0.0) as usize
    }

    /// The settings that the balancer reads. Without operator's limits, these are the platform's
    /// settings unchanged. With them, each class is a namespace of its own, with the settings of
    /// the platform's namespace that it belongs to and the limits of the class.
    pub fn balancer_settings(&self) -> BTreeMap<String, String> {
        let active = self.active.borrow();
        let mut settings = active.settings.clone();
        let Some(table) = active.operator_limits.as_ref() else { return settings };
        settings.insert(NAMESPACES_SETTING.into(), table.classes().len().to_string());
        for (index, class) in table.classes().iter().enumerate() {
            settings.extend(active.settings_of_class(index, class.namespace));
            settings.extend(limits_as_settings(index, &class.limits));
        }
        settings
    }
}

impl ActiveSettings {
    fn new(
        settings: BTreeMap<String, String>,
        platform_limits: PlatformLimits,
        operator_limits: Option<LimitTable>,
        previous_max: Span,
    ) -> ActiveSettings {
        let time_limits = platform_limits.namespaces.iter().map(|namespace| namespace.time_limit);
        let max_time_limit = time_limits.max().unwrap_or(Span::ZERO).max(previous_max);
        let platform_table = Rc::new(LimitTable::from_platform(&platform_limits));
        let operator_limits = operator_limits.map(Rc::new);
        ActiveSettings { settings, platform_limits, platform_table, operator_limits, max_time_limit }
    }

    fn numeric_setting(&self, name: &str) -> Option<f64> {
        self.settings.get(name)?.parse().ok()
    }

    /// Returns a copy of a namespace's settings, under the names that the balancer reads for a
    /// class of that namespace.
    fn settings_of_class(&self, class: usize, namespace: usize) -> Vec<(String, String)> {
        let prefix = format!("namespace {namespace} ");
        let class_settings = self.settings.iter().filter_map(|(name, value)| {
            let name = name.strip_prefix(&prefix)?;
            Some((format!("namespace {class} {name}"), value.clone()))
        });
        class_settings.collect()
    }
}

/// The limits of a class under the names of the platform's settings.
fn limits_as_settings(class: usize, limits: &Limits) -> Vec<(String, String)> {
    let values = [
        ("target time", Some(limits.latency_objective.value.ticks())),
        ("most shots", Some(limits.max_attempts.value)),
        ("second copies", Some(u64::from(limits.hedging.value))),
        ("shot wait", limits.attempt_timeout.value.map(Span::ticks)),
        ("copies after", limits.hedge_after_permille.value),
        ("further shots", limits.retry_budget_permille.value),
        ("most open", limits.max_in_flight.value),
    ];
    let present_limits = values.into_iter().filter_map(|(name, value)| {
        value.map(|value| (format!("namespace {class} {name}"), value.to_string()))
    });
    present_limits.collect()
}
