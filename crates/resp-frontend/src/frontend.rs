//! What all connections of this frontend share.

use crate::settings::Settings;
use chalkwalk_engine::engine::Engine;
use chalkwalk_slot_map::{RefreshSchedule, SlotMap};
use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The name of this frontend in the routes of the operator's file.
pub const FRONTEND_NAME: &str = "resp";

/// The RESP frontend of one process: its settings, and the slot map that its requests are routed
/// by.
pub struct Frontend {
    /// Routes the requests.
    pub(crate) engine: Rc<Engine>,
    /// What the operator has set.
    pub(crate) settings: Settings,
    /// Which server owns each slot, as far as views and redirections have reported it.
    pub(crate) slot_map: RefCell<SlotMap>,
    /// When the slot map is polled next.
    pub(crate) refresh: RefCell<RefreshSchedule>,
    /// Wakes the poll for the slot map. One message is enough, however many request it.
    refresh_sender: Sender<()>,
    refresh_receiver: Receiver<()>,
    /// Connections so far, which number them.
    connections: Cell<u64>,
    /// Whether the cluster's own list of nodes is the endpoint list.
    pub(crate) lists_servers: bool,
}

impl Frontend {
    /// `lists_servers`: no other source lists the servers, so those that the cluster reports are
    /// the endpoint list.
    pub fn new(engine: &Rc<Engine>, settings: Settings, lists_servers: bool) -> Rc<Frontend> {
        let (refresh_sender, refresh_receiver) = bounded(1);
        Rc::new(Frontend {
            engine: engine.clone(),
            settings,
            slot_map: RefCell::default(),
            refresh: RefCell::default(),
            refresh_sender,
            refresh_receiver,
            connections: Cell::new(0),
            lists_servers,
        })
    }

    /// Requests a poll for the slot map soon: something shows that it is outdated.
    pub(crate) fn request_refresh(&self) {
        self.refresh.borrow_mut().request();
        _ = self.refresh_sender.try_send(());
    }

    /// Waits until a poll is requested.
    pub(crate) async fn refresh_requested(&self) {
        _ = self.refresh_receiver.recv().await;
    }

    /// The number of a new connection, from 1.
    pub(crate) fn next_connection_id(&self) -> u64 {
        let id = self.connections.get() + 1;
        self.connections.set(id);
        id
    }
}
