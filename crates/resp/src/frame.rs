//! What a message consists of.

use std::ops::Range;

/// The type of a frame. RESP2 has the first six, RESP3 all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// `+`: a line of text.
    Simple,
    /// `-`: a line of text, an error.
    Error,
    /// `:`: a signed 64-bit integer.
    Number,
    /// `$`: bytes with their length in front.
    Bulk,
    /// `_`, or RESP2's `$-1` and `*-1`.
    Null,
    /// `*`: an aggregate of elements in order.
    Array,
    /// `%`: an aggregate of keys, each followed by its value.
    Map,
    /// `~`: an aggregate of elements without an order.
    Set,
    /// `>`: an aggregate that answers no command.
    Push,
    /// `#`: `t` or `f`.
    Boolean,
    /// `,`: a floating-point number, as text.
    Double,
    /// `(`: an integer of any size, as text.
    BigNumber,
    /// `!`: an error with its length in front.
    BulkError,
    /// `=`: text with its length and a format of three letters in front.
    Verbatim,
}

/// One frame of a message. A message is a list of them, depth first: what an aggregate holds
/// follows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Its type.
    pub kind: FrameKind,
    /// Where its text or body stands in the buffer. Of an aggregate, its count.
    pub range: Range<usize>,
    /// How many frames an aggregate holds directly; a map's keys and values both count. Of any
    /// other type, 0.
    pub children: usize,
}

/// An integer as the protocol writes it: digits, with a minus sign where it is negative.
pub fn number(text: &[u8]) -> Option<i64> {
    /// As many as the longest that fits has.
    const MAX_DIGITS: usize = 19;
    let digits = text.strip_prefix(b"-").unwrap_or(text);
    // `parse` alone would allow a plus sign.
    if digits.is_empty() || digits.len() > MAX_DIGITS || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
