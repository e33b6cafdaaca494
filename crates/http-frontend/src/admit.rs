//! Stage "admit": what a message asks for. A request is taken only with a known namespace and time left.

use crate::door::{Frontend, OpenId};
use crate::relay::Reply;
use chalkwalk_balancer::admission::may_start;
use chalkwalk_engine::classes::ClassLimits;
use chalkwalk_http1::Message;
use chalkwalk_limits::RequestAttributes;
use chalkwalk_time::{Span, Timestamp};
use smol::Async;
use std::net::TcpStream;
use std::ops::Range;
use std::rc::{Rc, Weak};

/// What a request is told by, each once.
const KEY_FIELDS: [&str; 5] =
    ["Host", "X-Correlation-Id", "X-Service-Class", "X-Time-Left", "Idempotency-Key"];

/// The name by which an operator's routes know this door.
pub const FRONTEND_NAME: &str = "http";

/// Whose request it is, where that is told.
fn tenant(message: &Message) -> &str {
    let facts = message.header("X-Facts").unwrap_or("");
    facts.split(',').find_map(|fact| fact.trim().strip_prefix("tenant=")).unwrap_or("")
}

/// A request as taken, with the message it came in.
pub struct HttpRequest {
    pub door: Rc<Frontend>,
    pub message: Message,
    pub key: Range<usize>,
    pub ns: usize,
    pub class: usize,
    pub generation: u64, // of the settings that its class is of
    pub write: bool,
    pub taken: Timestamp,
    pub expires: Timestamp,
    /// Its client's connection, while that is served.
    pub client: Weak<Async<TcpStream>>,
    _open: OpenId,
}

/// The request, whose time counts from when it came, or the answer to what is none: a 4xx to what is wrong, after
/// which the connection is closed.
pub fn admit(
    door: &Rc<Frontend>,
    message: Message,
    came: Timestamp,
    client: &Rc<Async<TcpStream>>,
) -> Result<HttpRequest, Reply> {
    let wrong = |status| Err(Reply::bare(status));
    let engine = &door.engine;
    let target = message.text(&message.target);
    let path = target.split('?').next().unwrap_or("");
    let method = message.text(&message.method);
    if path == "/up" && method == "GET" {
        return wrong(if engine.lifecycle.is_ready() { 200 } else { 503 });
    }
    if !matches!(method, "GET" | "PUT") {
        return wrong(405);
    }
    let Some(namespace) = message.header("X-Service-Class") else { return wrong(404) };
    if message.header("X-Correlation-Id").is_none_or(str::is_empty) {
        return wrong(400);
    }
    let Some(ns) = door.namespaces.borrow().iter().position(|n| n == namespace) else {
        return wrong(400);
    };
    if message.has_duplicate(&KEY_FIELDS) {
        return wrong(400);
    }
    let Some(left) = message.header("X-Time-Left").and_then(time_left) else { return wrong(400) };
    let place = RequestAttributes { namespace: ns, path, tenant: tenant(&message), frontend: FRONTEND_NAME };
    let ClassLimits { class, time_limit, longest_body } = engine.classes.find(place);
    if message.body.len() as u64 > longest_body {
        return wrong(413);
    }
    let expires = may_start(engine.clock.now(), came + left.min(time_limit), engine.response_deadline());
    let Some(expires) = expires else { return wrong(408) };
    let start = message.target.start + path.rfind('/').map_or(0, |slash| slash + 1);
    let key = start..message.target.start + path.len();
    let write = method == "PUT";
    let id = message.header_bytes("X-Correlation-Id").unwrap_or_default().to_vec();
    let Some(open) = door.open_ids.open(id) else { return wrong(409) };
    let generation = engine.classes.generation();
    Ok(HttpRequest {
        door: door.clone(),
        key,
        ns,
        class,
        generation,
        write,
        taken: came,
        expires,
        message,
        client: Rc::downgrade(client),
        _open: open,
    })
}

impl HttpRequest {
    pub fn place(&self) -> RequestAttributes<'_> {
        let target = self.message.text(&self.message.target);
        let path = target.split('?').next().unwrap_or("");
        RequestAttributes { namespace: self.ns, path, tenant: tenant(&self.message), frontend: FRONTEND_NAME }
    }
}

/// Timestamp from seconds in plain decimals, nine places before the point at most: thirty years.
fn time_left(said: &str) -> Option<Span> {
    let (whole, part) = said.split_once('.').unwrap_or((said, "0"));
    let plain = |digits: &str| !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    let seconds = (plain(whole) && plain(part) && whole.len() <= 9).then(|| said.parse::<f64>().ok())??;
    Some(Span::from_ticks((seconds * 1e4) as u64)).filter(|span| !span.is_zero())
}
