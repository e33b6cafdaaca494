//! RESP for the testbed's simulated services and clients: commands are arrays of bulk strings, and
//! replies are never aggregates. It shares no code with the proxy, so that a bug in the proxy's
//! codec cannot hide itself.

use crate::clock::{MILLISECOND, Micros};
use crate::model::cluster::SLOT_COUNT;
use crate::wire::{Connection, ReadError};

/// Maximum length of a command or reply in bytes: the longest value, with room for the rest of the
/// message.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Maximum number of arguments that are read; the testbed's commands have three.
const MAX_ARGUMENTS: i64 = 1024;
const LINE_END: &[u8] = b"\r\n";

/// CRC16 with the polynomial 0x1021 (XMODEM), computed bit by bit.
fn crc16(bytes: &[u8]) -> u16 {
    let shift = |crc: u16, _| if crc & 0x8000 != 0 { (crc << 1) ^ 0x1021 } else { crc << 1 };
    bytes.iter().fold(0, |crc: u16, byte| (0..8).fold(crc ^ (u16::from(*byte) << 8), shift))
}

/// The hash slot of a key. The hash tag in braces determines it; all keys of the testbed have one.
pub fn key_slot(key: &[u8]) -> u16 {
    let open = key.iter().position(|byte| *byte == b'{').map_or(0, |i| i + 1);
    let close = key.iter().position(|byte| *byte == b'}').unwrap_or(key.len());
    crc16(key.get(open..close).unwrap_or(key)) % SLOT_COUNT
}

/// The line that starts at an index, and the index after its end; `None` if the line is incomplete.
fn parse_line(buffer: &[u8], from: usize) -> Option<(&[u8], usize)> {
    let length = buffer.get(from..)?.windows(LINE_END.len()).position(|end| end == LINE_END)?;
    Some((&buffer[from..from + length], from + length + LINE_END.len()))
}

fn parse_integer(text: &[u8]) -> Result<i64, ReadError> {
    std::str::from_utf8(text).ok().and_then(|text| text.parse().ok()).ok_or(ReadError::Malformed)
}

/// A command's name and arguments.
pub type Arguments = Vec<Vec<u8>>;

/// A parsed value and its length in bytes; `None` if it is incomplete.
type Parsed<T> = Result<Option<(T, usize)>, ReadError>;

fn parse_command(buffer: &[u8]) -> Parsed<Arguments> {
    if buffer.first().is_some_and(|byte| *byte != b'*') {
        return Err(ReadError::Malformed);
    }
    let Some((count, mut at)) = parse_line(buffer, 1) else { return Ok(None) };
    let mut arguments = Vec::new();
    for _ in 0..parse_integer(count)?.clamp(0, MAX_ARGUMENTS) {
        let Some((length, body)) = parse_line(buffer, at + 1) else { return Ok(None) };
        if buffer[at] != b'$' {
            return Err(ReadError::Malformed);
        }
        let length = usize::try_from(parse_integer(length)?).map_err(|_| ReadError::Malformed)?;
        let end = body + length + LINE_END.len();
        let Some(argument) = buffer.get(body..end) else { return Ok(None) };
        arguments.push(argument[..length].to_vec());
        at = end;
    }
    Ok(Some((arguments, at)))
}

/// A reply to a client.
#[derive(Debug, PartialEq)]
pub enum RespReply {
    /// A value, a status or an integer.
    Value(Vec<u8>),
    /// The null reply: there is no value.
    Nil,
    /// An error with its text.
    Error(String),
}

fn parse_reply(buffer: &[u8]) -> Parsed<RespReply> {
    let Some((text, at)) = parse_line(buffer, 1) else { return Ok(None) };
    match buffer[0] {
        b'+' | b':' => Ok(Some((RespReply::Value(text.to_vec()), at))),
        b'-' => Ok(Some((RespReply::Error(String::from_utf8_lossy(text).to_string()), at))),
        b'$' => {
            let Ok(length) = usize::try_from(parse_integer(text)?) else {
                return Ok(Some((RespReply::Nil, at)));
            };
            let end = at + length + LINE_END.len();
            let value = buffer.get(at..end).map(|body| RespReply::Value(body[..length].to_vec()));
            Ok(value.map(|value| (value, end)))
        }
        _ => Err(ReadError::Malformed),
    }
}

async fn read_message<T>(
    connection: &mut Connection,
    parse: impl Fn(&[u8]) -> Parsed<T>,
) -> Result<T, ReadError> {
    loop {
        if !connection.buffered.is_empty()
            && let Some((message, length)) = parse(&connection.buffered)?
        {
            connection.buffered.drain(..length);
            return Ok(message);
        }
        let partial = !connection.buffered.is_empty();
        if connection.buffered.len() > MAX_MESSAGE_BYTES || !matches!(connection.read_more().await, Ok(1..)) {
            return Err(if partial { ReadError::Truncated } else { ReadError::Closed });
        }
    }
}

/// Reads the next command.
pub async fn read_command(connection: &mut Connection) -> Result<Arguments, ReadError> {
    read_message(connection, parse_command).await
}

/// Reads the next reply.
pub async fn read_reply(connection: &mut Connection) -> Result<RespReply, ReadError> {
    read_message(connection, parse_reply).await
}

/// Encodes a command.
pub fn encode_command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend(bulk(argument));
    }
    out
}

/// Encodes a bulk string.
pub fn bulk(body: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", body.len()).as_bytes(), body, LINE_END].concat()
}

impl RespReply {
    /// The equivalent HTTP status, which the testbed's figures are based on; and the time after
    /// which to retry, if the text states one.
    pub fn status(&self) -> (u16, Option<Micros>) {
        match self {
            RespReply::Value(_) => (200, None),
            RespReply::Nil => (404, None),
            RespReply::Error(text) => match text.split(' ').next() {
                Some("TRYAGAIN" | "CLUSTERDOWN" | "LOADING") => (503, retry_after(text)),
                Some("ERR") if text.starts_with("ERR abandoned") => (500, None),
                _ => (400, None),
            },
        }
    }
}

/// The time given in milliseconds before the word `ms` in an error's text.
fn retry_after(text: &str) -> Option<Micros> {
    let words: Vec<&str> = text.split(' ').collect();
    let before_ms = words.windows(2).find(|pair| pair[1] == "ms")?;
    before_ms[0].parse::<u64>().ok().map(|ms| ms * MILLISECOND)
}

#[cfg(test)]
mod tests;
