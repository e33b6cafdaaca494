//! The arguments of a command, as a client sent them. No I/O.

#[cfg(test)]
mod tests;

use chalkwalk_resp::Writer;
use std::ops::Range;

/// A command as received: its bytes, and the positions of its arguments in them. The first argument
/// is the command's name.
#[derive(Debug)]
pub struct Arguments {
    bytes: Vec<u8>,
    ranges: Vec<Range<usize>>,
}

impl Arguments {
    /// Creates the arguments of a command. `bytes` is the command as received, in RESP or inline;
    /// `ranges` are the positions of its arguments, the name first.
    pub fn new(bytes: Vec<u8>, ranges: Vec<Range<usize>>) -> Arguments {
        Arguments { bytes, ranges }
    }

    /// The number of arguments, the name included.
    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    /// The length of the command as received.
    pub fn byte_len(&self) -> usize {
        self.bytes.len()
    }

    /// The argument at an index; empty if there are fewer arguments.
    pub fn get(&self, index: usize) -> &[u8] {
        self.ranges.get(index).map_or(&[], |range| &self.bytes[range.clone()])
    }

    /// The argument at an index in upper case, as command names and options are not case-sensitive.
    pub fn keyword(&self, index: usize) -> String {
        String::from_utf8_lossy(self.get(index)).to_ascii_uppercase()
    }

    /// The keys at these positions as strings, by which keys are compared and hashed.
    pub fn key_texts(&self, keys: &[usize]) -> Vec<String> {
        keys.iter().map(|key| String::from_utf8_lossy(self.get(*key)).to_string()).collect()
    }

    /// The command for some of its keys: its name, then each of these keys with the arguments that
    /// belong to it. `step` is the number of arguments per key, the key included.
    pub fn with_keys(&self, keys: &[usize], step: usize) -> Arguments {
        let per_key = |key: &usize| (*key..key + step).map(|index| self.get(index));
        let arguments: Vec<&[u8]> =
            std::iter::once(self.get(0)).chain(keys.iter().flat_map(per_key)).collect();
        let mut out = Writer::default();
        out.array_header(arguments.len());
        let mut ranges = Vec::with_capacity(arguments.len());
        for argument in arguments {
            out.bulk_string(argument);
            let end = out.len() - b"\r\n".len();
            ranges.push(end - argument.len()..end);
        }
        Arguments { bytes: out.take_bytes(), ranges }
    }

    /// The command in the form that servers accept: as received, or as an array if it was inline.
    pub fn into_resp(self) -> Vec<u8> {
        if self.bytes.first() == Some(&b'*') {
            return self.bytes;
        }
        let arguments: Vec<&[u8]> = (0..self.len()).map(|index| self.get(index)).collect();
        let mut out = Writer::default();
        out.command(&arguments);
        out.take_bytes()
    }
}
