//! The state that all connections of this frontend share.

use crate::known_nodes::KnownNodes;
use crate::settings::Settings;
use chalkwalk_engine::engine::Engine;
use chalkwalk_slot_map::{RefreshSchedule, SlotMap};
use smol::channel::{Receiver, Sender, bounded};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The name of this frontend in the routes of the operator's file.
pub const FRONTEND_NAME: &str = "resp";

/// The RESP frontend of one process: its settings, and the slot map by which its requests are
/// routed.
pub struct Frontend {
    /// The engine, which routes the requests.
    pub(crate) engine: Rc<Engine>,
    /// The settings from the operator's file.
    pub(crate) settings: Settings,
    /// The owner and the replicas of each slot, as reported by views and redirections.
    pub(crate) slot_map: RefCell<SlotMap>,
    /// The schedule for polls of the slot map.
    pub(crate) refresh_schedule: RefCell<RefreshSchedule>,
    /// Wakes the task that polls the slot map. The channel holds one message, which is enough for
    /// any number of requests.
    refresh_sender: Sender<()>,
    refresh_receiver: Receiver<()>,
    /// The number of connections so far, from which connection ids are derived.
    connection_count: Cell<u64>,
    /// The nodes by address, with the id that the cluster reports.
    pub(crate) known_nodes: RefCell<KnownNodes>,
    /// Whether the nodes that the cluster reports are the endpoint list.
    pub(crate) discovers_servers: bool,
}

impl Frontend {
    /// Creates the frontend. `discovers_servers` states whether the nodes that the cluster reports
    /// are the endpoint list, because no other source lists the servers.
    pub fn new(engine: &Rc<Engine>, settings: Settings, discovers_servers: bool) -> Rc<Frontend> {
        let (refresh_sender, refresh_receiver) = bounded(1);
        Rc::new(Frontend {
            engine: engine.clone(),
            settings,
            slot_map: RefCell::default(),
            refresh_schedule: RefCell::default(),
            refresh_sender,
            refresh_receiver,
            connection_count: Cell::new(0),
            known_nodes: RefCell::default(),
            discovers_servers,
        })
    }

    /// Requests a poll of the slot map soon, because an error or a redirection indicates that the
    /// map is outdated.
    pub(crate) fn request_refresh(&self) {
        self.refresh_schedule.borrow_mut().request();
        _ = self.refresh_sender.try_send(());
    }

    /// Waits until a poll is requested.
    pub(crate) async fn refresh_requested(&self) {
        _ = self.refresh_receiver.recv().await;
    }

    /// Returns the id of a new connection. Ids start at 1.
    pub(crate) fn next_connection_id(&self) -> u64 {
        let id = self.connection_count.get() + 1;
        self.connection_count.set(id);
        id
    }
}
