//! Which limits hold for which requests, and the same in the words that the balancer reads.

use chalkwalk_limits::{LimitTable, PlatformLimits, RequestAttributes};
use chalkwalk_time::Span;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

pub struct RequestClasses {
    now: RefCell<ActiveSettings>,
    generation: Cell<u64>,
}

struct ActiveSettings {
    settings: BTreeMap<String, String>,
    platform_limits: PlatformLimits,
    from_settings: Rc<LimitTable>,
    limits: Option<Rc<LimitTable>>, // what an operator has set
    longest: Span,                  // of the time limits now and before
}

/// What of a class the door needs when it takes a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLimits {
    pub class: usize,
    pub time_limit: Span,
    /// In bytes.
    pub longest_body: u64,
}

impl RequestClasses {
    pub fn new(
        settings: BTreeMap<String, String>,
        platform_limits: PlatformLimits,
        limits: Option<LimitTable>,
    ) -> RequestClasses {
        RequestClasses {
            now: RefCell::new(ActiveSettings::new(settings, platform_limits, limits, Span::ZERO)),
            generation: Cell::new(0),
        }
    }

    fn table(&self) -> Rc<LimitTable> {
        let now = self.now.borrow();
        now.limits.clone().unwrap_or_else(|| now.from_settings.clone())
    }

    /// Other settings hold from now on. RequestClasses are counted anew: what was taken before knows by its generation that its
    /// place among them may be another's.
    pub fn apply_settings(
        &self,
        settings: BTreeMap<String, String>,
        platform_limits: PlatformLimits,
        limits: Option<LimitTable>,
    ) {
        let longest = self.longest_time_limit();
        *self.now.borrow_mut() = ActiveSettings::new(settings, platform_limits, limits, longest);
        self.generation.set(self.generation.get() + 1);
    }

    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Of a body in bytes, whatever its class.
    pub fn longest_body(&self) -> u64 {
        self.now.borrow().platform_limits.max_body_bytes
    }

    /// Of the time limits of all requests that may be open.
    pub fn longest_time_limit(&self) -> Span {
        self.now.borrow().longest
    }

    pub fn namespace_names(&self) -> Vec<String> {
        self.now.borrow().platform_limits.namespaces.iter().map(|n| n.name.clone()).collect()
    }

    /// What the platform says, by its names, without what an operator has set.
    pub fn platform_settings(&self) -> BTreeMap<String, String> {
        self.now.borrow().settings.clone()
    }

    pub fn find(&self, request: RequestAttributes) -> ClassLimits {
        let table = self.table();
        let class = table.find(request);
        let limits = &table.classes()[class].limits;
        ClassLimits { class, time_limit: limits.time_limit.value, longest_body: limits.max_body_bytes.value }
    }

    /// By how many proxies the servers are shared, as it was written down.
    pub fn proxy_count(&self) -> u64 {
        let now = self.now.borrow();
        let written = now.settings.get("proxies").and_then(|n| n.parse::<f64>().ok());
        written.map_or(1, |n| n as u64).max(1)
    }

    /// The zone that the proxy is in, by its place among the platform's.
    pub fn zone(&self) -> usize {
        let now = self.now.borrow();
        now.settings.get("zone").and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) as usize
    }

    /// Other limits of the operator hold from now on, for the same classes of the platform.
    pub fn set_limits(&self, limits: Option<LimitTable>) {
        self.now.borrow_mut().limits = limits.map(Rc::new);
    }

    /// The platform's settings with a namespace for each class, as the balancer reads them; as they are where no operator has
    /// set anything.
    pub fn balancer_settings(&self) -> BTreeMap<String, String> {
        let now = self.now.borrow();
        let mut said = now.settings.clone();
        let Some(table) = now.limits.as_ref() else { return said };
        said.insert("namespaces".into(), table.classes().len().to_string());
        for (i, class) in table.classes().iter().enumerate() {
            let of = format!("namespace {} ", class.namespace);
            let own = now.settings.iter().filter_map(|(name, value)| Some((name.strip_prefix(&of)?, value)));
            said.extend(own.map(|(name, value)| (format!("namespace {i} {name}"), value.clone())));
            let l = &class.limits;
            let mut set = |name: &str, value: Option<u64>| {
                if let Some(value) = value {
                    said.insert(format!("namespace {i} {name}"), value.to_string());
                }
            };
            set("target time", Some(l.latency_objective.value.ticks()));
            set("most shots", Some(l.max_attempts.value));
            set("second copies", Some(u64::from(l.hedging.value)));
            set("shot wait", l.attempt_timeout.value.map(Span::ticks));
            set("copies after", l.hedge_after.value);
            set("further shots", l.retry_budget.value);
            set("most open", l.max_in_flight.value);
        }
        said
    }
}

impl ActiveSettings {
    fn new(
        settings: BTreeMap<String, String>,
        platform_limits: PlatformLimits,
        limits: Option<LimitTable>,
        longest: Span,
    ) -> ActiveSettings {
        let own = platform_limits.namespaces.iter().map(|n| n.time_limit).max().unwrap_or(Span::ZERO);
        let from_settings = Rc::new(LimitTable::from_settings(&platform_limits));
        ActiveSettings {
            settings,
            platform_limits,
            from_settings,
            limits: limits.map(Rc::new),
            longest: longest.max(own),
        }
    }
}
