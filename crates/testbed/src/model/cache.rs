//! One cache's process, and the origin's: what becomes of a shot that reaches them, and when.

use crate::clock::Micros;
use crate::model::course::{Course, Effect};
use crate::model::pace::{Cores, Pace, Sent};
use lru::LruCache;
use std::num::NonZeroUsize;

/// What is said to a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Say {
    Held,
    /// Fetched by the cache, or made by the origin.
    Fetched,
    Miss,
    Error,
    /// Turned away unseen.
    Full,
    Nothing,
    Reset,
    Half,
    Spoilt,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    pub say: Say,
    pub at: Micros,
    /// An interim answer goes ahead.
    pub interim: bool,
    /// Its effect, if it has one, comes about.
    pub runs: bool,
    /// What was sent to it just now pushed it over.
    pub falls: bool,
}

/// What a shot asks for, as the model needs it.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub key: u64,
    pub write: bool,
    pub work: Micros,
    /// 0 to 1: decides by chance what meets only a part of the shots.
    pub luck: f64,
}

/// What a cache is like, once for all of them.
#[derive(Clone, Debug)]
pub struct Make {
    pub cores: usize,
    pub queue: usize,
    pub values: usize,
    pub cold_share: f64,
    pub cold_time: Micros,
    pub fall_multiple: f64,
    pub fall_time: Micros,
    pub through: bool,
}

pub struct CacheModel {
    make: Make,
    cores: Cores,
    kept: LruCache<u64, ()>,
    sent: Sent,
    born: Micros,
    voids_past: usize,
    pub fallen: bool,
}

/// Turning away, missing and failing take a part of the work: the lookup is read and the key looked for.
const SMALL: Micros = 8;
/// Above the budget of a cold cache, for chance: so many lookups of the size that comes.
const SLACK: Micros = 8;

impl CacheModel {
    pub fn new(make: Make, born: Micros) -> CacheModel {
        CacheModel {
            cores: Cores::new(make.cores, make.queue),
            kept: LruCache::new(NonZeroUsize::new(make.values).unwrap_or(NonZeroUsize::MIN)),
            sent: Sent::new(make.fall_time),
            born,
            voids_past: 0,
            fallen: false,
            make,
        }
    }

    pub fn keep(&mut self, key: u64) {
        self.kept.put(key, ());
    }

    pub fn drop_key(&mut self, key: u64) {
        self.kept.pop(&key);
    }

    pub fn holds(&self, key: u64) -> bool {
        self.kept.contains(&key)
    }

    /// Whether a cold process was sent more than it bears; counts what is sent now.
    fn falls(&mut self, now: Micros, asked: &Asked) -> bool {
        if self.born == 0 || now >= self.born + self.make.cold_time {
            return false;
        }
        let sent = self.sent.add(now, asked.work);
        let part = (now - self.born) as f64 / self.make.cold_time as f64;
        let warmth = self.make.cold_share + (1.0 - self.make.cold_share) * part;
        let able = warmth * self.make.cores as f64 * self.make.fall_time as f64;
        sent as f64 > able * self.make.fall_multiple + (SLACK * asked.work) as f64
    }

    /// What becomes of a shot that comes now. `fetch` asks the origin's model, where the cache fetches by itself.
    pub fn take(
        &mut self,
        now: Micros,
        asked: Asked,
        course: &Course,
        fetch: impl FnOnce(Micros) -> Option<Micros>,
    ) -> Plan {
        while course.voids.get(self.voids_past).is_some_and(|at| *at <= now) {
            self.voids_past += 1;
            self.kept.clear();
        }
        let falls = !self.fallen && self.falls(now, &asked);
        self.fallen |= falls;
        let met: Vec<(Effect, f64)> = course
            .effects
            .iter()
            .filter(|(span, _, share)| span.contains(&now) && asked.luck < *share)
            .map(|(_, effect, share)| (*effect, *share))
            .collect();
        let has = |effect: Effect| met.iter().any(|(e, _)| *e == effect);
        let interim = has(Effect::Interim);
        let plan = |say: Say, at: Micros, runs: bool| Plan { say, at, interim, runs, falls };
        let soon = course.pace.done(now, asked.work / SMALL);
        if self.fallen || has(Effect::Resets) {
            return plan(Say::Reset, now, false);
        }
        if has(Effect::TurnsAway) {
            return plan(Say::Full, soon, false);
        }
        if has(Effect::Fails) {
            return plan(Say::Error, soon, false);
        }
        let holds = self.kept.get(&asked.key).is_some();
        // Writes are the origin's where caches only store.
        if !self.make.through && (asked.write || !holds) {
            return match self.cores.take(now, asked.work / SMALL, &course.pace) {
                Some(_) if has(Effect::Hangs) || has(Effect::Loses) => plan(Say::Nothing, Micros::MAX, false),
                Some(at) => plan(Say::Miss, at, false),
                None => plan(Say::Full, soon, false),
            };
        }
        let Some(done) = self.cores.take(now, asked.work, &course.pace) else {
            return plan(Say::Full, soon, false);
        };
        if has(Effect::Hangs) || has(Effect::Loses) {
            // Whether it ran will never be heard: it did.
            return plan(Say::Nothing, Micros::MAX, true);
        }
        if has(Effect::Half) {
            return plan(Say::Half, done, true);
        }
        if has(Effect::Spoils) {
            return plan(Say::Spoilt, done, true);
        }
        if holds && !asked.write {
            return plan(Say::Held, done, true);
        }
        match fetch(done) {
            Some(at) => {
                if asked.write {
                    self.drop_key(asked.key);
                } else {
                    self.keep(asked.key);
                }
                plan(Say::Fetched, at, true)
            }
            None => plan(Say::Error, done, false),
        }
    }
}

