//! One server's process, and the origin's: what becomes of an attempt that reaches them, and when.

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
    /// The value, fetched by the server, or made by the origin.
    Fetched,
    /// The key is not cached.
    Miss,
    /// An error.
    Error,
    /// Refused, and surely not run.
    Unprocessed,
    /// None, ever.
    Silence,
    /// A reset of the connection.
    Reset,
    /// Half of the value.
    Truncated,
    /// Noise.
    Garbage,
}

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedReply {
    /// The reply.
    pub reply: Reply,
    /// When.
    pub at: Micros,
    /// Whether an interim response goes ahead.
    pub interim: bool,
    /// Whether its effect, if it has one, comes about.
    pub takes_effect: bool,
    /// Whether the server collapsed under this attempt.
    pub collapses: bool,
}

impl PlannedReply {
    /// A reply without interim response and effect.
    pub fn plain(reply: Reply, at: Micros) -> PlannedReply {
        PlannedReply { reply, at, interim: false, takes_effect: false, collapses: false }
    }
}

/// What the model needs to know of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInput {
    /// Its key.
    pub key: u64,
    /// Whether it writes.
    pub write: bool,
    /// How long it takes at the usual speed.
    pub work: Micros,
    /// From 0 to 1: decides where a fault affects only a share of the attempts.
    pub luck: f64,
}

/// What all servers have in common.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Cores of each.
    pub cores: usize,
    /// Requests that wait for one.
    pub queue: usize,
    /// Values that are cached.
    pub values: usize,
    /// The speed just after a start, as a share of the full speed.
    pub slow_start_share: f64,
    /// From a start to full speed.
    pub slow_start: Micros,
    /// In slow start a server collapses when it is sent more than so many times what it can do, ...
    pub collapse_multiple: f64,
    /// ... over this window.
    pub collapse_window: Micros,
    /// Whether it fetches what it lacks by itself.
    pub through: bool,
}

/// One process of a server.
pub struct ServerModel {
    spec: ServerSpec,
    cores: Cores,
    cached: LruCache<u64, ()>,
    recent_work: RecentWork,
    started: Micros,
    purges_applied: usize,
    collapsed: bool,
}

/// Refusing, missing and failing take an eighth of the work: the request is read and the key looked up.
const SMALL_WORK_DIVISOR: Micros = 8;
/// Above the budget of a server in slow start, as arrivals are random: so many requests of the size that comes.
const COLLAPSE_SLACK: Micros = 8;

/// Misbehaviors that affect one attempt.
struct Affecting(Vec<Misbehavior>);

impl Affecting {
    fn new(timeline: &ServerTimeline, now: Micros, luck: f64) -> Affecting {
        let on = timeline.misbehaviors.iter();
        let on = on.filter(|on| on.span.contains(&now) && luck < on.share);
        Affecting(on.map(|on| on.misbehavior).collect())
    }

    fn has(&self, misbehavior: Misbehavior) -> bool {
        self.0.contains(&misbehavior)
    }

    fn is_unanswered(&self) -> bool {
        self.has(Misbehavior::Hangs) || self.has(Misbehavior::Loses)
    }

    /// The reply to an attempt whose work is done, where a misbehavior changes it.
    fn after_work(&self, done: Micros) -> Option<(Reply, Micros)> {
        if self.is_unanswered() {
            // Whether it ran will never be known to anybody: it did.
            return Some((Reply::Silence, Micros::MAX));
        }
        if self.has(Misbehavior::Half) {
            return Some((Reply::Truncated, done));
        }
        self.has(Misbehavior::Spoils).then_some((Reply::Garbage, done))
    }
}

impl ServerModel {
    /// A process that started then, with nothing cached.
    pub fn new(spec: ServerSpec, started: Micros) -> ServerModel {
        ServerModel {
            cores: Cores::new(spec.cores, spec.queue),
            cached: LruCache::new(NonZeroUsize::new(spec.values).unwrap_or(NonZeroUsize::MIN)),
            recent_work: RecentWork::new(spec.collapse_window),
            started,
            purges_applied: 0,
            collapsed: false,
            spec,
        }
    }

    /// Caches a key's value.
    pub fn store(&mut self, key: u64) {
        self.cached.put(key, ());
    }

    /// Drops a key's value.
    pub fn remove(&mut self, key: u64) {
        self.cached.pop(&key);
    }

    /// Whether a key's value is cached.
    pub fn contains(&self, key: u64) -> bool {
        self.cached.contains(&key)
    }

