//! When each proxy counts as notified that a cache is off, whatever was written to it: 6 s after the list had the change and
//! could be reached, the proxy running meanwhile. The judge holds proxies to this beside what the list has written.

use crate::clock::{Micros, SECOND};
use crate::evidence::{Event, Index, What};
use crate::experiment::{Experiment, FILE, PLATFORM};
use crate::model::course::{Courses, Notice, Reach, SERVING};
use std::ops::Range;

/// For so long in a row the list has to be in reach of a running proxy.
pub const NOTIFIED_WITHIN: Micros = 6 * SECOND;

/// A proxy counts as notified, from a moment on, that a cache is off, or that it is back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notified {
    pub at: Micros,
    pub proxy: Index,
    pub cache: Index,
    pub off: bool,
}

/// Of all proxies and changes, in order of time. Sources other than the platform's list and files have outages of other kinds,
/// and are held to what they have written.
pub fn of(experiment: &Experiment, courses: &Courses, events: &[Event]) -> Vec<Notified> {
    if ![PLATFORM, FILE].contains(&experiment.fleet.source.as_str()) {
        return Vec::new();
    }
    let mut all = Vec::new();
    for proxy in 0..experiment.fleet.proxies {
        let away = away(experiment, courses, events, proxy);
        for (i, notice) in courses.notices.iter().enumerate() {
            let back = |n: &&Notice| n.cache == notice.cache && n.state == SERVING;
            let back = courses.notices[i + 1..].iter().find(back).map_or(Micros::MAX, |n| n.told);
            let (proxy, cache) = (proxy as Index, notice.cache as Index);
            if notice.state == SERVING {
                all.push(Notified { at: notice.told, proxy, cache, off: false });
                continue;
            }
            // A process that starts anew while it is off is given the same time.
            let in_reach = in_reach(&away, notice.told);
            all.extend(in_reach.into_iter().filter(|at| *at < back).map(|at| Notified {
                at,
                proxy,
                cache,
                off: true,
            }));
        }
    }
    all.sort_by_key(|n| n.at);
    all
}

/// When discovery can't tell a proxy anything: it is down, old or cut off, or the proxy does not run.
fn away(experiment: &Experiment, courses: &Courses, events: &[Event], proxy: usize) -> Vec<Range<Micros>> {
    let mut away: Vec<Range<Micros>> = courses.list_old.clone();
    away.extend(courses.list_down.iter().map(|(span, _)| span.clone()));
    let zone = proxy % experiment.world.zones.len();
    let mut at = 0;
    while at < Micros::MAX {
        let (reach, until) = courses.reach_first(zone, at);
        if reach != Reach::Up {
            away.push(at..until);
        }
        at = until;
    }
    let mut since = None;
    for e in events.iter().filter(|e| usize::from(e.proxy) == proxy) {
        match e.what {
            What::Signalled { signal: "KILL" | "TERM" | "STOP" } => since = since.or(Some(e.at)),
            What::Signalled { signal: "CONT" } | What::Ready => {
                away.extend(since.take().map(|since| since..e.at));
            }
            _ => {}
        }
    }
    away.extend(since.map(|since| since..Micros::MAX));
    away.sort_by_key(|span| span.start);
    away
}

/// The ends of all stretches of that length, from a moment on, in which nothing was away; one for each time that the proxy or
/// the list came back.
fn in_reach(away: &[Range<Micros>], from: Micros) -> Vec<Micros> {
    let starts = std::iter::once(from).chain(away.iter().map(|span| span.end).filter(|end| *end > from));
    let whole = |start: &Micros| {
        let end = start.saturating_add(NOTIFIED_WITHIN);
        !away.iter().any(|span| span.start < end && span.end > *start)
    };
    starts.filter(|start| *start < Micros::MAX && whole(start)).map(|start| start + NOTIFIED_WITHIN).collect()
}
