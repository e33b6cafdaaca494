//! Ranges of keys.

/// The end of the range of all keys that begin with a prefix: the prefix with its last byte
/// incremented, after removal of trailing 0xff bytes. For a prefix of 0xff bytes alone there is no
/// such key and the result is empty, which the API takes for a range of one key, the prefix itself.
/// Such prefixes are not used here.
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