    /// Whether a process in slow start is sent more than it bears; counts what is sent now.
    fn collapses_under(&mut self, now: Micros, attempt: &AttemptInput) -> bool {
        let spec = &self.spec;
        if self.started == 0 || now >= self.started + spec.slow_start {
            return false;
        }
        let sent = self.recent_work.add(now, attempt.work);
        let progress = (now - self.started) as f64 / spec.slow_start as f64;
        let speed = spec.slow_start_share + (1.0 - spec.slow_start_share) * progress;
        let capacity = speed * spec.cores as f64 * spec.collapse_window as f64;
        sent as f64 > capacity * spec.collapse_multiple + (COLLAPSE_SLACK * attempt.work) as f64
    }

    fn apply_purges(&mut self, now: Micros, timeline: &ServerTimeline) {
        while timeline.purges.get(self.purges_applied).is_some_and(|at| *at <= now) {
            self.purges_applied += 1;
            self.cached.clear();
        }
    }

    /// What becomes of an attempt that comes now. `fetch` is the origin's model, where the server fetches by itself.
    pub fn handle(
        &mut self,
        now: Micros,
        attempt: AttemptInput,
        timeline: &ServerTimeline,
        fetch: impl FnOnce(Micros) -> Option<Micros>,
    ) -> PlannedReply {
        self.apply_purges(now, timeline);
        let collapses = !self.collapsed && self.collapses_under(now, &attempt);
        self.collapsed |= collapses;
        let affecting = Affecting::new(timeline, now, attempt.luck);
        let interim = affecting.has(Misbehavior::Interim);
        let plan = match self.refusal(now, &attempt, timeline, &affecting) {
            Some(refusal) => refusal,
            None => self.process(now, &attempt, timeline, &affecting, fetch),
        };
        PlannedReply { interim, collapses, ..plan }
    }

    /// The reply to what is not even looked up.
    fn refusal(
        &self,
        now: Micros,
        attempt: &AttemptInput,
        timeline: &ServerTimeline,
        affecting: &Affecting,
    ) -> Option<PlannedReply> {
        if self.collapsed || affecting.has(Misbehavior::Resets) {
            return Some(PlannedReply::plain(Reply::Reset, now));
        }
        let soon = timeline.speed.completion(now, attempt.work / SMALL_WORK_DIVISOR);
        if affecting.has(Misbehavior::TurnsAway) {
            return Some(PlannedReply::plain(Reply::Unprocessed, soon));
        }
        affecting.has(Misbehavior::Fails).then(|| PlannedReply::plain(Reply::Error, soon))
    }

    fn process(
        &mut self,
        now: Micros,
        attempt: &AttemptInput,
        timeline: &ServerTimeline,
        affecting: &Affecting,
        fetch: impl FnOnce(Micros) -> Option<Micros>,
    ) -> PlannedReply {
        let small_work = attempt.work / SMALL_WORK_DIVISOR;
        let cached = self.cached.get(&attempt.key).is_some();
        // Writes are the origin's where servers only cache.
        let is_miss = !self.spec.through && (attempt.write || !cached);
        let work = if is_miss { small_work } else { attempt.work };
        let Some(done) = self.cores.schedule(now, work, &timeline.speed) else {
            return PlannedReply::plain(Reply::Unprocessed, timeline.speed.completion(now, small_work));
        };
        if is_miss {
            let silent = affecting.is_unanswered();
            let (reply, at) = if silent { (Reply::Silence, Micros::MAX) } else { (Reply::Miss, done) };
            return PlannedReply::plain(reply, at);
        }
        let ran = |reply, at| PlannedReply { takes_effect: true, ..PlannedReply::plain(reply, at) };
        if let Some((reply, at)) = affecting.after_work(done) {
            return ran(reply, at);
        }
        if cached && !attempt.write {
            return ran(Reply::Hit, done);
        }
        let Some(fetched) = fetch(done) else { return PlannedReply::plain(Reply::Error, done) };
        if attempt.write {
            self.remove(attempt.key);
        } else {
            self.store(attempt.key);
        }
        ran(Reply::Fetched, fetched)
    }
}

/// The origin: few slots, slower the more of them are in use.
pub struct OriginModel {
    cores: Cores,
    contention: f64,
}

impl OriginModel {
    /// So many slots, so many places to wait, and how much longer work takes for each request in progress.
    pub fn new(slots: usize, queue: usize, contention: f64) -> OriginModel {
        OriginModel { cores: Cores::new(slots, queue), contention }
    }

    /// When it has done a request that comes now, or `None` where its queue is full.
    pub fn handle(&mut self, now: Micros, work: Micros, speed: &SpeedProfile) -> Option<Micros> {
        let slowdown = 1.0 + self.contention * self.cores.busy(now) as f64;
        self.cores.schedule(now, (work as f64 * slowdown) as Micros, speed)
    }
}
