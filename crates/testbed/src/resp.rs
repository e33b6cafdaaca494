//! RESP as the testbed's own stand-ins and clients speak it: commands as arrays, answers that are no aggregates. It shares nothing
//! with the proxy, so that a fault in its codec cannot hide itself.

use crate::clock::{MILLI, Micros};
use crate::wire::{Connection, ReadError};

/// A command or answer may be as long as the longest value, and some words.
const MAX_MESSAGE: usize = 4 << 20;

/// CRC16 by its polynomial, a bit at a time.
fn crc16(bytes: &[u8]) -> u16 {
    bytes.iter().fold(0u16, |crc, b| {
        (0..8).fold(crc ^ (u16::from(*b) << 8), |crc, _| {
            if crc & 0x8000 != 0 { (crc << 1) ^ 0x1021 } else { crc << 1 }
        })
    })
}

/// The slot of a key whose tag stands in braces, as all of the testbed's do.
pub fn slot(key: &[u8]) -> u16 {
    let open = key.iter().position(|b| *b == b'{').map_or(0, |i| i + 1);
    let close = key.iter().position(|b| *b == b'}').unwrap_or(key.len());
    crc16(key.get(open..close).unwrap_or(key)) % crate::model::cluster::SLOTS
}

/// The end of the line that begins at a place, or nothing yet.
fn line(buf: &[u8], from: usize) -> Option<(&[u8], usize)> {
    let len = buf.get(from..)?.windows(2).position(|w| w == b"\r\n")?;
    Some((&buf[from..from + len], from + len + 2))
}

fn number(text: &[u8]) -> Result<i64, ReadError> {
    std::str::from_utf8(text).ok().and_then(|t| t.parse().ok()).ok_or(ReadError::Malformed)
}

type Arguments = Vec<Vec<u8>>;

/// A whole command, and how long it is.
fn command(buf: &[u8]) -> Result<Option<(Arguments, usize)>, ReadError> {
    if buf.first().is_some_and(|b| *b != b'*') {
        return Err(ReadError::Malformed);
    }
    let Some((count, mut at)) = line(buf, 1) else { return Ok(None) };
    let mut arguments = Vec::new();
    for _ in 0..number(count)?.clamp(0, 1024) {
        let Some((len, body)) = line(buf, at + 1) else { return Ok(None) };
        if buf[at] != b'$' {
            return Err(ReadError::Malformed);
        }
        let len = usize::try_from(number(len)?).map_err(|_| ReadError::Malformed)?;
        let Some(argument) = buf.get(body..body + len + 2) else { return Ok(None) };
        arguments.push(argument[..len].to_vec());
        at = body + len + 2;
    }
    Ok(Some((arguments, at)))
}

/// What a client is told.
#[derive(Debug, PartialEq)]
pub enum RespAnswer {
    Value(Vec<u8>),
    Nil,
    Error(String),
}

fn answer(buf: &[u8]) -> Result<Option<(RespAnswer, usize)>, ReadError> {
    let Some((text, at)) = line(buf, 1) else { return Ok(None) };
    Ok(Some(match buf[0] {
        b'+' | b':' => (RespAnswer::Value(text.to_vec()), at),
        b'-' => (RespAnswer::Error(String::from_utf8_lossy(text).to_string()), at),
        b'$' => match usize::try_from(number(text)?) {
            Err(_) => (RespAnswer::Nil, at),
            Ok(len) => match buf.get(at..at + len + 2) {
                Some(body) => (RespAnswer::Value(body[..len].to_vec()), at + len + 2),
                None => return Ok(None),
            },
        },
        _ => return Err(ReadError::Malformed),
    }))
}

async fn read<T>(
    conn: &mut Connection,
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, ReadError>,
) -> Result<T, ReadError> {
    loop {
        if !conn.buffered.is_empty()
            && let Some((read, len)) = parse(&conn.buffered)?
        {
            conn.buffered.drain(..len);
            return Ok(read);
        }
        let partial = !conn.buffered.is_empty();
        if conn.buffered.len() > MAX_MESSAGE || !matches!(conn.fill().await, Ok(1..)) {
            return Err(if partial { ReadError::Truncated } else { ReadError::Closed });
        }
    }
}

pub async fn read_command(conn: &mut Connection) -> Result<Arguments, ReadError> {
    read(conn, command).await
}

pub async fn read_answer(conn: &mut Connection) -> Result<RespAnswer, ReadError> {
    read(conn, answer).await
}

pub fn encode_command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    arguments.iter().for_each(|w| out.extend(bulk(w)));
    out
}

pub fn bulk(body: &[u8]) -> Vec<u8> {
    [format!("${}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
}

impl RespAnswer {
    /// The same as a status of HTTP, by which the testbed counts; and when to return, where that is told.
    pub fn status(&self) -> (u16, Option<Micros>) {
        match self {
            RespAnswer::Value(_) => (200, None),
            RespAnswer::Nil => (404, None),
            RespAnswer::Error(text) => match text.split(' ').next() {
                Some("TRYAGAIN" | "CLUSTERDOWN" | "LOADING") => {
                    let arguments: Vec<&str> = text.split(' ').collect();
                    let ms =
                        arguments.windows(2).find(|w| w[1] == "ms").and_then(|w| w[0].parse::<u64>().ok());
                    (503, ms.map(|ms| ms * MILLI))
                }
                Some("ERR") if text.starts_with("ERR abandoned") => (500, None),
                _ => (400, None),
            },
        }
    }
}

#[cfg(test)]
mod tests;
