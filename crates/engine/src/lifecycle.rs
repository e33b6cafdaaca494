//! The phases of the process from start to exit, and the other conditions for the proxy's
//! readiness: whether operators have taken it out of service, and whether another process of the
//! same proxy has taken over.

use chalkwalk_time::Timestamp;
use event_listener::Event;
use std::cell::Cell;

/// A phase of the process. Variants are in order: a process only moves on to a later phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process is being set up and is not ready yet.
    Starting,
    /// The process serves clients.
    Serving,
    /// The process has been asked to shut down. It still accepts new connections, because the load
    /// balancer in front notices with a delay.
    Draining,
    /// The process accepts no more connections, and answers the requests that it has.
    Finishing,
    /// The process is about to exit.
    Ended,
}

/// The lifecycle state of a process, which tasks can query and wait on.
pub struct Lifecycle {
    phase: Cell<Phase>,
    /// When operators took the proxy out of service, if they have.
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
    /// Moves on to a phase. Has no effect if the phase is not later than the present one.
    pub fn enter(&self, phase: Phase) {
        if phase > self.phase.get() {
            self.phase.set(phase);
            self.notify_change();
        }
    }

    /// Waits until the given phase or a later one is reached.
    pub async fn wait_for_phase(&self, phase: Phase) {
        loop {
            // Subscribes before the check, so that no change in between is missed.
            let change = self.changed();
            if self.phase.get() >= phase {
                return;
            }
            change.await;
        }
    }

    /// The readiness that `/up` reports. If another process has taken over, the proxy is ready
    /// although this process is ending.
    pub fn is_ready(&self) -> bool {
        let serving = self.is_serving() || self.superseded.get();
        serving && self.out_of_service_since.get().is_none()
    }

    /// Whether this process is serving: it has started and has not been asked to shut down.
    pub fn is_serving(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Takes the proxy out of service as of the given time, or puts it back (`None`).
    pub fn set_out_of_service(&self, since: Option<Timestamp>) {
        if self.out_of_service_since.get().is_some() != since.is_some() {
            self.out_of_service_since.set(since);
            self.notify_change();
        }
    }

    /// When operators took the proxy out of service, if they have.
    pub fn out_of_service_since(&self) -> Option<Timestamp> {
        self.out_of_service_since.get()
    }

    /// Records whether another process of this proxy has taken over; false once that process is
    /// gone.
    pub fn set_superseded(&self, superseded: bool) {
        if self.superseded.replace(superseded) != superseded {
            self.notify_change();
        }
    }

    /// Whether another process of this proxy has taken over.
    pub fn is_superseded(&self) -> bool {
        self.superseded.get()
    }

    /// Completes when any part of the state changes after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + use<> {
        self.change.listen()
    }

    fn notify_change(&self) {
        self.change.notify(usize::MAX);
    }
}
