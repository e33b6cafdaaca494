//! The proxies that are live according to their keys in etcd.

use chalkwalk_membership::format::{LEAVING, ValueError, parse_proxy};
use std::collections::BTreeSet;

/// Maximum number of proxies that are counted, more than any fleet has.
const MAX_PROXIES: usize = 20_000;

/// Names of the proxies that have a key and are not draining.
#[derive(Debug, Default)]
pub(crate) struct LiveProxies {
    names: BTreeSet<String>,
}

impl LiveProxies {
    /// Removes all proxies, before a whole list is applied.
    pub fn clear(&mut self) {
        self.names.clear();
    }

    /// The number of live proxies.
    pub fn count(&self) -> u64 {
        self.names.len() as u64
    }

    /// Records that a proxy's key has this value, or was deleted if `value` is `None`. A value that
    /// can't be parsed changes nothing.
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
