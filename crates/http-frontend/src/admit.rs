//! Stage "admit": what a message asks for. A request is accepted only with a known namespace, time
//! left, and an id of its own.

use crate::decimal::parse_seconds;
use crate::frontend::Frontend;
use crate::request::{HttpRequest, attributes_of, path_of};
use chalkwalk_balancer::admission::may_start;
use chalkwalk_engine::classes::ClassLimits;
use chalkwalk_http1::Message;
use chalkwalk_time::Timestamp;
use smol::Async;
use std::net::TcpStream;
use std::ops::Range;
use std::rc::Rc;

/// The fields that decide on a request, which may come once each.
const SINGLE_FIELDS: [&str; 5] =
    ["Host", "X-Correlation-Id", "X-Service-Class", "X-Time-Left", "Idempotency-Key"];

/// Where a load balancer in front checks whether the proxy is ready.
const READINESS_PATH: &str = "/up";

/// What a message asks for.
pub(crate) enum Admitted {
    Request(Rc<HttpRequest>),
    /// Whether the proxy is ready.
    Readiness {
        ready: bool,
    },
}

/// Why a message is no request that can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmitError {
    /// The method is neither GET nor PUT.
    MethodNotAllowed,
    /// No service class is named.
    NoServiceClass,
    /// A field is missing, malformed, unknown or there twice.
    BadField,
    /// The body is longer than the class allows.
    BodyTooLong,
    /// The time for the request is over.
    Expired,
    /// Another request with this id is open.
    IdInUse,
}

impl AdmitError {
    /// The HTTP status that it is answered with.
    pub fn status(self) -> u16 {
        match self {
            AdmitError::MethodNotAllowed => 405,
            AdmitError::NoServiceClass => 404,
            AdmitError::BadField => 400,
            AdmitError::BodyTooLong => 413,
            AdmitError::Expired => 408,
            AdmitError::IdInUse => 409,
        }
    }
}

/// Reads what a message asks for. The time of a request counts from its arrival at `received_at`.
pub(crate) fn admit(
    frontend: &Rc<Frontend>,
    message: Message,
    received_at: Timestamp,
    client: &Rc<Async<TcpStream>>,
) -> Result<Admitted, AdmitError> {
    let method = message.text(&message.method);
    if path_of(&message) == READINESS_PATH && method == "GET" {
        return Ok(Admitted::Readiness { ready: frontend.engine.lifecycle.is_ready() });
    }
    if !matches!(method, "GET" | "PUT") {
        return Err(AdmitError::MethodNotAllowed);
    }
    let write = method == "PUT";
    admit_request(frontend, message, write, received_at, client).map(Admitted::Request)
}

fn admit_request(
    frontend: &Rc<Frontend>,
    message: Message,
    write: bool,
    received_at: Timestamp,
    client: &Rc<Async<TcpStream>>,
) -> Result<Rc<HttpRequest>, AdmitError> {
    let engine = &frontend.engine;
    let namespace = namespace_of(frontend, &message)?;
    if message.has_duplicate(&SINGLE_FIELDS) {
        return Err(AdmitError::BadField);
    }
    let time_left = message.header("X-Time-Left").and_then(parse_seconds).ok_or(AdmitError::BadField)?;
    let ClassLimits { class, time_limit, longest_body } =
        engine.classes.find(attributes_of(&message, namespace));
    if message.body.len() as u64 > longest_body {
        return Err(AdmitError::BodyTooLong);
    }
    let expires = received_at + time_left.min(time_limit);
    let expires = may_start(engine.clock.now(), expires, engine.response_deadline());
    let expires = expires.ok_or(AdmitError::Expired)?;
    let id = message.header_bytes("X-Correlation-Id").unwrap_or_default().to_vec();
    let open = frontend.open_ids.open(id).ok_or(AdmitError::IdInUse)?;
    Ok(Rc::new(HttpRequest {
        frontend: frontend.clone(),
        key: key_range(&message),
        namespace,
        class,
        generation: engine.classes.generation(),
        write,
        received_at,
        expires,
        message,
        client: Rc::downgrade(client),
        _open: open,
    }))
}

/// The namespace that a message names; it must have a correlation id as well.
fn namespace_of(frontend: &Frontend, message: &Message) -> Result<usize, AdmitError> {
    let name = message.header("X-Service-Class").ok_or(AdmitError::NoServiceClass)?;
    if message.header("X-Correlation-Id").is_none_or(str::is_empty) {
        return Err(AdmitError::BadField);
    }
    frontend.namespace(name).ok_or(AdmitError::BadField)
}

/// Where the key is in a message: the last segment of its path.
fn key_range(message: &Message) -> Range<usize> {
    let path = path_of(message);
    let start = path.rfind('/').map_or(0, |slash| slash + 1);
    message.target.start + start..message.target.start + path.len()
}
