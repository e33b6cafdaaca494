//! What several test modules use.

use crate::arguments::Arguments;

/// The arguments of a line, as an inline command has them.
pub fn arguments(line: &str) -> Arguments {
    let mut bytes = Vec::new();
    let mut ranges = Vec::new();
    for word in line.split(' ').filter(|word| !word.is_empty()) {
        ranges.push(bytes.len()..bytes.len() + word.len());
        bytes.extend_from_slice(word.as_bytes());
    }
    Arguments::new(bytes, ranges)
}
