//! Frames, the parts of a message.

use std::ops::Range;

/// The type of a frame. RESP2 has the first six types, RESP3 has all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// `+`: a line of text.
    SimpleString,
    /// `-`: an error, as a line of text.
    SimpleError,
    /// `:`: a signed 64-bit integer.
    Integer,
    /// `$`: bytes after a line with their length.
    BulkString,
    /// `_` in RESP3, `$-1` and `*-1` in RESP2.
    Null,
    /// `*`: an ordered aggregate of elements.
    Array,
    /// `%`: an aggregate of keys, each followed by its value.
    Map,
    /// `~`: an unordered aggregate of elements.
    Set,
    /// `>`: an aggregate that is not the reply to a command.
    Push,
    /// `#`: `t` or `f`.
    Boolean,
    /// `,`: a floating-point number, as text.
    Double,
    /// `(`: an integer of any size, as text.
    BigNumber,
    /// `!`: an error after a line with its length.
    BulkError,
    /// `=`: text that begins with its three-letter format, after a line with its length.
    VerbatimString,
}

/// One frame of a message. A message is a list of frames in depth-first order: the elements of an
/// aggregate follow it.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The type of the frame.
    pub kind: FrameKind,
    /// The position of the frame's text or body in the buffer. For an aggregate it is the position
    /// of the element count.
    pub range: Range<usize>,
    /// The number of direct elements of an aggregate; the keys and the values of a map both count.
    /// 0 for any other type.
    pub children: usize,
}

/// Parses an integer in the protocol's notation: decimal digits, after a minus sign if the integer
/// is negative.
pub fn parse_integer(text: &[u8]) -> Option<i64> {
    /// The number of digits of the largest signed 64-bit integer.
    const MAX_DIGITS: usize = 19;
    let digits = text.strip_prefix(b"-").unwrap_or(text);
    // `str::parse` would also accept a plus sign.
    if digits.is_empty() || digits.len() > MAX_DIGITS || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
