//! The judge. It knows what the house allows and what went over the sockets, and nothing of how a proxy decides: every
//! breach names the lookup, the moment, and what was seen.

use crate::clock::{MILLI, Micros, micros, seconds};
use crate::evidence::{Ask, Event, Id, Index, What};
use crate::experiment::{Experiment, Namespace, REPLAYABLE, SINGLE_USE};
use crate::model::cache::Say;
use crate::model::course::{Courses, Reach};
use crate::notified;
use std::collections::{BTreeMap, HashMap};

/// The rules, by the names that breaches bear.
pub const NO_ANSWER: &str = "no final answer";
pub const ANSWERED_TWICE: &str = "answered twice";
pub const TOO_LATE: &str = "answered after its time limit";
pub const ANOTHERS: &str = "not the answer made for it";
pub const RAN_TWICE: &str = "may run twice";
pub const DEFERRED_RUN: &str = "deferred though it may have run";
pub const TWO_AT_ONCE: &str = "two shots at once";
pub const TOO_MANY: &str = "too many shots";
pub const DRAINED: &str = "sent to a drained cache";
pub const PUSHED_OVER: &str = "a cache was pushed over";
pub const HELD_BACK: &str = "a refusal was held back";
pub const MADE_UP: &str = "a shot for no lookup";
pub const SENT_ON: &str = "sent on after its client left";

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: &'static str,
    pub at: Micros,
    pub id: Id,
    pub proxy: Index,
    pub seen: String,
}

/// One shot, from the first byte that reached a cache.
#[derive(Clone, Debug)]
pub struct Shot {
    pub cache: Index,
    pub proxy: Index,
    pub begun: Micros,
    pub whole: Option<Micros>,
    pub said: Option<(Micros, Say)>,
    pub cut: Option<Micros>,
}

impl Shot {
    pub fn end(&self) -> Option<Micros> {
        self.said.map(|(at, _)| at).or(self.cut)
    }

    /// Whether its proxy could not know, at that moment, that it had surely not run.
    fn may_have_run(&self, at: Micros) -> bool {
        let surely_not = |(said, say): (Micros, Say)| said <= at && matches!(say, Say::Full | Say::Miss);
        self.whole.is_some() && !self.said.is_some_and(surely_not)
    }
}

/// How a lookup ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Resolved,
    Deferred,
    Abandoned,
    /// As wrong in itself.
    TurnedDown,
    Unanswered,
    /// Its proxy was killed outright, and the connection's end told so.
    Killed,
    Left,
    NotTaken,
}

/// All that is known of one lookup.
#[derive(Clone, Debug)]
pub struct Course {
    pub id: Id,
    pub ask: Ask,
    pub proxy: Index,
    pub asked: Option<Micros>,
    pub answers: Vec<(Micros, u16, Option<Micros>, bool)>,
    pub ended: Option<(Micros, Outcome)>,
    pub shots: Vec<Shot>,
    pub ran: Vec<(Micros, Index)>,
    pub outcome: Outcome,
}

/// A proxy was told that a cache is off, and began its last shot to it so long after.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    pub told: Micros,
    pub last: Micros,
}

#[derive(Debug, Default)]
pub struct Verdict {
    pub drains: Vec<Drain>,
    pub breaches: Vec<Breach>,
    /// More breaches than are kept: a broken proxy breaks thousands.
    pub more: usize,
    pub courses: Vec<Course>,
    pub fallen: usize,
    /// In which spans each proxy was stopped.
    pub stopped: Vec<(Index, Micros, Micros)>,
}

/// Kept and shown in full; the rest is counted.
const MOST_BREACHES: usize = 200;

struct Judge<'a> {
    experiment: &'a Experiment,
    courses: Courses,
    verdict: Verdict,
    killed: Vec<(Index, Micros)>,
}

