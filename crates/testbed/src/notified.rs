//! When each proxy counts as notified that a server is off, whatever was written to it: 6 s after the list had the change and
//! could be reached, the proxy running meanwhile. The judge holds proxies to this beside what the list has written.

use crate::clock::{Micros, SECOND};
use crate::evidence::{Event, EventKind, Index};
use crate::experiment::{Experiment, SOURCE_FILE, SOURCE_PLATFORM};
use crate::model::timeline::{ListUpdate, Reachability, SERVING, Timelines};
use std::ops::Range;

/// For so long in a row the list has to be in reach of a running proxy.
pub const NOTIFIED_WITHIN: Micros = 6 * SECOND;

/// A proxy counts as notified, from a moment on, that a server is off, or that it is back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notified {
    pub at: Micros,
    pub proxy: Index,
    pub server: Index,
    pub off: bool,
}

/// Of all proxies and changes, in order of time. Sources other than the platform's list and files have outages of other kinds,
/// and are held to what they have written.
pub fn of(experiment: &Experiment, timelines: &Timelines, events: &[Event]) -> Vec<Notified> {
    if ![SOURCE_PLATFORM, SOURCE_FILE].contains(&experiment.fleet.source.as_str()) {
        return Vec::new();
    }
    let mut all = Vec::new();
    for proxy in 0..experiment.fleet.proxies {
        let unreachable = unreachable(experiment, timelines, events, proxy);
        for (i, update) in timelines.updates.iter().enumerate() {
            let returns = |n: &&ListUpdate| n.server == update.server && n.state == SERVING;
            let returns =
                timelines.updates[i + 1..].iter().find(returns).map_or(Micros::MAX, |n| n.published);
            let (proxy, server) = (proxy as Index, update.server as Index);
            if update.state == SERVING {
                all.push(Notified { at: update.published, proxy, server, off: false });
                continue;
            }
            // A process that starts anew while it is off is given the same time.
            let reachable_for_long_enough = reachable_for_long_enough(&unreachable, update.published);
            all.extend(reachable_for_long_enough.into_iter().filter(|at| *at < returns).map(|at| Notified {
                at,
                proxy,
                server,
                off: true,
            }));
        }
    }
    all.sort_by_key(|n| n.at);
    all
}

/// When discovery can't tell a proxy anything: it is down, old or cut off, or the proxy does not run.
fn unreachable(
    experiment: &Experiment,
    timelines: &Timelines,
    events: &[Event],
    proxy: usize,
) -> Vec<Range<Micros>> {
    let mut unreachable: Vec<Range<Micros>> = timelines.list_old.clone();
    unreachable.extend(timelines.list_down.iter().map(|(span, _)| span.clone()));
    let zone = proxy % experiment.world.zones.len();
    let mut at = 0;
    while at < Micros::MAX {
        let (reachability, until) = timelines.origin_reachability(zone, at);
        if reachability != Reachability::Up {
            unreachable.push(at..until);
        }
        at = until;
    }
    let mut since = None;
    for e in events.iter().filter(|e| usize::from(e.proxy) == proxy) {
        match e.kind {
            EventKind::Signalled { signal: "KILL" | "TERM" | "STOP" } => since = since.or(Some(e.at)),
            EventKind::Signalled { signal: "CONT" } | EventKind::ProcessReady => {
                unreachable.extend(since.take().map(|since| since..e.at));
            }
            _ => {}
        }
    }
    unreachable.extend(since.map(|since| since..Micros::MAX));
    unreachable.sort_by_key(|span| span.start);
    unreachable
}

/// The ends of all stretches of that length, from a moment on, in which nothing was away; one for each time that the proxy or
/// the list came back.
fn reachable_for_long_enough(unreachable: &[Range<Micros>], from: Micros) -> Vec<Micros> {
    let starts =
        std::iter::once(from).chain(unreachable.iter().map(|span| span.end).filter(|end| *end > from));
    let clear = |start: &Micros| {
        let end = start.saturating_add(NOTIFIED_WITHIN);
        !unreachable.iter().any(|span| span.start < end && span.end > *start)
    };
    starts.filter(|start| *start < Micros::MAX && clear(start)).map(|start| start + NOTIFIED_WITHIN).collect()
}
