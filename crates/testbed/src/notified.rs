//! When each proxy counts as notified that a server is off, whatever was written to it: 6 s after the list had the change and
//! could be reached, the proxy running meanwhile. The judge holds proxies to this beside what the list has written.

use crate::clock::{Micros, SECOND};
use crate::evidence::{Event, EventKind, Index};
use crate::experiment::{Experiment, ListSource};
use crate::model::timeline::{EndpointStatus, ListUpdate, Reachability, Timelines};
use std::ops::Range;

/// For so long in a row the list has to be reachable for a running proxy.
pub const NOTIFIED_WITHIN: Micros = 6 * SECOND;

/// A proxy counts as notified, from a moment on, that a server is off, or that it is back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notified {
    /// From when on.
    pub at: Micros,
    /// Which proxy.
    pub proxy: Index,
    /// Of which server.
    pub server: Index,
    /// Whether the server is off, or back.
    pub off: bool,
}

/// Of all proxies and changes, in order of time. Sources other than the platform's list and files have outages of other kinds,
/// and are held to what they have written.
pub fn presumed(experiment: &Experiment, timelines: &Timelines, events: &[Event]) -> Vec<Notified> {
    if experiment.fleet.list_source() == ListSource::Etcd {
        return Vec::new();
    }
    let mut all = Vec::new();
    for proxy in 0..experiment.fleet.proxies {
        let unreachable = unreachable(experiment, timelines, events, proxy);
        for (i, update) in timelines.updates.iter().enumerate() {
            let later = &timelines.updates[i + 1..];
            all.extend(of_update(update, later, proxy as Index, &unreachable));
        }
    }
    all.sort_by_key(|notified| notified.at);
    all
}

/// When one proxy counts as notified of one change; `later` are the changes after it.
fn of_update(
    update: &ListUpdate,
    later: &[ListUpdate],
    proxy: Index,
    unreachable: &[Range<Micros>],
) -> Vec<Notified> {
    let server = update.server as Index;
    if update.status == EndpointStatus::Ready {
        return vec![Notified { at: update.published, proxy, server, off: false }];
    }
    let is_back = |next: &&ListUpdate| next.server == update.server && next.status == EndpointStatus::Ready;
    let back = later.iter().find(is_back).map_or(Micros::MAX, |next| next.published);
    // A process that starts anew while the server is off is given the same time.
    reachable_for_long_enough(unreachable, update.published)
        .into_iter()
        .filter(|at| *at < back)
        .map(|at| Notified { at, proxy, server, off: true })
        .collect()
}

/// When discovery can't notify a proxy of anything: it is down, stale or cut off, or the proxy does not run.
fn unreachable(
    experiment: &Experiment,
    timelines: &Timelines,
    events: &[Event],
    proxy: usize,
) -> Vec<Range<Micros>> {
    let mut spans: Vec<Range<Micros>> = timelines.list_old.clone();
    spans.extend(timelines.list_down.iter().map(|down| down.span.clone()));
    spans.extend(cut_off(timelines, proxy % experiment.world.zones.len()));
    spans.extend(not_running(events, proxy));
    spans.sort_by_key(|span| span.start);
    spans
}

/// When a zone is cut off from the list.
fn cut_off(timelines: &Timelines, zone: usize) -> Vec<Range<Micros>> {
    let mut spans = Vec::new();
    let mut at = 0;
    while at < Micros::MAX {
        let (reachability, until) = timelines.origin_reachability(zone, at);
        if reachability != Reachability::Up {
            spans.push(at..until);
        }
        at = until;
    }
    spans
}

/// When a proxy was ended or stopped, until it was ready or went on.
fn not_running(events: &[Event], proxy: usize) -> Vec<Range<Micros>> {
    let mut spans = Vec::new();
    let mut since = None;
    for event in events.iter().filter(|event| usize::from(event.proxy) == proxy) {
        match event.kind {
            EventKind::Signalled { signal: "KILL" | "TERM" | "STOP" } => since = since.or(Some(event.at)),
            EventKind::Signalled { signal: "CONT" } | EventKind::ProcessReady => {
                spans.extend(since.take().map(|since| since..event.at));
            }
            _ => {}
        }
    }
    spans.extend(since.map(|since| since..Micros::MAX));
    spans
}

/// The ends of all stretches of that length, from a moment on, in which the list was reachable; one for each time that the
/// proxy or the list came back.
fn reachable_for_long_enough(unreachable: &[Range<Micros>], from: Micros) -> Vec<Micros> {
    let comes_back = unreachable.iter().map(|span| span.end).filter(|end| *end > from);
    let starts = std::iter::once(from).chain(comes_back);
    let undisturbed = |start: &Micros| {
        let end = start.saturating_add(NOTIFIED_WITHIN);
        !unreachable.iter().any(|span| span.start < end && span.end > *start)
    };
    starts
        .filter(|start| *start < Micros::MAX && undisturbed(start))
        .map(|start| start + NOTIFIED_WITHIN)
        .collect()
}
