//! One server's process, and the origin's: what becomes of an attempt that reaches them, and when.

use crate::clock::Micros;
use crate::model::speed::{Cores, RecentWork, SpeedProfile};
use crate::model::timeline::{Misbehavior, ServerTimeline};
use lru::LruCache;
use std::num::NonZeroUsize;

/// What is said to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Hit,
    /// Fetched by the server, or made by the origin.
    Fetched,
    Miss,
    Error,
    /// Turned away unseen.
    Unprocessed,
    Silence,
    Reset,
    Truncated,
    Garbage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedReply {
    pub reply: Reply,
    pub at: Micros,
    /// An interim answer goes ahead.
    pub interim: bool,
    /// Its effect, if it has one, comes about.
    pub takes_effect: bool,
    /// What was sent to it just now pushed it over.
    pub collapses: bool,
}

/// What an attempt asks for, as the model needs it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInput {
    pub key: u64,
    pub write: bool,
    pub work: Micros,
    /// 0 to 1: decides by chance what meets only a part of the attempts.
    pub luck: f64,
}

/// What a server is like, once for all of them.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    pub cores: usize,
    pub queue: usize,
    pub values: usize,
    pub slow_start_share: f64,
    pub slow_start: Micros,
    pub collapse_multiple: f64,
    pub collapse_window: Micros,
    pub through: bool,
}

pub struct ServerModel {
    spec: ServerSpec,
    cores: Cores,
    cached: LruCache<u64, ()>,
    sent: RecentWork,
    started: Micros,
    purges_applied: usize,
    pub collapsed: bool,
}

/// Turning away, missing and failing take a part of the work: the request is read and the key looked for.
const SMALL_WORK_DIVISOR: Micros = 8;
/// Above the budget of a cold server, for chance: so many requests of the size that comes.
const COLD_BUDGET_SLACK: Micros = 8;

impl ServerModel {
    pub fn new(spec: ServerSpec, started: Micros) -> ServerModel {
        ServerModel {
            cores: Cores::new(spec.cores, spec.queue),
            cached: LruCache::new(NonZeroUsize::new(spec.values).unwrap_or(NonZeroUsize::MIN)),
            sent: RecentWork::new(spec.collapse_window),
            started,
            purges_applied: 0,
            collapsed: false,
            spec,
        }
    }

    pub fn store(&mut self, key: u64) {
        self.cached.put(key, ());
    }

    pub fn remove(&mut self, key: u64) {
        self.cached.pop(&key);
    }

    pub fn contains(&self, key: u64) -> bool {
        self.cached.contains(&key)
    }

    /// Whether a cold process was sent more than it bears; counts what is sent now.
    fn collapses(&mut self, now: Micros, attempt: &AttemptInput) -> bool {
        if self.started == 0 || now >= self.started + self.spec.slow_start {
            return false;
        }
        let sent = self.sent.add(now, attempt.work);
        let part = (now - self.started) as f64 / self.spec.slow_start as f64;
        let ramp = self.spec.slow_start_share + (1.0 - self.spec.slow_start_share) * part;
        let capacity = ramp * self.spec.cores as f64 * self.spec.collapse_window as f64;
        sent as f64 > capacity * self.spec.collapse_multiple + (COLD_BUDGET_SLACK * attempt.work) as f64
    }

    /// What becomes of an attempt that comes now. `fetch` asks the origin's model, where the server fetches by itself.
    pub fn handle(
        &mut self,
        now: Micros,
        attempt: AttemptInput,
        timeline: &ServerTimeline,
        fetch: impl FnOnce(Micros) -> Option<Micros>,
    ) -> PlannedReply {
        while timeline.purges.get(self.purges_applied).is_some_and(|at| *at <= now) {
            self.purges_applied += 1;
            self.cached.clear();
        }
        let collapses = !self.collapsed && self.collapses(now, &attempt);
        self.collapsed |= collapses;
        let hit_faults: Vec<(Misbehavior, f64)> = timeline
            .misbehaviors
            .iter()
            .filter(|(span, _, share)| span.contains(&now) && attempt.luck < *share)
            .map(|(_, misbehavior, share)| (*misbehavior, *share))
            .collect();
        let hit_by = |misbehavior: Misbehavior| hit_faults.iter().any(|(e, _)| *e == misbehavior);
        let interim = hit_by(Misbehavior::Interim);
        let plan = |reply: Reply, at: Micros, takes_effect: bool| PlannedReply {
            reply,
            at,
            interim,
            takes_effect,
            collapses,
        };
        let small_work_done = timeline.speed.completion(now, attempt.work / SMALL_WORK_DIVISOR);
        if self.collapsed || hit_by(Misbehavior::Resets) {
            return plan(Reply::Reset, now, false);
        }
        if hit_by(Misbehavior::TurnsAway) {
            return plan(Reply::Unprocessed, small_work_done, false);
        }
        if hit_by(Misbehavior::Fails) {
            return plan(Reply::Error, small_work_done, false);
        }
        let cached_here = self.cached.get(&attempt.key).is_some();
        // Writes are the origin's where servers only store.
        if !self.spec.through && (attempt.write || !cached_here) {
            return match self.cores.schedule(now, attempt.work / SMALL_WORK_DIVISOR, &timeline.speed) {
                Some(_) if hit_by(Misbehavior::Hangs) || hit_by(Misbehavior::Loses) => {
                    plan(Reply::Silence, Micros::MAX, false)
                }
                Some(at) => plan(Reply::Miss, at, false),
                None => plan(Reply::Unprocessed, small_work_done, false),
            };
        }
        let Some(done) = self.cores.schedule(now, attempt.work, &timeline.speed) else {
            return plan(Reply::Unprocessed, small_work_done, false);
        };
        if hit_by(Misbehavior::Hangs) || hit_by(Misbehavior::Loses) {
            // Whether it ran will never be heard: it did.
            return plan(Reply::Silence, Micros::MAX, true);
        }
        if hit_by(Misbehavior::Half) {
            return plan(Reply::Truncated, done, true);
        }
        if hit_by(Misbehavior::Spoils) {
            return plan(Reply::Garbage, done, true);
        }
        if cached_here && !attempt.write {
            return plan(Reply::Hit, done, true);
        }
        match fetch(done) {
            Some(at) => {
                if attempt.write {
                    self.remove(attempt.key);
                } else {
                    self.store(attempt.key);
                }
                plan(Reply::Fetched, at, true)
            }
            None => plan(Reply::Error, done, false),
        }
    }
}

/// The origin: few places, slower the more of them are taken.
pub struct OriginModel {
    cores: Cores,
    contention: f64,
}

impl OriginModel {
    pub fn new(slots: usize, queue: usize, contention: f64) -> OriginModel {
        OriginModel { cores: Cores::new(slots, queue), contention }
    }

    /// When it has done a request that comes now, or `None` where its queue is full.
    pub fn handle(&mut self, now: Micros, work: Micros, speed: &SpeedProfile) -> Option<Micros> {
        let slowdown = 1.0 + self.contention * self.cores.busy(now) as f64;
        self.cores.schedule(now, (work as f64 * slowdown) as Micros, speed)
    }
}
