//! The arguments of a command, as a client sent them. No I/O.

#[cfg(test)]
mod tests;

use crate::message_cost::message_cost;
use chalkwalk_resp::Writer;
use chalkwalk_sockets::MessageReservation;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// A command as received: its bytes, and the positions of its arguments in them. The first argument
/// is the command's name.
pub struct Arguments {
    bytes: Vec<u8>,
    ranges: Vec<Range<usize>>,
    /// The memory that the command has reserved. The parts of a split command share it.
    reservation: Option<Rc<MessageReservation>>,
    /// How long the whole command waited unread, which counts against its time limit.
    pub waited: Duration,
}

impl Arguments {
    /// Creates the arguments of a command. `bytes` is the command as received, in RESP or inline;
    /// `ranges` are the positions of its arguments, the name first; `reservation` is the memory that
    /// the command has reserved, if any.
    pub fn new(
        bytes: Vec<u8>,
        ranges: Vec<Range<usize>>,
        reservation: Option<MessageReservation>,
    ) -> Arguments {
        Arguments { bytes, ranges, reservation: reservation.map(Rc::new), waited: Duration::ZERO }
    }

    /// The memory that the command takes while it is held.
    pub fn cost(&self) -> usize {
        message_cost(self.bytes.len(), self.ranges.len())
    }

    /// The memory that the command has reserved.
    pub fn reservation(&self) -> Option<Rc<MessageReservation>> {
        self.reservation.clone()
    }

    /// The number of bytes that the command has reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.as_ref().map_or(0, |reservation| reservation.bytes())
    }

    /// Replaces the memory that the command has reserved.
    pub fn set_reservation(&mut self, reservation: MessageReservation) {
        self.reservation = Some(Rc::new(reservation));
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
        Arguments {
            bytes: out.take_bytes(),
            ranges,
            reservation: self.reservation.clone(),
            waited: self.waited,
        }
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
