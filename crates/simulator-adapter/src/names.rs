//! The wire's names and numbers, and what the balancer calls the same: small indices and ids of its own.

use chalkwalk_balancer::RequestId;
use std::collections::HashMap;

/// Names met so far, in order of appearance, each with an index.
#[derive(Default)]
pub struct NameIndex {
    indices: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameIndex {
    /// The index of a name, which has one from then on.
    pub fn index_of(&mut self, name: &str) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.names.push(name.to_string());
        self.indices.insert(name.to_string(), index);
        index
    }

    /// The index of a name that was met before.
    pub fn known(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// The name with an index.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}

/// The open requests by their number on the wire and by their id at the balancer.
#[derive(Default)]
pub struct RequestNumbers {
    ids: HashMap<u64, RequestId>,
    numbers: HashMap<RequestId, u64>,
}

impl RequestNumbers {
    /// A request is open.
    pub fn insert(&mut self, number: u64, id: RequestId) {
        self.ids.insert(number, id);
        self.numbers.insert(id, number);
    }

    /// A request is done with.
    pub fn remove(&mut self, number: u64, id: RequestId) {
        self.ids.remove(&number);
        self.numbers.remove(&id);
    }

    /// The id of a request, if it is open.
    pub fn id(&self, number: u64) -> Option<RequestId> {
        self.ids.get(&number).copied()
    }

    /// The number of an open request.
    pub fn number(&self, id: RequestId) -> u64 {
        self.numbers[&id]
    }

    /// How many there are, with those that are done with and were not removed.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Keeps those that are still open.
    pub fn retain(&mut self, is_open: impl Fn(RequestId) -> bool) {
        self.numbers.retain(|id, _| is_open(*id));
        self.ids.retain(|_, id| is_open(*id));
    }
}

/// All that the wire names and the balancer numbers.
#[derive(Default)]
pub struct Names {
    pub servers: NameIndex,
    pub zones: NameIndex,
    pub requests: RequestNumbers,
}
