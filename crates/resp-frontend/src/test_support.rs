//! What several test modules use.

use crate::arguments::Arguments;

/// The arguments of a line, as an inline command has them.
pub fn arguments(line: &str) -> Arguments {
    let mut bytes = Vec::new();
    let mut ranges = Vec::new();
    for argument in line.split(' ').filter(|argument| !argument.is_empty()) {
        ranges.push(bytes.len()..bytes.len() + argument.len());
        bytes.extend_from_slice(argument.as_bytes());
    }
    Arguments::new(bytes, ranges)
}
