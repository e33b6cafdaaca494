//! Parses single frames.

use crate::{Frame, FrameKind, ProtocolError, ReadLimits, parse_integer};
use std::ops::Range;

/// The line break that ends each line and the body of each bulk string.
const CRLF: &[u8] = b"\r\n";

/// The result of parsing; `None` while the buffer does not hold all the bytes yet.
type ParseResult<T> = Result<Option<T>, ProtocolError>;

/// A frame, and the position in the buffer at which the next one begins.
pub struct ParsedFrame {
    pub frame: Frame,
    /// The position at which the next frame begins.
    pub end: usize,
}

/// A line without its line break, and the position of the first byte after the line break.
struct Line {
    range: Range<usize>,
    end: usize,
}

/// Parses the frame that begins at `start`. For an aggregate this is only its header, without the
/// elements.
pub fn parse_frame(buf: &[u8], start: usize, limits: &ReadLimits) -> ParseResult<ParsedFrame> {
    let Some(marker) = buf.get(start) else { return Ok(None) };
    let Some(line) = parse_line(buf, start + 1, limits)? else { return Ok(None) };
    let text = &buf[line.range.clone()];
    match marker {
        b'+' => line_frame(FrameKind::SimpleString, line),
        b'-' => line_frame(FrameKind::SimpleError, line),
        b':' if parse_integer(text).is_none() => Err(ProtocolError::InvalidInteger),
        b':' => line_frame(FrameKind::Integer, line),
        b'_' if text.is_empty() => line_frame(FrameKind::Null, line),
        b'#' if matches!(text, b"t" | b"f") => line_frame(FrameKind::Boolean, line),
        b',' => line_frame(FrameKind::Double, line),
        b'(' => line_frame(FrameKind::BigNumber, line),
        b'$' => parse_bulk(FrameKind::BulkString, buf, line, limits),
        b'!' => parse_bulk(FrameKind::BulkError, buf, line, limits),
        b'=' => parse_bulk(FrameKind::VerbatimString, buf, line, limits),
        b'*' => parse_aggregate(FrameKind::Array, buf, line, limits),
        b'%' => parse_aggregate(FrameKind::Map, buf, line, limits),
        b'~' => parse_aggregate(FrameKind::Set, buf, line, limits),
        b'>' => parse_aggregate(FrameKind::Push, buf, line, limits),
        _ => Err(ProtocolError::UnknownType),
    }
}

fn parse_line(buf: &[u8], start: usize, limits: &ReadLimits) -> ParseResult<Line> {
    let rest = &buf[start..];
    let max_len = limits.max_line_bytes + CRLF.len();
    let searched = &rest[..rest.len().min(max_len)];
    match searched.windows(CRLF.len()).position(|window| window == CRLF) {
        Some(len) => Ok(Some(Line { range: start..start + len, end: start + len + CRLF.len() })),
        None if rest.len() > max_len => Err(ProtocolError::LineTooLong),
        None => Ok(None),
    }
}

fn line_frame(kind: FrameKind, line: Line) -> ParseResult<ParsedFrame> {
    let frame = Frame { kind, range: line.range, children: 0 };
    Ok(Some(ParsedFrame { frame, end: line.end }))
}

/// The null of RESP2: a bulk string or an array whose length is -1.
fn resp2_null(line: &Line) -> ParseResult<ParsedFrame> {
    let frame = Frame { kind: FrameKind::Null, range: line.end..line.end, children: 0 };
    Ok(Some(ParsedFrame { frame, end: line.end }))
}

/// Parses a frame whose body follows `line`, which holds the length of the body.
fn parse_bulk(kind: FrameKind, buf: &[u8], line: Line, limits: &ReadLimits) -> ParseResult<ParsedFrame> {
    let len = parse_integer(&buf[line.range.clone()]).ok_or(ProtocolError::InvalidLength)?;
    if len == -1 && kind == FrameKind::BulkString {
        return resp2_null(&line);
    }
    let len = usize::try_from(len).map_err(|_| ProtocolError::InvalidLength)?;
    if len > limits.max_bulk_bytes {
        return Err(ProtocolError::BulkTooLong);
    }
    let body = line.end..line.end + len;
    let end = body.end + CRLF.len();
    match buf.get(body.end..end) {
        Some(CRLF) => Ok(Some(ParsedFrame { frame: Frame { kind, range: body, children: 0 }, end })),
        Some(_) => Err(ProtocolError::LengthMismatch),
        None => Ok(None),
    }
}

/// The end of the incomplete frame that begins at `start`, as far as its bytes announce it.
pub fn announced_end(buf: &[u8], start: usize, limits: &ReadLimits) -> usize {
    let has_body = buf.get(start).is_some_and(|marker| b"$!=".contains(marker));
    let line = if has_body { parse_line(buf, start + 1, limits).ok().flatten() } else { None };
    let body_len = |line: &Line| usize::try_from(parse_integer(&buf[line.range.clone()])?).ok();
    let end = line.and_then(|line| Some(line.end + body_len(&line)? + CRLF.len()));
    end.unwrap_or(buf.len()).max(buf.len())
}

/// Parses the header of an aggregate, which holds the element count.
fn parse_aggregate(kind: FrameKind, buf: &[u8], line: Line, limits: &ReadLimits) -> ParseResult<ParsedFrame> {
    let count = parse_integer(&buf[line.range.clone()]).ok_or(ProtocolError::InvalidCount)?;
    if count == -1 && kind == FrameKind::Array {
        return resp2_null(&line);
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
    Ok(Some(ParsedFrame { frame, end: line.end }))
}
