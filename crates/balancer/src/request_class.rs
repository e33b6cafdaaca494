//! Classes of requests: the limits and guarantees that apply to the requests of each class.

use crate::values::Values;
use chalkwalk_limits::{DedupGroup, Idempotency, RetryBudget};
use chalkwalk_time::Span;
use std::cell::Cell;
use std::ops::Deref;
use std::rc::Rc;

/// The settings for the requests of one namespace, or of one class of a namespace.
#[derive(Default)]
pub(crate) struct RequestClass {
    /// The latency objective, also called the target time.
    pub target: Span,
    /// An answer after the target time is still useful.
    pub late_answers_useful: bool,
    /// Requests with the same key run one at a time, in the order of acceptance.
    pub in_order: bool,
    pub idempotency: Idempotency,
    pub dedup_group: DedupGroup,
    pub dedup_window: Span,
    pub max_attempts: usize,
    pub hedging: bool,
    /// The timeout of a single attempt.
    pub attempt_timeout: Span,
    /// A hedged request is sent after the time within which this many thousandths of answers come.
    pub hedge_after: Option<u64>,
    pub retry_budget: RetryBudget,
    pub max_open: u64,
    open: Cell<u64>,
}

impl RequestClass {
    /// Reads the class with that index. All classes without a retry budget of their own share
    /// `shared_budget`.
    pub fn read(values: &Values, index: usize, shared_budget: &RetryBudget) -> RequestClass {
        let setting = |name: &str| format!("namespace {index} {name}");
        let own_budget = values.has(&setting("further shots"));
        RequestClass {
            target: values.span(&setting("target time"), 1e4),
            in_order: values.flag(&setting("in order")),
            late_answers_useful: values.flag(&setting("late utility")),
            idempotency: Idempotency::from_setting(values.text(&setting("repeats"))),
            dedup_group: DedupGroup::from_setting(values.text(&setting("group"))),
            dedup_window: values.span(&setting("window"), 0.0),
            max_attempts: values.number(&setting("most shots"), values.number("most shots", 1.0)) as usize,
            hedging: values.number(&setting("second copies"), values.number("second copies", 0.0)) > 0.0,
            attempt_timeout: values.span(&setting("shot wait"), 1e12),
            hedge_after: Some(values.number(&setting("copies after"), 0.0) as u64)
                .filter(|thousandths| *thousandths > 0),
            retry_budget: match own_budget {
                true => RetryBudget::per_class(values.number(&setting("further shots"), 0.0) as u64),
                false => shared_budget.clone(),
            },
            max_open: values.number(&setting("most open"), 1e12) as u64,
            open: Cell::new(0),
        }
    }

    /// Whether more requests of the class are open than allowed.
    pub fn is_over_max_open(&self) -> bool {
        self.open.get() > self.max_open
    }
}

/// An open request's reference to its class. While it exists, the request counts among the open
/// ones of the class.
#[derive(Default)]
pub(crate) struct ClassHandle(Rc<RequestClass>);

impl ClassHandle {
    pub fn new(class: &Rc<RequestClass>) -> ClassHandle {
        class.open.set(class.open.get() + 1);
        ClassHandle(class.clone())
    }

    /// Whether this is a handle of that class.
    pub fn is_of(&self, class: &Rc<RequestClass>) -> bool {
        Rc::ptr_eq(&self.0, class)
    }
}

impl Deref for ClassHandle {
    type Target = RequestClass;
    fn deref(&self) -> &RequestClass {
        &self.0
    }
}

impl Drop for ClassHandle {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}
