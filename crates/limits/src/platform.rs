//! The platform's limits, which an operator's limits must not exceed.

use chalkwalk_time::Span;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be repeated any number of times.
    Replayable,
    /// The request carries an idempotency key, by which servers drop repeats for a limited time,
    /// the namespace's `dedup_window`.
    Tagged,
    /// The request must not run more than once.
    #[default]
    SingleUse,
}

impl Idempotency {
    /// Reads the value of the setting `repeats`. Anything unknown is the strictest value.
    pub fn from_setting(text: &str) -> Idempotency {
        match text {
            "replayable" => Idempotency::Replayable,
            "tagged" => Idempotency::Tagged,
            _ => Idempotency::SingleUse,
        }
    }
}

/// Which servers drop the repeats of a tagged request: those that share the record of the
/// idempotency keys that they have seen. Ordered from the widest group to the narrowest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DedupGroup {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell of a zone.
    #[default]
    Cell,
}

impl DedupGroup {
    /// Reads the value of the setting `group`. Anything unknown is the narrowest group.
    pub fn from_setting(text: &str) -> DedupGroup {
        match text {
            "all" => DedupGroup::All,
            "zone" => DedupGroup::Zone,
            _ => DedupGroup::Cell,
        }
    }
}

/// The platform's limits for the requests of one namespace.
#[derive(Clone, Debug)]
pub struct Namespace {
    /// The name of the namespace.
    pub name: String,
    /// Time within which a request must get its final response.
    pub time_limit: Span,
    /// Response time up to which a response has its full value to the client.
    pub latency_objective: Span,
    /// Whether the namespace's requests may run more than once.
    pub idempotency: Idempotency,
    /// Which servers drop repeats of a tagged request.
    pub dedup_group: DedupGroup,
    /// How long servers drop repeats of a tagged request.
    pub dedup_window: Span,
    /// Whether requests with the same key run one at a time, in the order of acceptance.
    pub in_order: bool,
}

impl Namespace {
    /// Whether a request of this namespace also has the guarantees of the other one: it is repeated
    /// only where a request of the other namespace might be, and is in order if that one is.
    pub fn keeps_guarantees_of(&self, other: &Namespace) -> bool {
        self.restricts_repeats_like(other) && (self.in_order || !other.in_order)
    }

    fn restricts_repeats_like(&self, other: &Namespace) -> bool {
        match (self.idempotency, other.idempotency) {
            (_, Idempotency::Replayable) | (Idempotency::SingleUse, _) => true,
            (Idempotency::Tagged, Idempotency::Tagged) => {
                self.dedup_group >= other.dedup_group && self.dedup_window <= other.dedup_window
            }
            (Idempotency::Replayable | Idempotency::Tagged, _) => false,
        }
    }
}

/// The platform's limits.
#[derive(Clone, Debug, Default)]
pub struct PlatformLimits {
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u64,
    /// Whether requests may be hedged, in any namespace.
    pub hedging: bool,
    /// Time within which a connection to a server must be established.
    pub connect_timeout: Span,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// The namespaces; elsewhere a namespace is referred to by its index in this list.
    pub namespaces: Vec<Namespace>,
    /// Names of the tenants. If the list is empty, routes may name any tenant.
    pub tenants: Vec<String>,
    /// Names of this program's frontends. If the list is empty, routes may name any frontend.
    pub frontends: Vec<String>,
}

impl PlatformLimits {
    /// The first of these namespaces that keeps the guarantees of all of them; `None` if none does.
    pub fn strictest_namespace(&self, namespaces: &[usize]) -> Option<usize> {
        let mut candidates: Vec<usize> = Vec::new();
        for namespace in namespaces {
            if !candidates.contains(namespace) {
                candidates.push(*namespace);
            }
        }
        if let [only] = candidates[..] {
            return Some(only);
        }
        let keeps_all = |candidate: &&usize| {
            let candidate = self.namespaces.get(**candidate);
            candidates.iter().all(|other| match (candidate, self.namespaces.get(*other)) {
                (Some(candidate), Some(other)) => candidate.keeps_guarantees_of(other),
                _ => false,
            })
        };
        candidates.iter().find(keeps_all).copied()
    }
}
