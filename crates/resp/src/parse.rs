//! One frame out of bytes.

use crate::{Frame, FrameKind, ProtocolError, ReadLimits, number};
use std::ops::Range;

/// The end of each line, and of each bulk string's body.
const CRLF: &[u8] = b"\r\n";

/// What came of parsing: `None` while bytes are missing.
type ParseResult<T> = Result<Option<T>, ProtocolError>;

/// A frame, and where in the buffer the next one begins.
pub struct Parsed {
    /// The frame.
    pub frame: Frame,
    /// Where the next frame begins.
    pub end: usize,
}

/// A line without its end, and where in the buffer the next thing begins.
struct Line {
    range: Range<usize>,
    end: usize,
}

/// Parses the frame that begins at `start`. Of an aggregate this is its head alone.
pub fn parse_frame(buf: &[u8], start: usize, limits: &ReadLimits) -> ParseResult<Parsed> {
    let Some(first) = buf.get(start) else { return Ok(None) };
    let Some(line) = parse_line(buf, start + 1, limits)? else { return Ok(None) };
    let text = &buf[line.range.clone()];
    match first {
        b'+' => single_line(FrameKind::Simple, line),
        b'-' => single_line(FrameKind::Error, line),
        b':' if number(text).is_none() => Err(ProtocolError::InvalidNumber),
        b':' => single_line(FrameKind::Number, line),
        b'_' if text.is_empty() => single_line(FrameKind::Null, line),
        b'#' if matches!(text, b"t" | b"f") => single_line(FrameKind::Boolean, line),
        b',' => single_line(FrameKind::Double, line),
        b'(' => single_line(FrameKind::BigNumber, line),
        b'$' => parse_bulk(FrameKind::Bulk, buf, line, limits),
        b'!' => parse_bulk(FrameKind::BulkError, buf, line, limits),
        b'=' => parse_bulk(FrameKind::Verbatim, buf, line, limits),
        b'*' => parse_aggregate(FrameKind::Array, buf, line, limits),
        b'%' => parse_aggregate(FrameKind::Map, buf, line, limits),
        b'~' => parse_aggregate(FrameKind::Set, buf, line, limits),
        b'>' => parse_aggregate(FrameKind::Push, buf, line, limits),
        _ => Err(ProtocolError::UnknownType),
    }
}

fn parse_line(buf: &[u8], start: usize, limits: &ReadLimits) -> ParseResult<Line> {
    let rest = &buf[start..];
    let max_len = limits.max_line + CRLF.len();
    let searched = &rest[..rest.len().min(max_len)];
    match searched.windows(CRLF.len()).position(|window| window == CRLF) {
        Some(len) => Ok(Some(Line { range: start..start + len, end: start + len + CRLF.len() })),
        None if rest.len() > max_len => Err(ProtocolError::LineTooLong),
        None => Ok(None),
    }
}

fn single_line(kind: FrameKind, line: Line) -> ParseResult<Parsed> {
    let frame = Frame { kind, range: line.range, children: 0 };
    Ok(Some(Parsed { frame, end: line.end }))
}

/// RESP2's null: a bulk string or an array with -1 in place of its length.
fn null(line: &Line) -> ParseResult<Parsed> {
    let frame = Frame { kind: FrameKind::Null, range: line.end..line.end, children: 0 };
    Ok(Some(Parsed { frame, end: line.end }))
}

/// A frame whose body follows the line with its length.
fn parse_bulk(kind: FrameKind, buf: &[u8], line: Line, limits: &ReadLimits) -> ParseResult<Parsed> {
    let len = number(&buf[line.range.clone()]).ok_or(ProtocolError::InvalidLength)?;
    if len == -1 && kind == FrameKind::Bulk {
        return null(&line);
    }
    let len = usize::try_from(len).map_err(|_| ProtocolError::InvalidLength)?;
    if len > limits.max_bulk {
        return Err(ProtocolError::BulkTooLong);
    }
    let body = line.end..line.end + len;
    let end = body.end + CRLF.len();
    match buf.get(body.end..end) {
        Some(CRLF) => Ok(Some(Parsed { frame: Frame { kind, range: body, children: 0 }, end })),
        Some(_) => Err(ProtocolError::LengthMismatch),
        None => Ok(None),
    }
}

/// The line that begins an aggregate: how many frames follow as part of it.
fn parse_aggregate(kind: FrameKind, buf: &[u8], line: Line, limits: &ReadLimits) -> ParseResult<Parsed> {
    let count = number(&buf[line.range.clone()]).ok_or(ProtocolError::InvalidCount)?;
    if count == -1 && kind == FrameKind::Array {
        return null(&line);
    }
    let frames_per_entry = if kind == FrameKind::Map { 2 } else { 1 };
    let children = usize::try_from(count)
        .ok()
        .and_then(|count| count.checked_mul(frames_per_entry))
        .ok_or(ProtocolError::InvalidCount)?;
    if children > limits.max_frames {
        return Err(ProtocolError::TooManyFrames);
    }
    let frame = Frame { kind, range: line.range, children };
    Ok(Some(Parsed { frame, end: line.end }))
}
