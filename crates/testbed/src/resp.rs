//! RESP as the testbed's own stand-ins and clients speak it: commands as arrays, answers that are no aggregates. It shares
//! nothing with the proxy, so that a bug in its codec cannot hide itself.

use crate::clock::{MILLI, Micros};
use crate::model::cluster::SLOTS;
use crate::wire::{Connection, ReadError};

/// A command or answer may be as long as the longest value, and some words.
const MAX_MESSAGE: usize = 4 << 20;
/// More arguments are not read: a command of the testbed's has three.
const MAX_ARGUMENTS: i64 = 1024;
const LINE_END: &[u8] = b"\r\n";

/// CRC16 by its polynomial, a bit at a time.
fn crc16(bytes: &[u8]) -> u16 {
    let shift = |crc: u16, _| if crc & 0x8000 != 0 { (crc << 1) ^ 0x1021 } else { crc << 1 };
    bytes.iter().fold(0, |crc: u16, byte| (0..8).fold(crc ^ (u16::from(*byte) << 8), shift))
}

/// The slot of a key whose tag stands in braces, as all of the testbed's do.
pub fn slot(key: &[u8]) -> u16 {
    let open = key.iter().position(|byte| *byte == b'{').map_or(0, |i| i + 1);
    let close = key.iter().position(|byte| *byte == b'}').unwrap_or(key.len());
    crc16(key.get(open..close).unwrap_or(key)) % SLOTS
}

/// The line that begins at an index, and the index after it; none where it is not whole yet.
fn line(buffer: &[u8], from: usize) -> Option<(&[u8], usize)> {
    let length = buffer.get(from..)?.windows(LINE_END.len()).position(|end| end == LINE_END)?;
    Some((&buffer[from..from + length], from + length + LINE_END.len()))
}

fn number(text: &[u8]) -> Result<i64, ReadError> {
    std::str::from_utf8(text).ok().and_then(|text| text.parse().ok()).ok_or(ReadError::Malformed)
}

/// A command's name and arguments.
pub type Arguments = Vec<Vec<u8>>;

/// What was parsed, and how long it is; none where it is not whole yet.
type Parsed<T> = Result<Option<(T, usize)>, ReadError>;

fn parse_command(buffer: &[u8]) -> Parsed<Arguments> {
    if buffer.first().is_some_and(|byte| *byte != b'*') {
        return Err(ReadError::Malformed);
    }
    let Some((count, mut at)) = line(buffer, 1) else { return Ok(None) };
    let mut arguments = Vec::new();
    for _ in 0..number(count)?.clamp(0, MAX_ARGUMENTS) {
        let Some((length, body)) = line(buffer, at + 1) else { return Ok(None) };
        if buffer[at] != b'$' {
            return Err(ReadError::Malformed);
        }
        let length = usize::try_from(number(length)?).map_err(|_| ReadError::Malformed)?;
        let end = body + length + LINE_END.len();
        let Some(argument) = buffer.get(body..end) else { return Ok(None) };
        arguments.push(argument[..length].to_vec());
        at = end;
    }
    Ok(Some((arguments, at)))
}

/// An answer to a client.
#[derive(Debug, PartialEq)]
pub enum RespAnswer {
    /// A value, or a status.
    Value(Vec<u8>),
    /// There is no value.
    Nil,
    /// An error's text.
    Error(String),
}

fn parse_answer(buffer: &[u8]) -> Parsed<RespAnswer> {
    let Some((text, at)) = line(buffer, 1) else { return Ok(None) };
    match buffer[0] {
        b'+' | b':' => Ok(Some((RespAnswer::Value(text.to_vec()), at))),
        b'-' => Ok(Some((RespAnswer::Error(String::from_utf8_lossy(text).to_string()), at))),
        b'$' => {
            let Ok(length) = usize::try_from(number(text)?) else {
                return Ok(Some((RespAnswer::Nil, at)));
            };
            let end = at + length + LINE_END.len();
            let value = buffer.get(at..end).map(|body| RespAnswer::Value(body[..length].to_vec()));
            Ok(value.map(|value| (value, end)))
        }
        _ => Err(ReadError::Malformed),
    }
}

async fn read<T>(connection: &mut Connection, parse: impl Fn(&[u8]) -> Parsed<T>) -> Result<T, ReadError> {
    loop {
        if !connection.buffered.is_empty()
            && let Some((read, length)) = parse(&connection.buffered)?
        {
            connection.buffered.drain(..length);
            return Ok(read);
        }
        let partial = !connection.buffered.is_empty();
        if connection.buffered.len() > MAX_MESSAGE || !matches!(connection.fill().await, Ok(1..)) {
            return Err(if partial { ReadError::Truncated } else { ReadError::Closed });
        }
    }
}

/// The next command.
pub async fn read_command(connection: &mut Connection) -> Result<Arguments, ReadError> {
    read(connection, parse_command).await
}

/// The next answer.
pub async fn read_answer(connection: &mut Connection) -> Result<RespAnswer, ReadError> {
    read(connection, parse_answer).await
}

/// A command's bytes.
pub fn encode_command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend(bulk(argument));
    }
    out
}

/// A bulk string's bytes.
pub fn bulk(body: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", body.len()).as_bytes(), body, LINE_END].concat()
}

impl RespAnswer {
    /// The same as a status of HTTP, by which the testbed counts; and when to retry, where that is in it.
    pub fn status(&self) -> (u16, Option<Micros>) {
        match self {
            RespAnswer::Value(_) => (200, None),
            RespAnswer::Nil => (404, None),
            RespAnswer::Error(text) => match text.split(' ').next() {
                Some("TRYAGAIN" | "CLUSTERDOWN" | "LOADING") => (503, retry_after(text)),
                Some("ERR") if text.starts_with("ERR abandoned") => (500, None),
                _ => (400, None),
            },
        }
    }
}

/// The number before `ms` in an error's text.
fn retry_after(text: &str) -> Option<Micros> {
    let words: Vec<&str> = text.split(' ').collect();
    let before_ms = words.windows(2).find(|pair| pair[1] == "ms")?;
    before_ms[0].parse::<u64>().ok().map(|ms| ms * MILLI)
}

#[cfg(test)]
mod tests;
