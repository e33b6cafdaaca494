//! Ranges of keys.

/// The end of the range of all keys that begin with a prefix: the prefix with its last byte one up.
/// Empty where there is no such key, which the API takes for the one key of the prefix: a prefix of
/// 0xff bytes alone is not used here.
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
