//! What befalls each cache, the origin, the list and the links, worked out from the experiment before it is played.

use crate::clock::{Micros, SECOND, micros};
use crate::experiment::{Experiment, Kind, Outage};
use crate::model::pace::Pace;
use std::ops::Range;

/// How something is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Up,
    /// The process is gone: its connections are reset, and new ones refused.
    Refused,
    /// The machine, or the link to it, is gone: nothing comes, not even an end.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Fails,
    Hangs,
    /// Takes the lookup and never answers it, while others are answered.
    Loses,
    TurnsAway,
    Resets,
    Half,
    Spoils,
    Interim,
}

/// One process's life.
#[derive(Clone, Debug, PartialEq)]
pub struct Life {
    /// 0: since long ago, and warm.
    pub born: Micros,
    pub ends: Micros,
    pub then: Reach,
}

#[derive(Clone, Debug, Default)]
pub struct Course {
    pub lives: Vec<Life>,
    pub pace: Pace,
    pub effects: Vec<(Range<Micros>, Effect, f64)>,
    /// Moments at which all that it holds is void.
    pub voids: Vec<Micros>,
}

/// A change of what the list says of a cache, and when it tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    pub told: Micros,
    pub cache: usize,
    pub state: &'static str,
    pub born: Micros,
}

pub const SERVING: &str = "SERVING";
pub const DRAINING: &str = "DRAINING";
pub const DELETED: &str = "DELETED";

#[derive(Clone, Debug, Default)]
pub struct Courses {
    pub caches: Vec<Course>,
    pub origin: Pace,
    /// The part of what the origin gets that it fails with, quickly.
    pub origin_fails: Vec<(Range<Micros>, f64)>,
    /// Zones cut off from the others.
    pub cuts: Vec<(Range<Micros>, usize)>,
    pub notices: Vec<Notice>,
    pub list_down: Vec<(Range<Micros>, Outage)>,
    pub list_old: Vec<Range<Micros>>,
    /// Moments at which the calls that wait fall silent.
    pub list_silent: Vec<Micros>,
}

/// The list finds out by its own calls that a machine is gone: some of those and a second more.
const FINDING_OUT: Micros = 2 * SECOND;

impl Course {
    fn ends(&mut self, at: Micros, then: Reach, back: Micros) {
        if let Some(life) = self.lives.last_mut().filter(|life| life.born <= at && at < life.ends) {
            (life.ends, life.then) = (at, then);
            self.lives.push(Life { born: back, ends: Micros::MAX, then: Reach::Refused });
        }
    }

    /// The life that goes on at a moment, if one does, or how it is away.
    pub fn at(&self, now: Micros) -> Result<usize, Reach> {
        let i = self.lives.iter().rposition(|life| life.born <= now).unwrap_or(0);
        if now < self.lives[i].ends { Ok(i) } else { Err(self.lives[i].then) }
    }
}

