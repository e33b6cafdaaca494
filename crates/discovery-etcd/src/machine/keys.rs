//! The kinds of keys below the prefix.

use chalkwalk_etcd_wire::prefix_end;

/// What follows the prefix in the keys of endpoints and of proxies.
const ENDPOINT_SUBPREFIX: &[u8] = b"caches/";
const PROXY_SUBPREFIX: &[u8] = b"proxies/";

/// The owner of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Key {
    /// The key of the endpoint with this id.
    Endpoint(String),
    /// The key of the proxy with this name.
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

    /// The range of all keys with the prefix.
    pub fn range(&self) -> KeyRange {
        KeyRange { start: self.prefix.clone(), end: prefix_end(&self.prefix) }
    }

    /// The owner of a key; `None` for a key that belongs to neither an endpoint nor a proxy, which
    /// callers ignore.
    pub fn classify(&self, key: &[u8]) -> Option<Key> {
        let relative_key = key.strip_prefix(self.prefix.as_slice())?;
        strip_subprefix(relative_key, ENDPOINT_SUBPREFIX)
            .map(Key::Endpoint)
            .or_else(|| strip_subprefix(relative_key, PROXY_SUBPREFIX).map(Key::Proxy))
    }
}

fn strip_subprefix(relative_key: &[u8], subprefix: &[u8]) -> Option<String> {
    let name = std::str::from_utf8(relative_key.strip_prefix(subprefix)?).ok()?;
    (!name.is_empty()).then(|| name.to_string())
}
