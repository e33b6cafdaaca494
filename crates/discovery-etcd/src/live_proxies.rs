//! The proxies that are live by their keys.

use chalkwalk_membership::format::{LEAVING, ValueError, parse_proxy};
use std::collections::BTreeSet;

/// Proxies that are counted at most: more than any fleet has.
const MAX_PROXIES: usize = 20_000;

/// Names of proxies that have a key and do not drain.
#[derive(Debug, Default)]
pub(crate) struct LiveProxies {
    names: BTreeSet<String>,
}

impl LiveProxies {
    /// Forgets all: a whole list follows.
    pub fn clear(&mut self) {
        self.names.clear();
    }

    /// How many are live.
    pub fn count(&self) -> u64 {
        self.names.len() as u64
    }

    /// A proxy's key has this value, or is gone. A value that can't be read changes nothing.
    pub fn update(&mut self, name: String, value: Option<&[u8]>) -> Result<(), ValueError> {
        let live = match value {
            Some(value) => parse_proxy(value)?.phase != LEAVING && self.names.len() < MAX_PROXIES,
            None => false,
        };
        if live {
            self.names.insert(name);
        } else {
            self.names.remove(&name);
        }
        Ok(())
    }
}
