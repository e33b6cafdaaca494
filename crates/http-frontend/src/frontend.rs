//! What all connections of this door share.

use chalkwalk_engine::engine::Engine;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

pub struct Frontend {
    pub(crate) engine: Rc<Engine>,
    /// The names of the namespaces, by which clients name them.
    pub(crate) namespaces: RefCell<Vec<String>>,
    pub(crate) open_ids: OpenIds,
}

impl Frontend {
    pub fn new(engine: Rc<Engine>, namespaces: Vec<String>) -> Rc<Frontend> {
        Rc::new(Frontend { engine, namespaces: RefCell::new(namespaces), open_ids: OpenIds::default() })
    }

    /// Requests are of these namespaces from now on.
    pub fn set_namespaces(&self, namespaces: Vec<String>) {
        *self.namespaces.borrow_mut() = namespaces;
    }
}

/// The ids of the requests that are open here. One that comes again meanwhile is not its owner's.
#[derive(Clone, Default)]
pub(crate) struct OpenIds(Rc<RefCell<HashSet<Vec<u8>>>>);

pub(crate) struct OpenId(OpenIds, Vec<u8>);

impl OpenIds {
    pub fn open(&self, id: Vec<u8>) -> Option<OpenId> {
        self.0.borrow_mut().insert(id.clone()).then(|| OpenId(self.clone(), id))
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.0.0.borrow_mut().remove(&self.1);
    }
}
