//! The settings of a deployment, read from a map of names and values. This module makes no
//! decisions.

use crate::discovery::Backoff;
use crate::request_class::RequestClass;
use crate::values::Values;
use chalkwalk_limits::RetryBudget;
use chalkwalk_time::Span;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a deployment supports and guarantees.
#[derive(Default)]
pub(crate) struct Settings {
    /// The proxy's own zone.
    pub zone: usize,
    /// The health of servers can be checked.
    pub health_checks: bool,
    /// Attempts can be cancelled.
    pub cancellation: bool,
    /// The longest time after which a rejected client is told to retry. 0: rejections do not state
    /// a time.
    pub max_retry_after: Span,
    /// The share of its keys that a server serves right after its start.
    pub slow_start_share: f64,
    /// How long after its start a server is in slow start.
    pub slow_start_time: Span,
    /// How many proxies send to the servers, this one included.
    pub proxies: u64,
    pub discovery_backoff: Backoff,
    /// Servers fetch misses from the origin themselves.
    pub servers_fetch: bool,
    /// The weights in the endpoint list state the capacity of the servers, and do not vary with the
    /// current load.
    pub fixed_weights: bool,
    /// The kind that marks the origin in the list, if the proxy fetches misses.
    pub origin_kind: Option<usize>,
    /// How long no further request with a key is sent after an attempt for that key that may still
    /// run. Applies to classes whose requests run in order.
    pub key_quiet_period: Span,
    /// The request classes, including those that differ from another class only in their limits.
    pub classes: Vec<Rc<RequestClass>>,
}

impl Settings {
    /// Reads all settings. A missing or invalid one takes its default.
    pub fn read(values: &BTreeMap<String, String>) -> Settings {
        let values = Values(values);
        let shared_budget = RetryBudget::default();
        let class_count = values.number("namespaces", 0.0) as usize;
        let classes =
            (0..class_count).map(|i| Rc::new(RequestClass::read(&values, i, &shared_budget))).collect();
        let has_origin = !values.text("origin kind").is_empty();
        Settings {
            zone: values.number("zone", 0.0) as usize,
            health_checks: values.flag("probes"),
            cancellation: values.flag("withdrawals"),
            max_retry_after: values.span("longest stay away", 0.0),
            slow_start_share: values.number("cold share", 1.0),
            slow_start_time: values.span("cold time", 0.0),
            proxies: values.number("proxies", 1.0) as u64,
            discovery_backoff: match values.flag("watched") {
                true => Backoff::polled(values.span("ask time", 1e5)),
                false => Backoff::pushed(values.span("drain grace", 1e4)),
            },
            servers_fetch: values.flag("through"),
            fixed_weights: values.text("size kind") != "live",
            origin_kind: has_origin.then(|| values.number("origin kind", 0.0) as usize),
            key_quiet_period: values.span("key quiet", 0.0),
            classes,
        }
    }

    /// The shortest target time of all classes.
    pub fn shortest_target(&self) -> Option<Span> {
        self.classes.iter().map(|class| class.target).min()
    }
}