/// The origin: few places, slower the more of them are taken.
pub struct OriginModel {
    cores: Cores,
    drag: f64,
}

impl OriginModel {
    pub fn new(places: usize, queue: usize, drag: f64) -> OriginModel {
        OriginModel { cores: Cores::new(places, queue), drag }
    }

    /// When it has done a lookup that comes now, or `None` where its queue is full.
    pub fn take(&mut self, now: Micros, work: Micros, pace: &Pace) -> Option<Micros> {
        let crowd = 1.0 + self.drag * self.cores.busy(now) as f64;
        self.cores.take(now, (work as f64 * crowd) as Micros, pace)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::{MILLI, SECOND};
    use crate::model::course::{Life, Reach};

    fn make() -> Make {
        Make {
            cores: 2,
            queue: 2,
            values: 2,
            cold_share: 0.2,
            cold_time: 10 * SECOND,
            fall_multiple: 2.0,
            fall_time: SECOND,
            through: false,
        }
    }

    fn course() -> Course {
        let lives = vec![Life { born: 0, ends: Micros::MAX, then: Reach::Refused }];
        Course { lives, ..Course::default() }
    }

    fn asked(key: u64) -> Asked {
        Asked { key, write: false, work: 10 * MILLI, luck: 0.5 }
    }

    fn nobody(_: Micros) -> Option<Micros> {
        None
    }

    #[test]
    fn it_holds_what_was_stored_last_and_misses_the_rest_and_writes() {
        let (mut cache, course) = (CacheModel::new(make(), 0), course());
        [1, 2, 3].into_iter().for_each(|key| cache.keep(key));
        let mut say = |now, a| cache.take(now, a, &course, nobody).say;
        let write = Asked { write: true, ..asked(3) };
        let said = [(0, asked(1)), (0, asked(3)), (20_000, write)].map(|(now, a)| say(now, a));
        assert_eq!(said, [Say::Miss, Say::Held, Say::Miss]);
    }

    #[test]
    fn a_full_queue_turns_away_and_nothing_of_it_runs() {
        let (mut cache, course) = (CacheModel::new(make(), 0), course());
        cache.keep(1);
        let plans = [(); 5].map(|()| cache.take(0, asked(1), &course, nobody));
        assert_eq!(plans.map(|p| p.say), [Say::Held, Say::Held, Say::Held, Say::Held, Say::Full]);
        assert!(!plans[4].runs && plans[3].at == 20 * MILLI);
    }

    #[test]
    fn a_cold_one_falls_when_sent_more_than_it_bears_and_a_warm_one_does_not() {
        let course = course();
        let fallen = [SECOND, 0].map(|born| {
            let mut cache = CacheModel::new(make(), born);
            // A fifth of two cores, twice: 0.8 s of work a second, and 80 ms for chance.
            (0..100).position(|i| cache.take(SECOND + i, asked(1), &course, nobody).falls)
        });
        assert_eq!(fallen, [Some(88), None]);
    }

    #[test]
    fn through_caches_fetch_and_keep_or_fail_with_the_origin() {
        let course = course();
        let mut cache = CacheModel::new(Make { through: true, ..make() }, 0);
        let said =
            [None, Some(90_000), None].map(|fetched| cache.take(0, asked(1), &course, |_| fetched).say);
        assert_eq!(said, [Say::Error, Say::Fetched, Say::Held]);
    }

    #[test]
    fn copies_go_void_at_once() {
        let (mut cache, mut course) = (CacheModel::new(make(), 0), course());
        course.voids = vec![500];
        cache.keep(1);
        let said = [0, 600].map(|now| cache.take(now, asked(1), &course, nobody).say);
        assert_eq!(said, [Say::Held, Say::Miss]);
    }
}
