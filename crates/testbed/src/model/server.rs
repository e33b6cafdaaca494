//! Models of one server process and of the origin: the outcome of each attempt that reaches them,
//! and its time.

use crate::clock::Micros;
use crate::model::speed::{Cores, RecentWork, SpeedProfile};
use crate::model::timeline::{Misbehavior, ServerTimeline};
use lru::LruCache;
use std::num::NonZeroUsize;

/// The reply to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The cached value.
    Hit,
    /// The value, which the server fetched from the origin or the origin produced.
    Fetched,
    /// The key is not cached.
    Miss,
    /// An error response.
    Error,
    /// A rejection which states that the request was not executed.
    Unprocessed,
    /// No reply at all.
    NoReply,
    /// A reset of the connection.
    Reset,
    /// A response that ends after half of the value.
    Truncated,
    /// Bytes that are not a valid response.
    Garbage,
}

/// The outcome of an attempt, decided when the attempt arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedReply {
    /// The reply.
    pub reply: Reply,
    /// When it is sent.
    pub due_at: Micros,
    /// Whether an interim response is sent before it.
    pub interim: bool,
    /// Whether the request's effect, if it has one, is applied.
    pub takes_effect: bool,
    /// Whether this attempt makes the server collapse.
    pub collapses: bool,
}

impl PlannedReply {
    /// A reply without an interim response and without an effect.
    pub fn no_effect(reply: Reply, due_at: Micros) -> PlannedReply {
        PlannedReply { reply, due_at, interim: false, takes_effect: false, collapses: false }
    }
}

/// The properties of an attempt that its outcome depends on.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInput {
    /// The key that is requested.
    pub key: u64,
    /// Whether it is a write.
    pub is_write: bool,
    /// Processing time at normal speed.
    pub work: Micros,
    /// A random number from 0 to 1. It decides whether a fault that affects only a share of the
    /// attempts affects this one.
    pub sample: f64,
}

/// The settings that all servers have in common.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Number of cores.
    pub cores: usize,
    /// Maximum number of requests that wait for a core.
    pub max_queued: usize,
    /// Maximum number of cached values.
    pub max_values: usize,
    /// Speed just after a start, as a share of full speed.
    pub slow_start_share: f64,
    /// Time from a start to full speed.
    pub slow_start: Micros,
    /// A server in slow start collapses if it receives more than this multiple of the work that it
    /// can do within `collapse_window`.
    pub collapse_multiple: f64,
    /// Length of the window over which the received work is measured.
    pub collapse_window: Micros,
    /// Whether it fetches values that it has not cached from the origin itself (read-through).
    pub read_through: bool,
}

/// The model of one server process.
pub struct ServerModel {
    spec: ServerSpec,
    cores: Cores,
    cache: LruCache<u64, ()>,
    recent_work: RecentWork,
    started_at: Micros,
    purges_applied: usize,
    collapsed: bool,
}

/// A rejection, a miss and an error take an eighth of the work: the server reads the request and
/// looks the key up.
const LOOKUP_WORK_DIVISOR: Micros = 8;
/// Tolerance above the work budget of a server in slow start, as a number of requests of the
/// arriving size: random arrivals come in bursts.
const COLLAPSE_SLACK_REQUESTS: Micros = 8;

/// The misbehaviors that affect one attempt.
struct ActiveMisbehaviors(Vec<Misbehavior>);

impl ActiveMisbehaviors {
    fn new(timeline: &ServerTimeline, now: Micros, sample: f64) -> ActiveMisbehaviors {
        let active = timeline.misbehaviors.iter();
        let active = active.filter(|active| active.span.contains(&now) && sample < active.share);
        ActiveMisbehaviors(active.map(|active| active.misbehavior).collect())
    }

    fn has(&self, misbehavior: Misbehavior) -> bool {
        self.0.contains(&misbehavior)
    }

    fn is_unanswered(&self) -> bool {
        self.has(Misbehavior::Hangs) || self.has(Misbehavior::DropsRequests)
    }

    /// The reply and its time for an attempt that was executed, where a misbehavior changes them.
    fn after_work(&self, done: Micros) -> Option<(Reply, Micros)> {
        if self.is_unanswered() {
            // The caller cannot learn whether the request was executed. In the model, it was.
            return Some((Reply::NoReply, Micros::MAX));
        }
        if self.has(Misbehavior::Truncates) {
            return Some((Reply::Truncated, done));
        }
        self.has(Misbehavior::SendsGarbage).then_some((Reply::Garbage, done))
    }
}

impl ServerModel {
    /// A process that started at the given time, with an empty cache.
    pub fn new(spec: ServerSpec, started_at: Micros) -> ServerModel {
        ServerModel {
            cores: Cores::new(spec.cores, spec.max_queued),
            cache: LruCache::new(NonZeroUsize::new(spec.max_values).unwrap_or(NonZeroUsize::MIN)),
            recent_work: RecentWork::new(spec.collapse_window),
            started_at,
            purges_applied: 0,
            collapsed: false,
            spec,
        }
    }

    /// Caches a key's value.
    pub fn store(&mut self, key: u64) {
        self.cache.put(key, ());
    }

    /// Removes a key's value from the cache.
    pub fn remove(&mut self, key: u64) {
        self.cache.pop(&key);
    }

    /// Whether a key's value is cached.
    pub fn contains(&self, key: u64) -> bool {
        self.cache.contains(&key)
    }

