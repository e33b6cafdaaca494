//! Helpers for several test modules.

use crate::arguments::Arguments;

/// Splits a line into arguments, as in an inline command.
pub fn arguments(line: &str) -> Arguments {
    let mut bytes = Vec::new();
    let mut ranges = Vec::new();
    for argument in line.split(' ').filter(|argument| !argument.is_empty()) {
        ranges.push(bytes.len()..bytes.len() + argument.len());
        bytes.extend_from_slice(argument.as_bytes());
    }
    Arguments::new(bytes, ranges, None)
}