/// Judges a run by its events, which stand in order of time.
pub fn judge(experiment: &Experiment, events: &[Event], asks: HashMap<Id, Ask>) -> Verdict {
    let mut judge = Judge {
        experiment,
        courses: Courses::of(experiment),
        verdict: Verdict::default(),
        killed: Vec::new(),
    };
    judge.of_proxies(events);
    let courses = gather(events, asks);
    judge.of_drains(events);
    for event in events {
        match &event.what {
            What::Fell { cache } => {
                judge.verdict.fallen += 1;
                judge.say(
                    PUSHED_OVER,
                    event,
                    format!("cache {cache} was sent more than it bears while cold"),
                );
            }
            What::MadeUp { cache } => {
                judge.say(MADE_UP, event, format!("cache {cache} was sent an id that no client sent"));
            }
            What::Unasked => judge.say(ANSWERED_TWICE, event, "more came than was asked for".into()),
            _ => {}
        }
    }
    let open = KeysOut::of(&courses);
    for mut course in courses {
        judge.of_lookup(&mut course, &open);
        judge.verdict.courses.push(course);
    }
    judge.verdict.breaches.sort_by_key(|b| (b.at, b.id));
    judge.verdict
}

/// The events of each lookup, put in order of the lookups' ids as asked.
fn gather(events: &[Event], asks: HashMap<Id, Ask>) -> Vec<Course> {
    let mut courses: BTreeMap<(Micros, Id), Course> = BTreeMap::new();
    let due: HashMap<Id, Micros> = asks.iter().map(|(id, ask)| (*id, ask.due)).collect();
    for (id, ask) in asks {
        let course = Course {
            id,
            proxy: 0,
            asked: None,
            answers: Vec::new(),
            ended: None,
            shots: Vec::new(),
            ran: Vec::new(),
            outcome: Outcome::NotTaken,
            ask,
        };
        courses.insert((course.ask.due, id), course);
    }
    for e in events {
        let Some(due) = due.get(&e.id) else { continue };
        let Some(course) = courses.get_mut(&(*due, e.id)) else { continue };
        let open = |shots: &mut [Shot], cache: Index| {
            shots.iter().rposition(|s| s.cache == cache && s.proxy == e.proxy && s.end().is_none())
        };
        match &e.what {
            // Sent again across a close, it counts from then.
            What::Asked => (course.asked, course.proxy) = (Some(e.at), e.proxy),
            What::Answered { status, back_in, right } => {
                course.answers.push((e.at, *status, *back_in, *right));
            }
            What::Unanswered { .. } => course.ended = Some((e.at, Outcome::Unanswered)),
            What::Left => course.ended = Some((e.at, Outcome::Left)),
            What::NoProxy => course.ended = Some((e.at, Outcome::NotTaken)),
            What::Begun { cache } => course.shots.push(Shot {
                cache: *cache,
                proxy: e.proxy,
                begun: e.at,
                whole: None,
                said: None,
                cut: None,
            }),
            What::Shot { cache, .. } => {
                if let Some(i) = open(&mut course.shots, *cache) {
                    course.shots[i].whole = Some(e.at);
                }
            }
            What::Said { cache, say } => {
                if let Some(i) = open(&mut course.shots, *cache) {
                    course.shots[i].said = Some((e.at, *say));
                }
            }
            What::Cut { cache } => {
                if let Some(i) = open(&mut course.shots, *cache) {
                    course.shots[i].cut = Some(e.at);
                }
            }
            What::Ran { cache } => course.ran.push((e.at, *cache)),
            _ => {}
        }
    }
    courses.into_values().collect()
}

/// When shots for a key were out at a proxy: who waits for another's fetch is not held back.
struct KeysOut(HashMap<(Index, u64), Vec<(Micros, Micros)>>);

impl KeysOut {
    fn of(courses: &[Course]) -> KeysOut {
        let mut out: HashMap<(Index, u64), Vec<(Micros, Micros)>> = HashMap::new();
        for course in courses {
            for shot in &course.shots {
                let span = (shot.begun, shot.end().unwrap_or(Micros::MAX));
                out.entry((shot.proxy, course.ask.key)).or_default().push(span);
            }
        }
        KeysOut(out)
    }

    /// The longest stretch within a span in which none was out.
    fn longest_without(&self, proxy: Index, key: u64, from: Micros, to: Micros) -> Micros {
        let mut spans = self.0.get(&(proxy, key)).cloned().unwrap_or_default();
        spans.sort_unstable();
        let (mut at, mut longest) = (from, 0);
        for (begun, end) in spans.into_iter().filter(|(begun, end)| *end > from && *begun < to) {
            longest = longest.max(begun.saturating_sub(at));
            at = at.max(end);
        }
        longest.max(to.saturating_sub(at))
    }
}

