//! HTTP/1.1 framing, once for all peers: heads parsed in place, gathered writes, lengths and chunks (RFC 9112). It may use
//! the sockets of `net`; what a message means never enters it.

mod body;
mod error;

pub use body::{Body, ResponseReader};
pub use error::HttpError;

use chalkwalk_sockets::{
    MemoryBudget, MemoryReservation, read_more, read_up_to, wait_until, within, write_all,
};
use smol::{Async, Timer};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::time::{Duration, Instant};

/// The longest head: twice what common servers take by default is no use to anyone on this protocol.
pub const MAX_HEAD: usize = 16 << 10;
/// The longest body that is ordinary, as the platform's protocol has it: read whole without further ado.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;
/// The longest of all.
pub const MAX_BODY: usize = 32 << 20;
/// What is read at once of a body, in bytes.
const MOST_READ: usize = 16 << 10;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Form {
    Length(usize),
    Chunked,
    ToTheEnd,
}

/// A message read whole: where its parts stand in its buffer.
#[derive(Default)]
pub struct Message {
    pub buf: Vec<u8>,
    pub method: Range<usize>,
    pub target: Range<usize>,
    pub status: u16,
    pub body: Range<usize>,
    pub close: bool,
    /// Of HTTP/1.0, which knows no chunks.
    pub is_http10: bool,
    /// Its part of the room for long bodies.
    pub reservations: Vec<MemoryReservation>,
    fields: Vec<(Range<usize>, Range<usize>)>,
}

impl Message {
    pub fn slice(&self, at: &Range<usize>) -> &[u8] {
        &self.buf[at.clone()]
    }

    pub fn text(&self, at: &Range<usize>) -> &str {
        std::str::from_utf8(self.slice(at)).unwrap_or("")
    }

    fn all(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let named = move |(n, _): &&(Range<usize>, Range<usize>)| self.text(n).eq_ignore_ascii_case(name);
        self.fields.iter().filter(named).map(|(_, value)| self.slice(value))
    }

    pub fn header_bytes(&self, name: &str) -> Option<&[u8]> {
        self.all(name).next()
    }

    /// Whether one of these fields is there more than once: who reads the first is told something else than who
    /// reads the last.
    pub fn has_duplicate(&self, names: &[&str]) -> bool {
        names.iter().any(|name| self.all(name).nth(1).is_some())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.header_bytes(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }
}

/// Where a part of the buffer stands in it. An empty one may have come from anywhere.
fn place_of(buf: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).wrapping_sub(buf.as_ptr() as usize);
    if part.is_empty() { 0..0 } else { start..start + part.len() }
}

pub(crate) struct Head {
    pub message: Message,
    pub len: usize,
    pub form: Form,
    pub interim: bool,
    waits: bool,
}

fn fields_of(buf: &[u8], headers: &[httparse::Header]) -> Vec<(Range<usize>, Range<usize>)> {
    headers.iter().map(|h| (place_of(buf, h.name.as_bytes()), place_of(buf, h.value))).collect()
}

