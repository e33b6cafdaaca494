//! Computes when each proxy is presumed to be notified that a server is off, regardless of what the
//! list has sent to it: 6 s after the list published the change, if the list could be reached and
//! the proxy was running throughout these 6 s. The oracle holds proxies to these notifications as
//! well as to those that the list has sent.

use crate::clock::{Micros, SECOND};
use crate::evidence::{Event, EventKind, NodeIndex};
use crate::experiment::{Experiment, ListSource};
use crate::model::timeline::{EndpointStatus, ListUpdate, Reachability, Timelines};
use std::ops::Range;

/// Uninterrupted time for which the list has to be reachable by a running proxy.
pub const NOTIFIED_WITHIN: Micros = 6 * SECOND;

/// The time from which a proxy is presumed to be notified that a server is off or back in service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notification {
    /// The time of the notification.
    pub at: Micros,
    /// The proxy that is notified.
    pub proxy: NodeIndex,
    /// The server that is off or back in service.
    pub server: NodeIndex,
    /// Whether the server is off; otherwise it is back in service.
    pub is_off: bool,
}

/// The presumed notifications of all proxies about all changes, in order of time. Empty for etcd as
/// the list source, which has other kinds of outages: there, proxies are held only to the
/// notifications that were sent.
pub fn presumed_notifications(
    experiment: &Experiment,
    timelines: &Timelines,
    events: &[Event],
) -> Vec<Notification> {
    if experiment.fleet.list_source() == ListSource::Etcd {
        return Vec::new();
    }
    let mut notifications = Vec::new();
    for proxy in 0..experiment.fleet.proxies {
        let unreachable_spans = unreachable_spans(experiment, timelines, events, proxy);
        for (i, update) in timelines.list_updates.iter().enumerate() {
            let later_updates = &timelines.list_updates[i + 1..];
            notifications.extend(notifications_of(
                update,
                later_updates,
                proxy as NodeIndex,
                &unreachable_spans,
            ));
        }
    }
    notifications.sort_by_key(|notification| notification.at);
    notifications
}

/// The notifications of one proxy about one change; `later_updates` are the changes after it.
fn notifications_of(
    update: &ListUpdate,
    later_updates: &[ListUpdate],
    proxy: NodeIndex,
    unreachable_spans: &[Range<Micros>],
) -> Vec<Notification> {
    let server = update.server as NodeIndex;
    if update.status == EndpointStatus::Ready {
        return vec![Notification { at: update.published_at, proxy, server, is_off: false }];
    }
    let is_back = |next: &&ListUpdate| next.server == update.server && next.status == EndpointStatus::Ready;
    let back_at = later_updates.iter().find(is_back).map_or(Micros::MAX, |next| next.published_at);
    // A proxy process that is restarted while the server is off is given the full time again.
    reachable_for_long_enough(unreachable_spans, update.published_at)
        .into_iter()
        .filter(|at| *at < back_at)
        .map(|at| Notification { at, proxy, server, is_off: true })
        .collect()
}

/// Spans in which discovery cannot notify a proxy: the list is down, stale or cut off, or the proxy
/// is not running.
fn unreachable_spans(
    experiment: &Experiment,
    timelines: &Timelines,
    events: &[Event],
    proxy: usize,
) -> Vec<Range<Micros>> {
    let mut spans: Vec<Range<Micros>> = timelines.stale_list_spans.clone();
    spans.extend(timelines.list_outages.iter().map(|list_outage| list_outage.span.clone()));
    spans.extend(cut_off_spans(timelines, proxy % experiment.world.zones.len()));
    spans.extend(down_spans(events, proxy));
    spans.sort_by_key(|span| span.start);
    spans
}

/// Spans in which a zone is cut off from the list.
fn cut_off_spans(timelines: &Timelines, zone: usize) -> Vec<Range<Micros>> {
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

/// Spans in which a proxy is killed, terminated or stopped, until it is ready or continues.
fn down_spans(events: &[Event], proxy: usize) -> Vec<Range<Micros>> {
    let mut spans = Vec::new();
    let mut down_at = None;
    for event in events.iter().filter(|event| usize::from(event.proxy) == proxy) {
        match event.kind {
            EventKind::Signalled { signal: "KILL" | "TERM" | "STOP" } => down_at = down_at.or(Some(event.at)),
            EventKind::Signalled { signal: "CONT" } | EventKind::ProcessReady => {
                spans.extend(down_at.take().map(|down_at| down_at..event.at));
            }
            _ => {}
        }
    }
    spans.extend(down_at.map(|down_at| down_at..Micros::MAX));
    spans
}

/// The ends of all spans of length [`NOTIFIED_WITHIN`], from a point in time on, in which the list
/// was reachable throughout. There is one span from the start, and one each time that the proxy or
/// the list comes back.
fn reachable_for_long_enough(unreachable_spans: &[Range<Micros>], from: Micros) -> Vec<Micros> {
    let reachable_again = unreachable_spans.iter().map(|span| span.end).filter(|end| *end > from);
    let starts = std::iter::once(from).chain(reachable_again);
    let is_undisturbed = |start: &Micros| {
        let end = start.saturating_add(NOTIFIED_WITHIN);
        !unreachable_spans.iter().any(|span| span.start < end && span.end > *start)
    };
    starts
        .filter(|start| *start < Micros::MAX && is_undisturbed(start))
        .map(|start| start + NOTIFIED_WITHIN)
        .collect()
}