impl Judge<'_> {
    fn breach(&mut self, breach: Breach) {
        if self.verdict.breaches.len() < MOST_BREACHES {
            self.verdict.breaches.push(breach);
        } else {
            self.verdict.more += 1;
        }
    }

    fn say(&mut self, rule: &'static str, e: &Event, seen: String) {
        self.breach(Breach { rule, at: e.at, id: e.id, proxy: e.proxy, seen });
    }

    /// When proxies were killed and stopped.
    fn of_proxies(&mut self, events: &[Event]) {
        let mut stopped: HashMap<Index, Micros> = HashMap::new();
        for e in events {
            match e.what {
                What::Signalled { signal: "STOP" } => _ = stopped.insert(e.proxy, e.at),
                What::Signalled { signal: "CONT" } => {
                    if let Some(from) = stopped.remove(&e.proxy) {
                        self.verdict.stopped.push((e.proxy, from, e.at));
                    }
                }
                What::Signalled { signal: "KILL" } | What::Ended { killed: true } => {
                    self.killed.push((e.proxy, e.at));
                }
                _ => {}
            }
        }
    }

    /// Nothing new to a cache after the grace from when its proxy was told that it is draining or gone.
    fn of_drains(&mut self, events: &[Event]) {
        let rules = &self.experiment.rules;
        let grace = micros(self.experiment.fleet.drain_grace_s) + micros(rules.drain_ms / 1e3);
        let mut off: HashMap<(Index, Index), usize> = HashMap::new(); // the drain, by its place
        let mut drains: Vec<Drain> = Vec::new();
        let mut late: HashMap<(Index, Index), Micros> = HashMap::new(); // as notified without being told
        let notified = notified::of(self.experiment, &self.courses, events);
        let mut notified = notified.into_iter().peekable();
        for e in events {
            while let Some(n) = notified.next_if(|n| n.at <= e.at) {
                match n.off {
                    true => _ = late.entry((n.proxy, n.cache)).or_insert(n.at),
                    false => _ = late.remove(&(n.proxy, n.cache)),
                }
            }
            match e.what {
                What::Told { cache, off: true } => {
                    off.entry((e.proxy, cache)).or_insert_with(|| {
                        drains.push(Drain { told: e.at, last: e.at });
                        drains.len() - 1
                    });
                }
                What::Told { cache, off: false } => _ = off.remove(&(e.proxy, cache)),
                // What the next process knows is what it is told itself.
                What::Ended { .. } => {
                    off.retain(|(proxy, _), _| *proxy != e.proxy);
                    late.retain(|(proxy, _), _| *proxy != e.proxy);
                }
                What::Begun { cache } if late.get(&(e.proxy, cache)).is_some_and(|at| e.at > at + grace) => {
                    let at = late[&(e.proxy, cache)];
                    let seen = format!(
                        "cache {cache} was sent a shot {:.3} s after its proxy counts as notified that it is off, told or not",
                        seconds(e.at - at)
                    );
                    self.say(DRAINED, e, seen);
                }
                What::Begun { cache } => {
                    let Some(drain) = off.get(&(e.proxy, cache)).map(|i| &mut drains[*i]) else { continue };
                    drain.last = e.at;
                    let told = drain.told;
                    if e.at > told + grace {
                        let seen = format!(
                            "cache {cache} was sent a shot {:.3} s after its proxy was told that it is off",
                            seconds(e.at - told)
                        );
                        self.say(DRAINED, e, seen);
                    }
                }
                _ => {}
            }
        }
        self.verdict.drains = drains;
    }

    fn of_lookup(&mut self, course: &mut Course, open: &KeysOut) {
        let experiment = self.experiment;
        let ns = &experiment.namespaces[course.ask.ns];
        course.outcome = self.outcome(course);
        let lookup = |rule, at, seen| Breach { rule, at, id: course.id, proxy: course.proxy, seen };
        let mut found = Vec::new();
        if let Some((at, ..)) = course.answers.get(1) {
            found.push(lookup(ANSWERED_TWICE, *at, format!("{} final answers", course.answers.len())));
        }
        if course.outcome == Outcome::Unanswered {
            let at = course.ended.map_or(course.asked.unwrap_or(course.ask.due), |(at, _)| at);
            let seen = match course.ended {
                Some(_) => "the connection ended without one",
                None => "nothing had come when the run ended",
            };
            let shots = course.shots.len();
            found.push(lookup(NO_ANSWER, at, format!("{seen}, {shots} shots were sent for it")));
        }
        if let (Some(asked), Some((at, status, back_in, right))) = (course.asked, course.answers.first()) {
            let limit = asked + course.ask.limit + micros(experiment.rules.late_ms / 1e3);
            if *at > limit && !self.was_stopped(course.proxy, asked, *at) {
                let late = seconds(at - asked - course.ask.limit);
                found.push(lookup(TOO_LATE, *at, format!("{late:.3} s after it")));
            }
            if !right {
                found.push(lookup(ANOTHERS, *at, "its body is not whole, or made for another".into()));
            }
            if matches!(status, 429 | 503)
                && let Some(seen) = deferral(ns, &course.shots, *at, back_in.unwrap_or(0))
            {
                found.push(lookup(DEFERRED_RUN, *at, seen));
            }
            if *status >= 429
                && let Some(seen) = self.held_back(course, asked, *at, open)
            {
                found.push(lookup(HELD_BACK, *at, seen));
            }
        }
        found.extend(self.sent_on(course).map(|(at, seen)| lookup(SENT_ON, at, seen)));
        found.extend(self.of_shots(course, ns).into_iter().map(|(rule, at, seen)| lookup(rule, at, seen)));
        found.into_iter().for_each(|b| self.breach(b));
    }

    /// A shot whose first byte came long after its client had closed the connection. No standstill excuses it: the end lies
    /// there to be read.
    fn sent_on(&self, course: &Course) -> Option<(Micros, String)> {
        let (left, _) = course.ended.filter(|_| course.outcome == Outcome::Left)?;
        let by = left + micros(self.experiment.rules.left_ms / 1e3);
        let shot = course.shots.iter().find(|shot| shot.begun > by)?;
        Some((shot.begun, format!("{:.3} s after, to cache {}", seconds(shot.begun - left), shot.cache)))
    }

    fn was_stopped(&self, proxy: Index, from: Micros, to: Micros) -> bool {
        self.verdict.stopped.iter().any(|(p, begun, end)| *p == proxy && *begun < to && *end > from)
    }

    fn outcome(&self, course: &Course) -> Outcome {
        if let Some((_, status, ..)) = course.answers.first() {
            return match status {
                200 => Outcome::Resolved,
                429 | 503 => Outcome::Deferred,
                400..=499 => Outcome::TurnedDown,
                _ => Outcome::Abandoned,
            };
        }
        let Some(asked) = course.asked else { return Outcome::NotTaken };
        match course.ended {
            Some((_, Outcome::Left)) => {
                // A client that stays to the end of its time has not left: it was not answered.
                let stayed = course.ended.is_some_and(|(at, _)| at >= asked + course.ask.limit);
                let stopped = course.ended.is_some_and(|(at, _)| self.was_stopped(course.proxy, asked, at));
                if stayed && !stopped { Outcome::Unanswered } else { Outcome::Left }
            }
            Some((at, _)) => {
                let slack = 100 * MILLI;
                let killed = |(proxy, when): &(Index, Micros)| {
                    *proxy == course.proxy && asked <= when + slack && *when <= at + slack
                };
                if self.killed.iter().any(killed) { Outcome::Killed } else { Outcome::Unanswered }
            }
            None => Outcome::Unanswered,
        }
    }

    /// Whether a refusal came long after the last thing that it could have waited for.
    fn held_back(&self, course: &Course, asked: Micros, at: Micros, open: &KeysOut) -> Option<String> {
        let held = micros(self.experiment.rules.held_ms / 1e3);
        let ends = course.shots.iter().map(|s| s.end().unwrap_or(Micros::MAX));
        let last = ends.max().unwrap_or(asked).max(asked);
        // A shot that waits for a silent peer's connection is seen nowhere.
        let waited = self.silent_to(usize::from(course.proxy), last, at);
        if last >= at || waited || self.was_stopped(course.proxy, asked, at) {
            return None;
        }
        let without = open.longest_without(course.proxy, course.ask.key, last, at);
        let what = if course.shots.is_empty() { "it was asked" } else { "the end of its last shot" };
        (without > held).then(|| format!("{:.3} s after {what}", seconds(at - last)))
    }

    /// Whether some cache, or the origin, was silent to a proxy within a span.
    fn silent_to(&self, proxy: usize, from: Micros, to: Micros) -> bool {
        let zones = self.experiment.world.zones.len();
        let of_cache = |cache: usize, at| self.courses.reach(cache, (cache % zones, proxy % zones), at);
        let mut at = from;
        while at < to {
            let mut next = Micros::MAX;
            for peer in 0..=self.experiment.world.caches {
                let first = peer == self.experiment.world.caches;
                let (reach, until) =
                    if first { self.courses.reach_first(proxy % zones, at) } else { of_cache(peer, at) };
                if reach == Reach::Silent {
                    return true;
                }
                next = next.min(until);
            }
            at = next;
        }
        false
    }

    fn of_shots(&self, course: &Course, ns: &Namespace) -> Vec<(&'static str, Micros, String)> {
        let (fleet, rules) = (&self.experiment.fleet, &self.experiment.rules);
        let mut found = Vec::new();
        if course.shots.len() > fleet.most_shots {
            let at = course.shots[fleet.most_shots].begun;
            found.push((TOO_MANY, at, format!("{} shots, {} allowed", course.shots.len(), fleet.most_shots)));
        }
        let overlap = micros(rules.overlap_ms / 1e3);
        for (i, next) in course.shots.iter().enumerate() {
            let before = &course.shots[..i];
            if !fleet.second_copies
                && let Some(other) =
                    before.iter().find(|s| s.end().is_none_or(|end| end > next.begun + overlap))
            {
                let seen = format!("cache {} while one was out at cache {}", next.cache, other.cache);
                found.push((TWO_AT_ONCE, next.begun, seen));
            }
            for first in before.iter().filter(|s| s.may_have_run(next.begun)) {
                if let Some(why) = self.repeat(ns, first, next) {
                    let seen = format!("cache {} after cache {}: {why}", next.cache, first.cache);
                    found.push((RAN_TWICE, next.begun, seen));
                    break;
                }
            }
        }
        if let [_, (at, cache), ..] = course.ran[..] {
            found.push((RAN_TWICE, at, format!("its effect came about again at cache {cache}")));
        }
        found
    }

    /// What is wrong with a further shot after one that may have run.
    fn repeat(&self, ns: &Namespace, first: &Shot, next: &Shot) -> Option<String> {
        let experiment = self.experiment;
        match ns.repeats.get_ref().as_str() {
            REPLAYABLE => return None,
            SINGLE_USE => return Some("single-use, and the first may have run".into()),
            _ => {}
        }
        let origin = experiment.world.caches;
        let zone = |c: Index| {
            if usize::from(c) == origin { 0 } else { usize::from(c) % experiment.world.zones.len() }
        };
        let cell = |c: Index| if usize::from(c) == origin { 0 } else { experiment.cell_of(usize::from(c)) };
        let same = match ns.group.get_ref().as_str() {
            "all" => true,
            "zone" => zone(first.cache) == zone(next.cache),
            _ => zone(first.cache) == zone(next.cache) && cell(first.cache) == cell(next.cache),
        };
        if !same {
            return Some("tagged, and of another group".into());
        }
        let window = micros(ns.window_ms / 1e3) + 10 * MILLI;
        let (sent, again) = (first.whole.unwrap_or(first.begun), next.whole.unwrap_or(next.begun));
        (again > sent + window).then(|| format!("tagged, {:.3} s after the first", seconds(again - sent)))
    }
}

/// What is wrong with a deferral, which tells the client that a further try does no harm.
fn deferral(ns: &Namespace, shots: &[Shot], at: Micros, back_in: Micros) -> Option<String> {
    let window = micros(ns.window_ms / 1e3) + 10 * MILLI;
    let ran = shots.iter().find(|s| s.may_have_run(at))?;
    let sent = ran.whole.unwrap_or(ran.begun);
    match ns.repeats.get_ref().as_str() {
        REPLAYABLE => None,
        SINGLE_USE => Some(format!("single-use, and cache {} may have run it", ran.cache)),
        _ if ns.group.get_ref() != "all" => Some(format!("tagged, and cache {} may have run it", ran.cache)),
        _ if at + back_in > sent + window => Some(format!(
            "tagged, and told to return {:.3} s after the first shot",
            seconds(at + back_in - sent)
        )),
        _ => None,
    }
}
