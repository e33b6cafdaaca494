//! What all connections of this frontend share.

use chalkwalk_engine::engine::Engine;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The name by which an operator's routes know this frontend.
pub const FRONTEND_NAME: &str = "http";

/// The HTTP frontend of one proxy.
pub struct Frontend {
    pub(crate) engine: Rc<Engine>,
    /// The namespaces by number, under the names that clients send.
    namespaces: RefCell<Vec<String>>,
    pub(crate) open_ids: OpenIds,
}

impl Frontend {
    /// A frontend of this engine, for requests of these namespaces.
    pub fn new(engine: Rc<Engine>, namespaces: Vec<String>) -> Rc<Frontend> {
        Rc::new(Frontend { engine, namespaces: RefCell::new(namespaces), open_ids: OpenIds::default() })
    }

    /// Requests are of these namespaces from now on.
    pub fn set_namespaces(&self, namespaces: Vec<String>) {
        *self.namespaces.borrow_mut() = namespaces;
    }

    /// The number of a namespace.
    pub(crate) fn namespace(&self, name: &str) -> Option<usize> {
        self.namespaces.borrow().iter().position(|known| known == name)
    }
}

/// The ids of the requests that are open here. An id that comes again meanwhile is not its owner's.
#[derive(Clone, Default)]
pub(crate) struct OpenIds(Rc<RefCell<HashSet<Vec<u8>>>>);

/// The id of an open request, which is free again on drop.
pub(crate) struct OpenId {
    ids: OpenIds,
    id: Vec<u8>,
}

impl OpenIds {
    /// Claims an id, unless it is in use.
    pub fn open(&self, id: Vec<u8>) -> Option<OpenId> {
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| OpenId { ids: self.clone(), id })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