    /// Whether a process in slow start has received more work than it can handle. Adds the
    /// attempt's work to the window.
    fn is_overloaded_by(&mut self, now: Micros, attempt: &AttemptInput) -> bool {
        let spec = &self.spec;
        if self.started_at == 0 || now >= self.started_at + spec.slow_start {
            return false;
        }
        let recent_work = self.recent_work.add(now, attempt.work);
        let progress = (now - self.started_at) as f64 / spec.slow_start as f64;
        let speed = spec.slow_start_share + (1.0 - spec.slow_start_share) * progress;
        let capacity = speed * spec.cores as f64 * spec.collapse_window as f64;
        recent_work as f64
            > capacity * spec.collapse_multiple + (COLLAPSE_SLACK_REQUESTS * attempt.work) as f64
    }

    fn apply_purges(&mut self, now: Micros, timeline: &ServerTimeline) {
        while timeline.purges.get(self.purges_applied).is_some_and(|at| *at <= now) {
            self.purges_applied += 1;
            self.cache.clear();
        }
    }

    /// Decides the outcome of an attempt that arrives now. `fetch` returns when the origin has
    /// answered a request sent at the given time, or `None` if the origin fails; it is called only
    /// where the server fetches the value itself.
    pub fn handle(
        &mut self,
        now: Micros,
        attempt: AttemptInput,
        timeline: &ServerTimeline,
        fetch: impl FnOnce(Micros) -> Option<Micros>,
    ) -> PlannedReply {
        self.apply_purges(now, timeline);
        let collapses = !self.collapsed && self.is_overloaded_by(now, &attempt);
        self.collapsed |= collapses;
        let misbehaviors = ActiveMisbehaviors::new(timeline, now, attempt.sample);
        let interim = misbehaviors.has(Misbehavior::Interim);
        let plan = match self.refusal(now, &attempt, timeline, &misbehaviors) {
            Some(refusal) => refusal,
            None => self.process(now, &attempt, timeline, &misbehaviors, fetch),
        };
        PlannedReply { interim, collapses, ..plan }
    }

    /// The reply to an attempt that is rejected before its key is looked up.
    fn refusal(
        &self,
        now: Micros,
        attempt: &AttemptInput,
        timeline: &ServerTimeline,
        misbehaviors: &ActiveMisbehaviors,
    ) -> Option<PlannedReply> {
        if self.collapsed || misbehaviors.has(Misbehavior::Resets) {
            return Some(PlannedReply::no_effect(Reply::Reset, now));
        }
        let replied_at = timeline.speed.completion(now, attempt.work / LOOKUP_WORK_DIVISOR);
        if misbehaviors.has(Misbehavior::Rejects) {
            return Some(PlannedReply::no_effect(Reply::Unprocessed, replied_at));
        }
        misbehaviors.has(Misbehavior::Fails).then(|| PlannedReply::no_effect(Reply::Error, replied_at))
    }

    fn process(
        &mut self,
        now: Micros,
        attempt: &AttemptInput,
        timeline: &ServerTimeline,
        misbehaviors: &ActiveMisbehaviors,
        fetch: impl FnOnce(Micros) -> Option<Micros>,
    ) -> PlannedReply {
        let lookup_work = attempt.work / LOOKUP_WORK_DIVISOR;
        let cached = self.cache.get(&attempt.key).is_some();
        // Servers that only cache answer writes with a miss: the origin executes them.
        let is_miss = !self.spec.read_through && (attempt.is_write || !cached);
        let work = if is_miss { lookup_work } else { attempt.work };
        let Some(done) = self.cores.schedule(now, work, &timeline.speed) else {
            return PlannedReply::no_effect(Reply::Unprocessed, timeline.speed.completion(now, lookup_work));
        };
        if is_miss {
            let silent = misbehaviors.is_unanswered();
            let (reply, at) = if silent { (Reply::NoReply, Micros::MAX) } else { (Reply::Miss, done) };
            return PlannedReply::no_effect(reply, at);
        }
        let executed = |reply, at| PlannedReply { takes_effect: true, ..PlannedReply::no_effect(reply, at) };
        if let Some((reply, at)) = misbehaviors.after_work(done) {
            return executed(reply, at);
        }
        if cached && !attempt.is_write {
            return executed(Reply::Hit, done);
        }
        let Some(fetched) = fetch(done) else { return PlannedReply::no_effect(Reply::Error, done) };
        if attempt.is_write {
            self.remove(attempt.key);
        } else {
            self.store(attempt.key);
        }
        executed(Reply::Fetched, fetched)
    }
}

/// The model of the origin: it has few slots, and gets slower the more of them are in use.
pub struct OriginModel {
    cores: Cores,
    contention: f64,
}

impl OriginModel {
    /// An origin with that many slots and queue places. `contention` is the share by which each
    /// request in progress or queued lengthens the work of a new one.
    pub fn new(slots: usize, max_queued: usize, contention: f64) -> OriginModel {
        OriginModel { cores: Cores::new(slots, max_queued), contention }
    }

    /// When a request that arrives now is done, or `None` if the queue is full.
    pub fn handle(&mut self, now: Micros, work: Micros, speed: &SpeedProfile) -> Option<Micros> {
        let slowdown = 1.0 + self.contention * self.cores.pending(now) as f64;
        self.cores.schedule(now, (work as f64 * slowdown) as Micros, speed)
    }
}
