//! Parses the commands that a client sent: arrays of bulk strings, or inline commands. No I/O.

#[cfg(test)]
mod tests;

use chalkwalk_resp::{Frame, FrameKind, ProtocolError, ReadLimits, Reader};
use std::ops::Range;

/// A complete command at the start of a buffer.
pub struct ParsedCommand {
    /// The positions of the arguments; empty for an empty array or a blank line, which gets no reply.
    pub arguments: Vec<Range<usize>>,
    /// The length of the command in the buffer.
    pub len: usize,
}

/// Parses the command at the start of the buffer. Returns `None` while the command is incomplete;
/// `reader` keeps the parsed frames of an incomplete array for the next call.
pub fn parse_command(reader: &mut Reader, buf: &[u8]) -> Result<Option<ParsedCommand>, ProtocolError> {
    match buf.first() {
        None => Ok(None),
        Some(b'*') => parse_array(reader, buf),
        Some(_) => parse_inline(buf),
    }
}

fn parse_array(reader: &mut Reader, buf: &[u8]) -> Result<Option<ParsedCommand>, ProtocolError> {
    let Some((frames, len)) = reader.next_message(buf)? else { return Ok(None) };
    let bulk_range = |frame: &Frame| (frame.kind == FrameKind::BulkString).then(|| frame.range.clone());
    let ranges: Option<Vec<_>> = frames[1..].iter().map(bulk_range).collect();
    let ranges = ranges.ok_or(ProtocolError::ExpectedBulkStrings)?;
    Ok(Some(ParsedCommand { arguments: ranges, len }))
}

/// Parses an inline command: a line of arguments, as typed into a terminal.
fn parse_inline(buf: &[u8]) -> Result<Option<ParsedCommand>, ProtocolError> {
    let max_line_bytes = ReadLimits::default().max_line_bytes;
    let Some(end) = buf.iter().take(max_line_bytes).position(|byte| *byte == b'\n') else {
        return if buf.len() >= max_line_bytes { Err(ProtocolError::InlineTooLong) } else { Ok(None) };
    };
    let line = buf[..end].strip_suffix(b"\r").unwrap_or(&buf[..end]);
    Ok(Some(ParsedCommand { arguments: argument_ranges(line), len: end + 1 }))
}

/// The positions of the arguments in a line. White space separates the arguments.
fn argument_ranges(line: &[u8]) -> Vec<Range<usize>> {
    let mut ranges = Vec::new();
    let mut start = None;
    for (index, byte) in line.iter().chain(b" ").enumerate() {
        match (byte.is_ascii_whitespace(), start) {
            (false, None) => start = Some(index),
            (true, Some(start_index)) => {
                ranges.push(start_index..index);
                start = None;
            }
            _ => {}
        }
    }
    ranges
}