/// A head at the start of the buffer, or `None` while it is not whole.
pub(crate) fn head(buf: &[u8], question: bool, longest: usize) -> Result<Option<Head>, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; 64];
    let mut message = Message::default();
    let (len, minor);
    if question {
        let mut parsed = httparse::Request::new(&mut lines);
        match parsed.parse(buf) {
            Ok(httparse::Status::Complete(n)) => len = n,
            Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD => return Ok(None),
            Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
                return Err(HttpError::HeadTooLong);
            }
            Err(_) => return Err(HttpError::Malformed),
        }
        message.method = place_of(buf, parsed.method.unwrap_or("").as_bytes());
        message.target = place_of(buf, parsed.path.unwrap_or("").as_bytes());
        message.fields = fields_of(buf, parsed.headers);
        minor = parsed.version.unwrap_or(0);
    } else {
        let mut parsed = httparse::Response::new(&mut lines);
        match parsed.parse(buf) {
            Ok(httparse::Status::Complete(n)) => len = n,
            Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD => return Ok(None),
            _ => return Err(HttpError::BrokenResponse),
        }
        message.status = parsed.code.unwrap_or(0);
        message.fields = fields_of(buf, parsed.headers);
        minor = parsed.version.unwrap_or(0);
    }
    if len > MAX_HEAD {
        return Err(HttpError::HeadTooLong);
    }
    let said = |(n, v): &(Range<usize>, Range<usize>)| {
        let part = |r: &Range<usize>| String::from_utf8_lossy(&buf[r.clone()]).to_ascii_lowercase();
        (part(n), part(v))
    };
    let (mut lengths, mut chunked, mut waits) = (Vec::new(), false, false);
    (message.close, message.is_http10) = (minor == 0, minor == 0);
    for (name, value) in message.fields.iter().map(said) {
        match name.as_str() {
            "content-length" if value.bytes().all(|b| b.is_ascii_digit()) => {
                lengths.push(value.parse::<usize>().map_err(|_| HttpError::BodyTooLong)?);
            }
            "content-length" => return Err(HttpError::Malformed),
            "transfer-encoding" if value.trim() == "chunked" && !chunked => chunked = true,
            "transfer-encoding" => return Err(HttpError::Malformed),
            "connection" => message.close |= value.split(',').any(|w| w.trim() == "close"),
            "expect" => waits = value.trim() == "100-continue",
            _ => {}
        }
    }
    // Two ways to say where a message ends are how one is smuggled into another.
    if lengths.len() + usize::from(chunked) > 1 {
        return Err(HttpError::Malformed);
    }
    let interim = (100..200).contains(&message.status);
    let empty = interim || matches!(message.status, 204 | 304);
    let form = match lengths.first() {
        _ if empty => Form::Length(0),
        _ if chunked => Form::Chunked,
        Some(n) if *n > longest => return Err(HttpError::BodyTooLong),
        Some(n) => Form::Length(*n),
        None if question => Form::Length(0),
        // Cut short it would look whole: taken only from a side that says it closes.
        None if !message.close => return Err(HttpError::BrokenResponse),
        None => Form::ToTheEnd,
    };
    Ok(Some(Head { message, len, form, interim, waits }))
}

/// A head, past interim ones.
async fn head_of(
    stream: &Async<TcpStream>,
    rest: &mut Vec<u8>,
    question: bool,
    longest: usize,
) -> Result<Head, HttpError> {
    loop {
        if let Some(head) = head(rest, question, longest)? {
            if !head.interim {
                return Ok(head);
            }
            rest.drain(..head.len);
        } else if !matches!(read_more(stream, rest).await, Ok(1..)) {
            return Err(if question { HttpError::Malformed } else { HttpError::BrokenResponse });
        }
    }
}

/// How slowly a body may come: a client that writes 64 kB a second is served, with as much again to spare.
const SLOWEST_BODY: (Duration, u64) = (Duration::from_secs(2), 32_000);

/// How a question is taken.
pub struct RequestLimits<'a> {
    /// When its head has to be there.
    pub head_deadline: Instant,
    /// The longest body, in bytes.
    pub max_body: usize,
    /// For bodies of over 64 KiB: one is not read further while there is none.
    pub memory: &'a MemoryBudget,
}

/// A body waits for room no longer: its client is better told to come again.
const ROOM: Duration = Duration::from_secs(10);
/// How often room is asked for: short beside what a long body takes to come.
const ASK_ROOM: Duration = Duration::from_millis(5);

async fn room_for(room: &MemoryBudget, bytes: usize) -> Result<MemoryReservation, HttpError> {
    let wait = async {
        loop {
            match room.try_reserve(bytes) {
                Some(held) => return held,
                None => _ = Timer::after(ASK_ROOM).await,
            }
        }
    };
    if bytes > room.capacity() {
        return Err(HttpError::BodyTooLong);
    }
    within(ROOM, wait).await.ok_or(HttpError::NoMemory)
}

