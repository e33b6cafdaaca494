//! Checks that a proxy starts no new attempt at a draining or removed server once the grace period
//! after its notification has passed. A proxy is notified when the list's server has written the
//! change to it. It also counts as notified at the times that `notified` computes, regardless of
//! what was written.

use super::{Judge, Rule};
use crate::clock::{Micros, micros_from_seconds, seconds_from_micros};
use crate::evidence::{Event, EventKind, NodeIndex};
use crate::notified::{self, Notification};
use std::collections::HashMap;

/// A notification of a proxy that a server is off, and the proxy's last attempt there.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// When the proxy was notified.
    pub notified_at: Micros,
    /// When its last attempt after that started; equal to `notified_at` if there was none.
    pub last_attempt_at: Micros,
}

/// A proxy and a server, by their indexes.
type ProxyServer = (NodeIndex, NodeIndex);

/// The servers that each proxy knows to be off, at the current event.
#[derive(Default)]
struct OffServers {
    drains: Vec<Drain>,
    /// Index into `drains` of the current drain that the list's server has written to the proxy.
    written: HashMap<ProxyServer, usize>,
    /// Since when the proxy counts as notified that the server is off.
    presumed_off_since: HashMap<ProxyServer, Micros>,
}

impl OffServers {
    fn apply_presumed(&mut self, notification: &Notification) {
        let pair = (notification.proxy, notification.server);
        if notification.is_off {
            self.presumed_off_since.entry(pair).or_insert(notification.at);
        } else {
            self.presumed_off_since.remove(&pair);
        }
    }

    fn add_written(&mut self, pair: ProxyServer, at: Micros) {
        let drains = &mut self.drains;
        self.written.entry(pair).or_insert_with(|| {
            drains.push(Drain { notified_at: at, last_attempt_at: at });
            drains.len() - 1
        });
    }

    /// Drops what a proxy's ended process knew: the next process knows only its own notifications.
    fn forget_proxy(&mut self, proxy: NodeIndex) {
        self.written.retain(|(notified_proxy, _), _| *notified_proxy != proxy);
        self.presumed_off_since.retain(|(notified_proxy, _), _| *notified_proxy != proxy);
    }

    /// Says what is wrong with an attempt that starts at `at`, more than `grace` after the
    /// notification; `None` if the attempt is allowed.
    fn check_attempt(&mut self, pair: ProxyServer, at: Micros, grace: Micros) -> Option<String> {
        let server = pair.1;
        if let Some(since) = self.presumed_off_since.get(&pair).filter(|since| at > **since + grace) {
            let delay_s = seconds_from_micros(at - since);
            return Some(format!(
                "server {server} was sent an attempt {delay_s:.3} s after its proxy is presumed to \
                 be notified that the server is off"
            ));
        }
        let drain = &mut self.drains[*self.written.get(&pair)?];
        drain.last_attempt_at = at;
        let delay_s = seconds_from_micros(at - drain.notified_at);
        (at > drain.notified_at + grace).then(|| {
            format!(
                "server {server} was sent an attempt {delay_s:.3} s after its proxy was notified \
                 that the server is off"
            )
        })
    }
}

impl Judge<'_> {
    pub(super) fn check_drains(&mut self, events: &[Event]) {
        let rules = &self.experiment.rules;
        let grace = micros_from_seconds(self.experiment.fleet.drain_grace_s)
            + micros_from_seconds(rules.drain_tolerance_ms / 1e3);
        let mut off_servers = OffServers::default();
        let presumed = notified::presumed_notifications(self.experiment, &self.timelines, events);
        let mut presumed = presumed.iter().peekable();
        for event in events {
            while let Some(notification) = presumed.next_if(|notification| notification.at <= event.at) {
                off_servers.apply_presumed(notification);
            }
            match event.kind {
                EventKind::Notified { server, is_off: true } => {
                    off_servers.add_written((event.proxy, server), event.at);
                }
                EventKind::Notified { server, is_off: false } => {
                    off_servers.written.remove(&(event.proxy, server));
                }
                EventKind::ProcessEnded { .. } => off_servers.forget_proxy(event.proxy),
                EventKind::AttemptStarted { server } => {
                    if let Some(details) = off_servers.check_attempt((event.proxy, server), event.at, grace) {
                        self.add_for_event(Rule::NothingToDrained, event, details);
                    }
                }
                _ => {}
            }
        }
        self.verdict.drains = off_servers.drains;
    }
}
