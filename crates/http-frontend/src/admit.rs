//! Stage "admit": determines what a message requests. A request is accepted only if it names a
//! known namespace, has time left, and has a correlation id that no other open request uses.

use crate::decimal::parse_seconds;
use crate::frontend::Frontend;
use crate::request::{HttpRequest, attributes_of, path_of};
use chalkwalk_balancer::admission::may_start_request;
use chalkwalk_engine::classes::ClassLimits;
use chalkwalk_http1::Message;
use chalkwalk_time::Timestamp;
use smol::Async;
use std::net::TcpStream;
use std::ops::Range;
use std::rc::Rc;

/// The header fields that determine how a request is handled. Each may occur at most once.
const SINGLETON_FIELDS: [&str; 5] =
    ["Host", "X-Correlation-Id", "X-Service-Class", "X-Time-Left", "Idempotency-Key"];

/// The path at which a load balancer in front of the proxy checks whether the proxy is ready.
const READINESS_PATH: &str = "/up";

/// What a message requests.
pub(crate) enum Admitted {
    Request(Rc<HttpRequest>),
    /// Whether the proxy is ready.
    Readiness {
        ready: bool,
    },
}

/// Why a message is not accepted as a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmitError {
    /// The method is neither GET nor PUT.
    MethodNotAllowed,
    /// The `X-Service-Class` field is missing.
    NoServiceClass,
    /// A header field is missing, malformed or duplicated, or names an unknown namespace.
    InvalidHeaderField,
    /// The body is longer than the request class allows.
    BodyTooLong,
    /// The request's time has run out, or the proxy's response deadline during shutdown has passed.
    Expired,
    /// Another request has the same correlation id: it is open, or may have run a moment ago.
    IdInUse,
}

impl AdmitError {
    /// The HTTP status code of the reply.
    pub fn status(self) -> u16 {
        match self {
            AdmitError::MethodNotAllowed => 405,
            AdmitError::NoServiceClass => 404,
            AdmitError::InvalidHeaderField => 400,
            AdmitError::BodyTooLong => 413,
            AdmitError::Expired => 408,
            AdmitError::IdInUse => 409,
        }
    }
}

/// Determines what a message requests. The time limit of a request starts at its arrival,
/// `received_at`.
pub(crate) fn admit(
    frontend: &Rc<Frontend>,
    message: Message,
    received_at: Timestamp,
    client_stream: &Rc<Async<TcpStream>>,
) -> Result<Admitted, AdmitError> {
    let method = message.text(&message.method);
    if path_of(&message) == READINESS_PATH && method == "GET" {
        return Ok(Admitted::Readiness { ready: frontend.engine.lifecycle.is_ready() });
    }
    if !matches!(method, "GET" | "PUT") {
        return Err(AdmitError::MethodNotAllowed);
    }
    let is_write = method == "PUT";
    admit_request(frontend, message, is_write, received_at, client_stream).map(Admitted::Request)
}

fn admit_request(
    frontend: &Rc<Frontend>,
    message: Message,
    is_write: bool,
    received_at: Timestamp,
    client_stream: &Rc<Async<TcpStream>>,
) -> Result<Rc<HttpRequest>, AdmitError> {
    let engine = &frontend.engine;
    let namespace = namespace_of(frontend, &message)?;
    if message.has_duplicate(&SINGLETON_FIELDS) {
        return Err(AdmitError::InvalidHeaderField);
    }
    let time_left =
        message.header("X-Time-Left").and_then(parse_seconds).ok_or(AdmitError::InvalidHeaderField)?;
    let ClassLimits { class, time_limit, max_body_bytes } =
        engine.classes.find(attributes_of(&message, namespace));
    if message.body.len() as u64 > max_body_bytes {
        return Err(AdmitError::BodyTooLong);
    }
    let expires_at = received_at + time_left.min(time_limit);
    let expires_at = may_start_request(engine.clock.now(), expires_at, engine.response_deadline());
    let expires_at = expires_at.ok_or(AdmitError::Expired)?;
    let id = message.header_bytes("X-Correlation-Id").unwrap_or_default();
    let is_replayable = engine.classes.is_replayable(namespace);
    let open_id = frontend.request_ids.claim(id, is_replayable).ok_or(AdmitError::IdInUse)?;
    Ok(Rc::new(HttpRequest {
        frontend: frontend.clone(),
        key: key_range(&message),
        namespace,
        class,
        settings_generation: engine.classes.generation(),
        is_write,
        received_at,
        expires_at,
        message,
        client_stream: Rc::downgrade(client_stream),
        open_id,
    }))
}

/// The index of the namespace that a message names. Fails also if the message has no correlation
/// id.
fn namespace_of(frontend: &Frontend, message: &Message) -> Result<usize, AdmitError> {
    let name = message.header("X-Service-Class").ok_or(AdmitError::NoServiceClass)?;
    if message.header("X-Correlation-Id").is_none_or(str::is_empty) {
        return Err(AdmitError::InvalidHeaderField);
    }
    frontend.namespace_index(name).ok_or(AdmitError::InvalidHeaderField)
}

/// The range of the key in a message's buffer: the last segment of the path.
fn key_range(message: &Message) -> Range<usize> {
    let path = path_of(message);
    let start = path.rfind('/').map_or(0, |slash| slash + 1);
    message.target.start + start..message.target.start + path.len()
}
