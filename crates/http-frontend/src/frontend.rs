//! State shared by all connections of this frontend.

use chalkwalk_engine::engine::Engine;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The name of this frontend in the routes of the operator's file.
pub const FRONTEND_NAME: &str = "http";

/// The HTTP frontend of one proxy.
pub struct Frontend {
    pub(crate) engine: Rc<Engine>,
    /// The names of the namespaces as clients send them, by namespace index.
    namespaces: RefCell<Vec<String>>,
    pub(crate) open_ids: OpenIds,
}

impl Frontend {
    /// Creates a frontend that passes requests for these namespaces to the engine.
    pub fn new(engine: Rc<Engine>, namespaces: Vec<String>) -> Rc<Frontend> {
        Rc::new(Frontend { engine, namespaces: RefCell::new(namespaces), open_ids: OpenIds::default() })
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

/// The correlation ids of the requests that are open on this frontend. A request that arrives with
/// an id in use is rejected, as the id belongs to another request.
#[derive(Clone, Default)]
pub(crate) struct OpenIds(Rc<RefCell<HashSet<Vec<u8>>>>);

/// The claimed id of an open request; it is released on drop.
pub(crate) struct OpenId {
    ids: OpenIds,
    id: Vec<u8>,
}

impl OpenIds {
    /// Claims an id, or returns `None` if it is in use.
    pub fn claim(&self, id: Vec<u8>) -> Option<OpenId> {
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| OpenId { ids: self.clone(), id })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
