//! State shared by all connections of this frontend.

use crate::request_ids::RequestIds;
use crate::shared_ids::SharedIds;
use chalkwalk_engine::engine::Engine;
use std::cell::RefCell;
use std::rc::Rc;

/// The name of this frontend in the routes of the operator's file.
pub const FRONTEND_NAME: &str = "http";

/// The HTTP frontend of one proxy.
pub struct Frontend {
    pub(crate) engine: Rc<Engine>,
    /// The names of the namespaces as clients send them, by namespace index.
    namespaces: RefCell<Vec<String>>,
    pub(crate) request_ids: RequestIds,
}

impl Frontend {
    /// Creates a frontend that passes requests for these namespaces to the engine.
    pub fn new(engine: Rc<Engine>, namespaces: Vec<String>) -> Rc<Frontend> {
        Rc::new(Frontend { engine, namespaces: RefCell::new(namespaces), request_ids: RequestIds::default() })
    }

    /// Shares the ids of requests with the other processes of the proxy.
    pub fn share_ids(&self, shared: Rc<dyn SharedIds>) {
        self.request_ids.share(shared);
    }

    /// Replaces the namespaces that requests may name.
    pub fn set_namespaces(&self, namespaces: Vec<String>) {
        *self.namespaces.borrow_mut() = namespaces;
    }

    /// The index of a namespace, or `None` if the name is unknown.
    pub(crate) fn namespace_index(&self, name: &str) -> Option<usize> {
        self.namespaces.borrow().iter().position(|known| known == name)
    }
}