impl Courses {
    pub fn of(experiment: &Experiment) -> Courses {
        let world = &experiment.world;
        let always = || Life { born: 0, ends: Micros::MAX, then: Reach::Refused };
        let caches = (0..world.caches).map(|_| Course { lives: vec![always()], ..Course::default() });
        let mut all = Courses { caches: caches.collect(), ..Courses::default() };
        let late = micros(world.list_late_s);
        let mut troubles: Vec<_> = experiment.troubles.iter().map(|t| t.get_ref()).collect();
        troubles.sort_by_key(|t| micros(t.at));
        let mut later: Vec<(Range<Micros>, Micros)> = Vec::new();
        for t in troubles {
            let (span, met) = (t.span(), experiment.met(t));
            let share = t.share.unwrap_or(1.0);
            let effect = match t.kind {
                Kind::Fails => Some(Effect::Fails),
                Kind::Hangs => Some(Effect::Hangs),
                Kind::Loses => Some(Effect::Loses),
                Kind::TurnsAway => Some(Effect::TurnsAway),
                Kind::Resets => Some(Effect::Resets),
                Kind::HalfAnswers => Some(Effect::Half),
                Kind::Spoils => Some(Effect::Spoils),
                Kind::Interim => Some(Effect::Interim),
                _ => None,
            };
            if let Some(effect) = effect {
                met.iter().for_each(|c| all.caches[*c].effects.push((span.clone(), effect, share)));
                continue;
            }
            let zone = t.zone.as_ref().and_then(|z| world.zones.iter().position(|own| own == z));
            match t.kind {
                Kind::StandsStill => met.iter().for_each(|c| all.caches[*c].pace.times(span.clone(), 0.0)),
                Kind::Slow => {
                    let factor = 1.0 / t.factor.unwrap_or(1.0);
                    met.iter().for_each(|c| all.caches[*c].pace.times(span.clone(), factor));
                }
                Kind::Vanishes | Kind::ZoneLost => {
                    met.iter()
                        .for_each(|c| all.away(*c, Reach::Silent, span.clone(), late + FINDING_OUT, late));
                }
                Kind::Failover => {
                    // The list is not told: who took over is the servers' own word.
                    let back = span.start + micros(t.down.unwrap_or(1.0));
                    met.iter().for_each(|c| all.caches[*c].ends(span.start, Reach::Refused, back));
                }
                Kind::Restarts => {
                    let back = span.start + micros(t.down.unwrap_or(1.0));
                    met.iter().for_each(|c| all.away(*c, Reach::Refused, span.start..back, late, late));
                }
                Kind::RollingDeploy => {
                    for (i, cache) in met.into_iter().enumerate() {
                        let told = span.start + micros(t.every.unwrap_or(1.0)) * i as Micros;
                        let end = told + micros(t.drain.unwrap_or(1.0));
                        let back = end + micros(t.down.unwrap_or(1.0));
                        all.notice(told + late, cache, DRAINING, 0);
                        all.away(cache, Reach::Refused, end..back, late, late);
                    }
                }
                Kind::CopiesVoid => met.iter().for_each(|c| all.caches[*c].voids.push(span.start)),
                Kind::OriginSlow => all.origin.times(span, 1.0 / t.factor.unwrap_or(1.0)),
                Kind::OriginFails => all.origin_fails.push((span, share)),
                Kind::ZoneCut => all.cuts.extend(zone.map(|z| (span, z))),
                Kind::ListDown => all.list_down.push((span, t.how.unwrap_or_default())),
                Kind::ListOld => all.list_old.push(span),
                Kind::ListSilent => all.list_silent.push(span.start),
                Kind::ListLate => later.push((span, micros(t.by.unwrap_or(0.0)))),
                // Proxies are not of this world: the fleet sees to them.
                _ => {}
            }
        }
        for notice in &mut all.notices {
            let by = later.iter().filter(|(span, _)| span.contains(&notice.told)).map(|(_, by)| by).max();
            notice.told += by.copied().unwrap_or(0);
        }
        all.notices.sort_by_key(|n| (n.told, n.cache));
        let (cold, lasts) = (world.cold_share, micros(world.cold_s));
        for course in &mut all.caches {
            for born in course.lives.iter().map(|life| life.born).filter(|born| *born > 0) {
                course.pace.warm_up(born, cold, lasts);
            }
        }
        all
    }

    fn notice(&mut self, told: Micros, cache: usize, state: &'static str, born: Micros) {
        self.notices.push(Notice { told, cache, state, born });
    }

    /// A cache is gone for a time, and returns cold; the list tells of both, so much later.
    fn away(&mut self, cache: usize, how: Reach, span: Range<Micros>, gone_late: Micros, back_late: Micros) {
        self.caches[cache].ends(span.start, how, span.end);
        if span.start + gone_late < span.end {
            self.notice(span.start + gone_late, cache, DELETED, 0);
        }
        self.notice(span.end + back_late, cache, SERVING, span.end);
    }

    /// Whether the origin fails with what comes now, by its luck.
    pub fn origin_fails(&self, now: Micros, luck: f64) -> bool {
        self.origin_fails.iter().any(|(span, share)| span.contains(&now) && luck < *share)
    }

    /// Whether the link between two zones is cut.
    fn cut(&self, a: usize, b: usize, now: Micros) -> bool {
        a != b && self.cuts.iter().any(|(span, zone)| span.contains(&now) && (*zone == a || *zone == b))
    }

    /// How a cache in one zone stands to a proxy in another, from that moment until the one that is returned.
    pub fn reach(&self, cache: usize, zones: (usize, usize), now: Micros) -> (Reach, Micros) {
        let course = &self.caches[cache];
        let own = match course.at(now) {
            Ok(_) if self.cut(zones.0, zones.1, now) => Reach::Silent,
            Ok(_) => Reach::Up,
            Err(how) => how,
        };
        let lives = course.lives.iter().flat_map(|life| [life.born, life.ends]);
        let next = lives.chain(self.turns(zones.0, zones.1)).filter(|at| *at > now).min();
        (own, next.unwrap_or(Micros::MAX))
    }