/// Takes one message whole off the stream; `rest` holds what was read ahead, before and after. A question's body comes no
/// slower than is stated above; of an answer the caller keeps the time.
async fn message(
    stream: &Async<TcpStream>,
    rest: &mut Vec<u8>,
    question: Option<RequestLimits<'_>>,
    longest: usize,
) -> Result<Message, HttpError> {
    let broken = if question.is_some() { HttpError::Malformed } else { HttpError::BrokenResponse };
    let head = head_of(stream, rest, question.is_some(), longest);
    let head = match &question {
        Some(taking) => wait_until(taking.head_deadline, head).await.unwrap_or(Err(HttpError::Timeout))?,
        None => head.await?,
    };
    let Head { mut message, len, form, waits, .. } = head;
    let behind = rest.split_off(len);
    message.buf = std::mem::replace(rest, behind);
    if let (Some(taking), Form::Length(n)) = (&question, form) {
        if n > MAX_BUFFERED_BODY {
            message.reservations.push(room_for(taking.memory, n).await?);
        }
        message.buf.reserve_exact(n);
    }
    if waits && question.is_some() && rest.is_empty() {
        write_all(stream, &[b"HTTP/1.1 100 Continue\r\n\r\n"]).await.map_err(|_| broken)?;
    }
    let (mut begun, mut body, mut room) = (Instant::now(), Body::new(form), MAX_BUFFERED_BODY);
    loop {
        let part = body.take(rest)?;
        message.buf.extend_from_slice(&part);
        let taken = message.buf.len() - len;
        if (taken as u64).saturating_add(body.announced()) > longest as u64 {
            return Err(HttpError::BodyTooLong);
        }
        if body.ended() {
            message.body = len..len + taken;
            return Ok(message);
        }
        if !part.is_empty() {
            continue;
        }
        let Some(taking) = &question else {
            match read_more(stream, rest).await {
                Ok(0) if form == Form::ToTheEnd => body.close(),
                Ok(1..) => {}
                _ => return Err(broken),
            }
            continue;
        };
        if form == Form::Chunked && taken > room {
            // Twice what is there, as a buffer grows by doubling.
            let asked = Instant::now();
            message.reservations.push(room_for(taking.memory, 2 * room).await?);
            room *= 2;
            begun += asked.elapsed(); // the client wasn't slow meanwhile
        }
        let (grace, pace) = SLOWEST_BODY;
        let due = begun + grace + Duration::from_millis(1000 * taken as u64 / pace);
        match wait_until(due, read_up_to(stream, rest, MOST_READ)).await {
            Some(Ok(1..)) => {}
            Some(_) => return Err(broken),
            None => return Err(HttpError::Timeout),
        }
    }
}

/// A question, taken whole.
pub async fn read_request(
    stream: &Async<TcpStream>,
    rest: &mut Vec<u8>,
    taking: RequestLimits<'_>,
) -> Result<Message, HttpError> {
    let longest = taking.max_body;
    message(stream, rest, Some(taking), longest).await
}

/// The answer to what was just written; the connection is not for more if anything came beyond it.
async fn answer(stream: &Async<TcpStream>, longest: usize) -> Result<Message, HttpError> {
    let mut rest = Vec::new();
    let mut answer = message(stream, &mut rest, None, longest).await?;
    answer.close |= !rest.is_empty();
    Ok(answer)
}

/// The words beside a status, for those that are answered here.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}

/// Asks for something; the answer is still to be taken.
pub async fn send_get(stream: &Async<TcpStream>, addr: SocketAddr, target: &str) -> io::Result<()> {
    let host = addr.to_string();
    let parts: [&[u8]; 5] =
        [b"GET ", target.as_bytes(), b" HTTP/1.1\r\nHost: ", host.as_bytes(), b"\r\n\r\n"];
    write_all(stream, &parts).await
}

/// Asks for something and takes the answer.
pub async fn get(
    stream: &Async<TcpStream>,
    addr: SocketAddr,
    target: &str,
    longest: usize,
) -> Result<Message, String> {
    send_get(stream, addr, target).await.map_err(|e| format!("not written: {e}"))?;
    answer(stream, longest).await.map_err(|_| "a broken answer".to_string())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;
    use std::net::TcpListener;

    /// A body that waited for room for longer than a slow client may take is taken all the same.
    #[test]
    fn waiting_for_room_is_no_slowness_of_the_client() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let stream = Async::new(listener.accept().unwrap().0).unwrap();
        let (room, mut rest) = (MemoryBudget::new(1 << 20), Vec::new());
        let taken = room.try_reserve(1 << 20);
        let writing = std::thread::spawn(move || {
            let chunk = format!("10000\r\n{}\r\n", "v".repeat(1 << 16));
            let head = "PUT /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
            client.write_all(format!("{head}{chunk}1\r\nv\r\n").as_bytes()).unwrap();
            std::thread::sleep(SLOWEST_BODY.0 * 5 / 2 + Duration::from_millis(200));
            client.write_all(format!("{chunk}0\r\n\r\n").as_bytes()).unwrap();
            client
        });
        let taking =
            RequestLimits { head_deadline: Instant::now() + ROOM, max_body: MAX_BODY, memory: &room };
        let freed = async {
            Timer::after(SLOWEST_BODY.0 * 5 / 2).await;
            drop(taken);
        };
        let both = smol::future::zip(read_request(&stream, &mut rest, taking), freed);
        let length = smol::block_on(both).0.map(|message| message.body.len());
        assert_eq!(length, Ok(2 * 65_536 + 1));
        drop(writing.join());
    }
}
