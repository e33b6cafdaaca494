//! Whose keys there are below the prefix.

use chalkwalk_etcd_wire::prefix_end;

const ENDPOINTS: &[u8] = b"caches/";
const PROXIES: &[u8] = b"proxies/";

/// Whose key it is.
#[derive(Clone, Debug, PartialEq)]
pub enum Key {
    /// That of the endpoint with this id.
    Endpoint(String),
    /// That of the proxy with this name.
    Proxy(String),
}

/// A range of keys.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRange {
    /// The first key.
    pub start: Vec<u8>,
    /// The first key after the range.
    pub end: Vec<u8>,
}

/// All keys with a prefix.
#[derive(Debug)]
pub(super) struct KeySpace {
    prefix: Vec<u8>,
}

impl KeySpace {
    pub fn new(prefix: &str) -> KeySpace {
        KeySpace { prefix: prefix.as_bytes().to_vec() }
    }

    /// The range of all of them.
    pub fn range(&self) -> KeyRange {
        KeyRange { start: self.prefix.clone(), end: prefix_end(&self.prefix) }
    }

    /// Whose key it is; those of nobody are ignored.
    pub fn classify(&self, key: &[u8]) -> Option<Key> {
        let folder_and_name = key.strip_prefix(self.prefix.as_slice())?;
        named(folder_and_name, ENDPOINTS)
            .map(Key::Endpoint)
            .or_else(|| named(folder_and_name, PROXIES).map(Key::Proxy))
    }
}

fn named(folder_and_name: &[u8], folder: &[u8]) -> Option<String> {
    let name = std::str::from_utf8(folder_and_name.strip_prefix(folder)?).ok()?;
    (!name.is_empty()).then(|| name.to_string())
}
