//! Nothing new goes to a server after the grace from when its proxy was notified that it is draining or gone: by what the list
//! has written, and by when the proxy counts as notified without that (`notified`).

use super::{Judge, Rule};
use crate::clock::{Micros, micros, seconds};
use crate::evidence::{Event, EventKind, Index};
use crate::notified::{self, Notified};
use std::collections::HashMap;

/// A proxy was notified that a server is off, and began its last attempt there so long after.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// When it was notified.
    pub notified: Micros,
    /// When its last attempt began; when it was notified, where there was none.
    pub last: Micros,
}

/// A server as seen by a proxy.
type View = (Index, Index);

/// What each proxy knows to be off, as the events are gone through.
#[derive(Default)]
struct OffServers {
    drains: Vec<Drain>,
    /// The drain that is on, by its index, as the list has written it.
    written: HashMap<View, usize>,
    /// Since when a server counts as notified to be off.
    presumed: HashMap<View, Micros>,
}

impl OffServers {
    fn presume(&mut self, notified: &Notified) {
        let view = (notified.proxy, notified.server);
        if notified.off {
            self.presumed.entry(view).or_insert(notified.at);
        } else {
            self.presumed.remove(&view);
        }
    }

    fn written_off(&mut self, view: View, at: Micros) {
        let drains = &mut self.drains;
        self.written.entry(view).or_insert_with(|| {
            drains.push(Drain { notified: at, last: at });
            drains.len() - 1
        });
    }

    /// What the next process of a proxy knows is what it is notified of itself.
    fn forget(&mut self, proxy: Index) {
        self.written.retain(|(of, _), _| *of != proxy);
        self.presumed.retain(|(of, _), _| *of != proxy);
    }

    /// What is wrong with an attempt that starts now, with that grace.
    fn attempt(&mut self, view: View, at: Micros, grace: Micros) -> Option<String> {
        let server = view.1;
        if let Some(since) = self.presumed.get(&view).filter(|since| at > **since + grace) {
            let after = seconds(at - since);
            return Some(format!(
                "server {server} was sent an attempt {after:.3} s after its proxy counts as notified that it is off, whatever was written"
            ));
        }
        let drain = &mut self.drains[*self.written.get(&view)?];
        drain.last = at;
        let after = seconds(at - drain.notified);
        (at > drain.notified + grace).then(|| {
            format!(
                "server {server} was sent an attempt {after:.3} s after its proxy was notified that it is off"
            )
        })
    }
}

impl Judge<'_> {
    pub(super) fn check_drains(&mut self, events: &[Event]) {
        let rules = &self.experiment.rules;
        let grace = micros(self.experiment.fleet.drain_grace_s) + micros(rules.drain_ms / 1e3);
        let mut off = OffServers::default();
        let presumed = notified::presumed(self.experiment, &self.timelines, events);
        let mut presumed = presumed.iter().peekable();
        for event in events {
            while let Some(notified) = presumed.next_if(|notified| notified.at <= event.at) {
                off.presume(notified);
            }
            match event.kind {
                EventKind::Notified { server, off: true } => {
                    off.written_off((event.proxy, server), event.at);
                }
                EventKind::Notified { server, off: false } => {
                    off.written.remove(&(event.proxy, server));
                }
                EventKind::ProcessEnded { .. } => off.forget(event.proxy),
                EventKind::AttemptStarted { server } => {
                    if let Some(seen) = off.attempt((event.proxy, server), event.at, grace) {
                        self.report(Rule::NothingToDrained, event, seen);
                    }
                }
                _ => {}
            }
        }
        self.verdict.drains = off.drains;
    }
}
