//! Stage "admit": what a message asks for. A lookup is taken only with a known namespace and time left.

use crate::book::Answer;
use crate::http::{self, Message};
use crate::proxy::Proxy;
use chalkwalk_policy::Tenths;
use smol::Async;
use std::cell::RefCell;
use std::collections::HashSet;
use std::io;
use std::net::TcpStream;
use std::ops::Range;
use std::rc::Rc;

/// What a lookup is told by, each once.
const KEY_FIELDS: [&str; 5] =
    ["Host", "X-Correlation-Id", "X-Service-Class", "X-Time-Left", "Idempotency-Key"];

/// A lookup as taken, with the message it came in.
pub struct Ask {
    message: Message,
    key: Range<usize>,
    pub ns: usize,
    pub write: bool,
    pub expires: Tenths,
    _open: OpenId,
}

/// The lookup, whose time counts from when it came, or the answer to what is none: a 4xx to what is wrong, after
/// which the connection is closed.
pub fn admit(proxy: &Proxy, message: Message, came: Tenths) -> Result<Ask, Answer> {
    let wrong = |status| Err(Answer::bare(status));
    let target = message.word(&message.target);
    let path = target.split('?').next().unwrap_or("");
    let method = message.word(&message.method);
    if path == "/up" && method == "GET" {
        return wrong(if proxy.life.usable() { 200 } else { 503 });
    }
    if !matches!(method, "GET" | "PUT") {
        return wrong(405);
    }
    let Some(namespace) = message.field("X-Service-Class") else { return wrong(404) };
    if message.field("X-Correlation-Id").is_none_or(str::is_empty) {
        return wrong(400);
    }
    let Some(ns) = proxy.rules.house.namespaces.iter().position(|n| n == namespace) else {
        return wrong(400);
    };
    if message.doubled(&KEY_FIELDS) {
        return wrong(400);
    }
    let Some(left) = message.field("X-Time-Left").and_then(time_left) else { return wrong(400) };
    let mut expires = came + left.min(proxy.rules.time_limits[ns]);
    if let Some(last) = proxy.last_answer() {
        expires = expires.min(last);
    }
    if expires <= proxy.clock.now() {
        return wrong(408);
    }
    let start = message.target.start + path.rfind('/').map_or(0, |slash| slash + 1);
    let key = start..message.target.start + path.len();
    let write = method == "PUT";
    let id = message.bytes("X-Correlation-Id").unwrap_or_default().to_vec();
    let Some(open) = proxy.open_ids.open(id) else { return wrong(409) };
    Ok(Ask { key, ns, write, expires, message, _open: open })
}

/// Tenths from seconds in plain decimals, nine places before the point at most: thirty years.
fn time_left(said: &str) -> Option<Tenths> {
    let (whole, part) = said.split_once('.').unwrap_or((said, "0"));
    let plain = |digits: &str| !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    let seconds = (plain(whole) && plain(part) && whole.len() <= 9).then(|| said.parse::<f64>().ok())??;
    Some((seconds * 1e4) as Tenths).filter(|tenths| *tenths > 0)
}

/// The ids of the lookups that are open here. One that comes again meanwhile is not its owner's.
#[derive(Clone, Default)]
pub struct OpenIds(Rc<RefCell<HashSet<Vec<u8>>>>);

struct OpenId(OpenIds, Vec<u8>);

impl OpenIds {
    fn open(&self, id: Vec<u8>) -> Option<OpenId> {
        self.0.borrow_mut().insert(id.clone()).then(|| OpenId(self.clone(), id))
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.0.0.borrow_mut().remove(&self.1);
    }
}

impl Ask {
    pub fn key(&self) -> &str {
        self.message.word(&self.key)
    }

    /// Writes the lookup on to a cache as it came.
    pub async fn write_to(&self, stream: &Async<TcpStream>, time_left: &str) -> io::Result<()> {
        let m = &self.message;
        let mut parts: Vec<&[u8]> = vec![m.part(&m.method), b" ", m.part(&m.target), b" HTTP/1.1\r\n"];
        for name in ["Host", "X-Correlation-Id", "Idempotency-Key", "Content-Type"] {
            if let Some(value) = m.bytes(name) {
                parts.extend([name.as_bytes(), b": ", value, b"\r\n"]);
            }
        }
        parts.extend([&b"X-Time-Left: "[..], time_left.as_bytes(), b"\r\n"]);
        let length = m.body.len().to_string();
        if self.write || !m.body.is_empty() {
            parts.extend([&b"Content-Length: "[..], length.as_bytes(), b"\r\n"]);
        }
        parts.extend([&b"\r\n"[..], m.part(&m.body)]);
        http::write_all(stream, &parts).await
    }
}
