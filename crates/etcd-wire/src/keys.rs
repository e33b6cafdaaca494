//! Ranges of keys.

/// The end of the range of all keys that begin with a prefix: the prefix with its last byte
/// incremented, after removal of trailing 0xff bytes. A prefix that consists of 0xff bytes alone
/// has no such end. The result is then empty, which the API interprets as a range with the prefix
/// itself as its only key. chalkwalk uses no such prefixes.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            break;
        }
    }
    end
}
