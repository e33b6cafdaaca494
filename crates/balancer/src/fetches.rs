//! Decides which request fetches a key from the origin: one request per key at a time. Other
//! requests that need the key wait for that fetch and then go to the server again. Protects the
//! origin from a stampede on one key.
//!
//! Inputs: the end of each fetch.

use crate::snapshot::stored;
use crate::types::RequestId;
use std::collections::HashMap;

/// The fetches in flight, by key, with the requests that wait for each.
#[derive(Default)]
pub(crate) struct Fetches {
    waiting: HashMap<u64, Vec<RequestId>>,
}

stored! { Fetches { waiting } }

impl Fetches {
    /// Makes a request wait for the fetch of a key, if one is in flight. Returns whether it waits.
    pub fn join(&mut self, key: u64, request_id: RequestId) -> bool {
        match self.waiting.get_mut(&key) {
            Some(waiting) => {
                waiting.push(request_id);
                true
            }
            None => false,
        }
    }

    pub fn begin(&mut self, key: u64) {
        self.waiting.insert(key, Vec::new());
    }

    /// Ends the fetch of a key. Returns the requests that waited for it.
    pub fn end(&mut self, key: u64) -> Vec<RequestId> {
        self.waiting.remove(&key).unwrap_or_default()
    }
}
