//! What all connections of this door share.

use crate::settings::Settings;
use chalkwalk_engine::engine::Engine;
use chalkwalk_slot_map::{RefreshSchedule, SlotMap};
use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

pub struct Frontend {
    pub(crate) engine: Rc<Engine>,
    pub(crate) settings: Settings,
    pub(crate) map: RefCell<SlotMap>,
    pub(crate) refresh: RefCell<RefreshSchedule>,
    pub(crate) wanted: (Sender<()>, Receiver<()>), // the map is likely wrong
    pub(crate) clients: Cell<u64>,                 // numbers of connections so far
    /// Whether the servers' own list is the one that is followed.
    pub(crate) lists: bool,
}

impl Frontend {
    /// `lists`: no other source has the list, so the servers' own word is it.
    pub fn new(engine: &Rc<Engine>, settings: Settings, lists: bool) -> Rc<Frontend> {
        Rc::new(Frontend {
            engine: engine.clone(),
            settings,
            map: RefCell::default(),
            refresh: RefCell::default(),
            wanted: bounded(1),
            clients: Cell::new(0),
            lists,
        })
    }

    /// Something says that the map is wrong.
    pub(crate) fn want_map(&self) {
        self.refresh.borrow_mut().request();
        _ = self.wanted.0.try_send(());
    }
}
