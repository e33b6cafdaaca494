//! The program's phases, from start to exit, as named states of one object.

use chalkwalk_time::Timestamp;
use event_listener::Event;
use std::cell::Cell;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Set up, and not yet to be used.
    Starting,
    Serving,
    /// Told to end: new connections are still taken, as the front learns of it late.
    Draining,
    /// Takes no connection any more and answers what it has.
    Finishing,
    Ended,
}

pub struct Lifecycle {
    phase: Cell<Phase>,
    out_of_service_since: Cell<Option<Timestamp>>, // operators have emptied the proxy
    superseded: Cell<bool>,                        // another process of this proxy has taken over
    turned: Event,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle {
            phase: Cell::new(Phase::Starting),
            out_of_service_since: Cell::new(None),
            superseded: Cell::new(false),
            turned: Event::new(),
        }
    }
}

impl Lifecycle {
    pub fn enter(&self, phase: Phase) {
        if phase > self.phase.get() {
            self.phase.set(phase);
            self.turned.notify(usize::MAX);
        }
    }

    /// Comes to its end when the phase is reached.
    pub async fn reached(&self, phase: Phase) {
        loop {
            let turns = self.changed();
            if self.phase.get() >= phase {
                return;
            }
            turns.await;
        }
    }

    /// What `/up` says. Where another process has taken over, the proxy is up though this process ends.
    pub fn is_ready(&self) -> bool {
        let serving = self.phase.get() == Phase::Serving || self.superseded.get();
        serving && self.out_of_service_since.get().is_none()
    }

    /// Whether this process serves: it was started, and not told to end.
    pub fn is_serving(&self) -> bool {
        self.phase.get() == Phase::Serving
    }

    /// Operators empty the proxy from then on, or no longer.
    pub fn set_out_of_service(&self, since: Option<Timestamp>) {
        if self.out_of_service_since.get().is_some() != since.is_some() {
            self.out_of_service_since.set(since);
            self.turned.notify(usize::MAX);
        }
    }

    pub fn out_of_service_since(&self) -> Option<Timestamp> {
        self.out_of_service_since.get()
    }

    /// Another process of this proxy has taken over, or is gone again.
    pub fn set_superseded(&self, superseded: bool) {
        if self.superseded.replace(superseded) != superseded {
            self.turned.notify(usize::MAX);
        }
    }

    pub fn is_superseded(&self) -> bool {
        self.superseded.get()
    }

    /// Comes to its end when any of this changes after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + use<> {
        self.turned.listen()
    }
}
