//! The phases of the process from start to exit, and what else decides whether the proxy is ready
//! for clients: whether operators took it out of service, and whether another process of the same
//! proxy has taken over.

use chalkwalk_time::Timestamp;
use event_listener::Event;
use std::cell::Cell;

/// A phase of the process. The order counts: a process only moves on to later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Being set up, and not ready yet.
    Starting,
    /// Serving clients.
    Serving,
    /// Asked to shut down: new connections are still accepted, as the load balancer in front learns
    /// of it late.
    Draining,
    /// Accepts no more connections and answers the requests that it has.
    Finishing,
    /// About to exit.
    Ended,
}

/// Where a process is between start and exit, for tasks to query and wait for.
pub struct Lifecycle {
    phase: Cell<Phase>,
    /// Since when operators have taken the proxy out of service.
    out_of_service_since: Cell<Option<Timestamp>>,
    /// Whether another process of this proxy has taken over.
    superseded: Cell<bool>,
    change: Event,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            phase: Cell::new(Phase::Starting),
            out_of_service_since: Cell::new(None),
            superseded: Cell::new(false),
            change: Event::new(),
        }
    }
}

impl Lifecycle {
    /// Moves on to a phase; an earlier one than the present changes nothing.
    pub fn enter(&self, phase: Phase) {
        if phase > self.phase.get() {
            self.phase.set(phase);
            self.notify_change();
        }
    }

    /// Returns once the phase, or a later one, is reached.
    pub async fn reached(&self, phase: Phase) {
        loop {
            // Listens before it looks, so that no change between the two is missed.
            let change = self.changed();
            if self.phase.get() >= phase {
                return;
            }
            change.await;
        }
    }

    /// What `/up` reports. Where another process has taken over, the proxy is ready though this
    /// process ends.
    pub fn is_ready(&self) -> bool {
        let serving = self.is_serving() || self.superseded.get();
        serving && self.out_of_service_since.get().is_none()
    }

    /// Whether this process serves: it has started, and was not asked to shut down.
    pub fn is_serving(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Operators take the proxy out of service from that moment on, or put it back (`None`).
    pub fn set_out_of_service(&self, since: Option<Timestamp>) {
        if self.out_of_service_since.get().is_some() != since.is_some() {
            self.out_of_service_since.set(since);
            self.notify_change();
        }
    }

    /// Since when operators have taken the proxy out of service, if they have.
    pub fn out_of_service_since(&self) -> Option<Timestamp> {
        self.out_of_service_since.get()
    }

    /// Another process of this proxy has taken over, or is gone again.
    pub fn set_superseded(&self, superseded: bool) {
        if self.superseded.replace(superseded) != superseded {
            self.notify_change();
        }
    }

    /// Whether another process of this proxy has taken over.
    pub fn is_superseded(&self) -> bool {
        self.superseded.get()
    }

    /// Completes when any of this changes after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + use<> {
        self.change.listen()
    }

    fn notify_change(&self) {
        self.change.notify(usize::MAX);
    }
}