    fn turns(&self, a: usize, b: usize) -> impl Iterator<Item = Micros> + '_ {
        let between = move |(_, zone): &&(Range<Micros>, usize)| a != b && (*zone == a || *zone == b);
        self.cuts.iter().filter(between).flat_map(|(span, _)| [span.start, span.end])
    }

    /// Until when, and how, the list is down at a moment.
    pub fn list_outage(&self, now: Micros) -> Option<(Micros, Outage)> {
        self.list_down.iter().find(|(span, _)| span.contains(&now)).map(|(span, how)| (span.end, *how))
    }

    /// The same for the origin or the list, which stand in the first zone.
    pub fn reach_first(&self, zone: usize, now: Micros) -> (Reach, Micros) {
        self.reach_zone(0, zone, now)
    }

    /// The same for what stands in one zone and is asked from another.
    pub fn reach_zone(&self, stands: usize, zone: usize, now: Micros) -> (Reach, Micros) {
        let reach = if self.cut(stands, zone, now) { Reach::Silent } else { Reach::Up };
        (reach, self.turns(stands, zone).filter(|at| *at > now).min().unwrap_or(Micros::MAX))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FEW: &str = r#"
        title = "t"
        seconds = 30
        load = { rate = 10 }
        world = { zones = ["a", "b"], caches = 4, list_late_s = 0.5, cold_s = 5 }
        [[namespace]]
        name = "page"
        target_ms = 300
        limit_ms = 1000
        work_ms = 5
    "#;

    fn courses(troubles: &str) -> Courses {
        Courses::of(&Experiment::read(&format!("{FEW}{troubles}")).unwrap())
    }

    #[test]
    fn a_rolling_deploy_drains_each_in_turn_and_leaves_it_cold() {
        let all = courses("[[trouble]]\nkind='rolling-deploy'\nat=2\nevery=4\ndrain=1\ndown=1\ncaches=[1,2]");
        let said: Vec<_> = all.notices.iter().map(|n| (n.told / 100_000, n.cache, n.state)).collect();
        let (d, g, s) = (DRAINING, DELETED, SERVING);
        assert_eq!(said, [(25, 1, d), (35, 1, g), (45, 1, s), (65, 2, d), (75, 2, g), (85, 2, s)]);
        assert_eq!(all.reach(1, (1, 0), 3 * SECOND), (Reach::Refused, 4 * SECOND));
        assert!(all.caches[1].pace.speed(4 * SECOND) < 0.3 && all.caches[0].pace.speed(4 * SECOND) == 1.0);
    }

    #[test]
    fn a_cut_zone_is_silent_across_and_up_within_and_a_lost_one_is_silent_for_all() {
        let all = courses(
            "[[trouble]]\nkind='zone-cut'\nat=2\nfor=2\nzone='b'\n[[trouble]]\nkind='zone-lost'\nat=10\nfor=9\nzone='b'",
        );
        let reach = |cache, zones, at| all.reach(cache, zones, at * SECOND).0;
        assert_eq!(reach(1, (1, 0), 3), Reach::Silent);
        assert_eq!(
            (reach(1, (1, 1), 3), reach(0, (0, 0), 3), reach(1, (1, 0), 4)),
            (Reach::Up, Reach::Up, Reach::Up)
        );
        assert_eq!((reach(3, (1, 1), 12), reach(3, (1, 1), 19)), (Reach::Silent, Reach::Up));
        assert_eq!(all.reach_first(1, 3 * SECOND), (Reach::Silent, 4 * SECOND));
    }

    #[test]
    fn a_list_that_tells_late_tells_late_of_what_falls_into_the_span() {
        let late = "[[trouble]]\nkind='list-late'\nat=0\nfor=3\nby=5\n";
        let all = courses(&format!("{late}[[trouble]]\nkind='restarts'\nat=1\ndown=6\ncaches=[0]"));
        let said: Vec<_> = all.notices.iter().map(|n| (n.told / 100_000, n.state)).collect();
        assert_eq!(said, [(65, DELETED), (75, SERVING)]);
    }
}
