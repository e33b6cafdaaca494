//! Commands out of the bytes that a client sent: arrays of bulk strings, or inline lines. No I/O.

#[cfg(test)]
mod tests;

use crate::arguments::Arguments;
use chalkwalk_resp::{Frame, FrameKind, ProtocolError, ReadLimits, Reader};
use std::ops::Range;

/// A whole command at the start of a buffer.
pub struct ParsedCommand {
    /// Its arguments; none for an empty array or a blank line, which is not answered.
    pub arguments: Option<Arguments>,
    /// How many bytes of the buffer it takes.
    pub len: usize,
}

/// The command at the start of the buffer; none until it is whole. `reader` keeps how far an array
/// has been read.
pub fn parse_command(reader: &mut Reader, buf: &[u8]) -> Result<Option<ParsedCommand>, ProtocolError> {
    match buf.first() {
        None => Ok(None),
        Some(b'*') => parse_array(reader, buf),
        Some(_) => parse_inline(buf),
    }
}

fn parse_array(reader: &mut Reader, buf: &[u8]) -> Result<Option<ParsedCommand>, ProtocolError> {
    let Some((frames, len)) = reader.next_message(buf)? else { return Ok(None) };
    let bulk = |frame: &Frame| (frame.kind == FrameKind::BulkString).then(|| frame.range.clone());
    let ranges: Option<Vec<_>> = frames[1..].iter().map(bulk).collect();
    let ranges = ranges.ok_or(ProtocolError::ExpectedBulkStrings)?;
    Ok(Some(parsed(&buf[..len], ranges, len)))
}

/// A line, as a person types it.
fn parse_inline(buf: &[u8]) -> Result<Option<ParsedCommand>, ProtocolError> {
    let max_line_bytes = ReadLimits::default().max_line_bytes;
    let Some(end) = buf.iter().take(max_line_bytes).position(|byte| *byte == b'\n') else {
        return if buf.len() >= max_line_bytes { Err(ProtocolError::InlineTooLong) } else { Ok(None) };
    };
    let line = buf[..end].strip_suffix(b"\r").unwrap_or(&buf[..end]);
    Ok(Some(parsed(line, argument_ranges(line), end + 1)))
}

fn parsed(bytes: &[u8], ranges: Vec<Range<usize>>, len: usize) -> ParsedCommand {
    let arguments = (!ranges.is_empty()).then(|| Arguments::new(bytes.to_vec(), ranges));
    ParsedCommand { arguments, len }
}

/// Where the arguments stand in a line: white space separates them.
fn argument_ranges(line: &[u8]) -> Vec<Range<usize>> {
    let mut ranges = Vec::new();
    let mut start = None;
    for (index, byte) in line.iter().chain(b" ").enumerate() {
        match (byte.is_ascii_whitespace(), start) {
            (false, None) => start = Some(index),
            (true, Some(first)) => {
                ranges.push(first..index);
                start = None;
            }
            _ => {}
        }
    }
    ranges
}
