//! Maps names and numbers of the simulator's protocol to the balancer's indices and ids, and back.

use chalkwalk_balancer::RequestId;
use std::collections::HashMap;

/// The names seen so far. A name's index is its position in order of first appearance.
#[derive(Default)]
pub struct NameIndex {
    indices: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameIndex {
    /// Returns the index of a name, and assigns the next index to a new name.
    pub fn get_or_insert(&mut self, name: &str) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.names.push(name.to_string());
        self.indices.insert(name.to_string(), index);
        index
    }

    /// Returns the index of a name if the name has been seen before.
    pub fn get(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Returns the name with an index. The index must have been assigned.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}

/// The requests, by their number in the simulator's protocol and by their id in the balancer.
#[derive(Default)]
pub struct RequestNumbers {
    ids: HashMap<u64, RequestId>,
    numbers: HashMap<RequestId, u64>,
}

impl RequestNumbers {
    /// Adds a request that the balancer has accepted.
    pub fn insert(&mut self, number: u64, id: RequestId) {
        self.ids.insert(number, id);
        self.numbers.insert(id, number);
    }

    /// Removes a finished request.
    pub fn remove(&mut self, number: u64, id: RequestId) {
        self.ids.remove(&number);
        self.numbers.remove(&id);
    }

    /// Returns the id of a request, if the request is known.
    pub fn id(&self, number: u64) -> Option<RequestId> {
        self.ids.get(&number).copied()
    }

    /// Returns the number of a request, which must be known.
    pub fn number(&self, id: RequestId) -> u64 {
        self.numbers[&id]
    }

    /// Returns the number of requests, including finished ones that were not removed yet.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Removes the requests for which `is_open` is false.
    pub fn retain(&mut self, is_open: impl Fn(RequestId) -> bool) {
        self.numbers.retain(|id, _| is_open(*id));
        self.ids.retain(|_, id| is_open(*id));
    }
}

/// The servers, zones and requests that the protocol names and the balancer knows by index or id.
#[derive(Default)]
pub struct Names {
    pub servers: NameIndex,
    pub zones: NameIndex,
    pub requests: RequestNumbers,
}
