//! One operator call: reading it from its connection, running it and writing the response.

use crate::{ControlOutcome, ProxyControl};
use chalkwalk_http1::{HttpError, MAX_HEAD_BYTES, RequestLimits, read_request, reason_phrase};
use chalkwalk_sockets::{MessageMemory, read_more, with_deadline, write_all};
use percent_encoding::percent_decode_str;
use smol::Async;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a caller has, from the accept on, to send its whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum length of a call's body. No call needs a body.
const MAX_BODY_BYTES: usize = 1024;
/// The memory that one call may hold: a long head, with the last read past its end.
const MAX_CALL_BYTES: usize = 2 * MAX_HEAD_BYTES;

/// The method and target of a call, as the caller sent them.
pub struct Call {
    method: String,
    target: String,
}

/// The HTTP response to a call: its status code and its plain-text body.
pub struct Response {
    status: u16,
    body: &'static str,
}

/// The operation that a call requests.
enum Operation {
    CheckReady,
    SetServerDisabled { id: String, disabled: bool },
    SetOutOfService { out_of_service: bool },
}

impl From<HttpError> for Response {
    fn from(error: HttpError) -> Response {
        Response { status: error.status(), body: "" }
    }
}

impl From<ControlOutcome> for Response {
    fn from(outcome: ControlOutcome) -> Response {
        let (status, body) = match outcome {
            ControlOutcome::Done => (200, "yes\n"),
            ControlOutcome::NotReady => (503, "no\n"),
            ControlOutcome::UnknownServer => (404, "nobody has that id\n"),
            ControlOutcome::NotPersisted => (500, "not done: it could not be kept\n"),
        };
        Response { status, body }
    }
}

/// Reads the only call of a connection.
pub async fn read_call(stream: &Async<TcpStream>) -> Result<Call, HttpError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let memory = MessageMemory::with_shares(MAX_CALL_BYTES, 0);
    let limits = RequestLimits { head_deadline: deadline, max_body_bytes: MAX_BODY_BYTES, memory: &memory };
    let mut unread = Vec::new();
    let request = read_request(stream, &mut unread, limits);
    let request = with_deadline(deadline, request).await.unwrap_or(Err(HttpError::Timeout))?;
    Ok(Call {
        method: request.text(&request.method).to_string(),
        target: request.text(&request.target).to_string(),
    })
}

/// Runs a call and returns its response, or an error response if the call is invalid.
pub async fn run_call(control: Rc<dyn ProxyControl>, call: &Call) -> Response {
    let outcome = match operation(call) {
        Ok(Operation::CheckReady) => control.check_ready(),
        Ok(Operation::SetServerDisabled { id, disabled }) => control.set_server_disabled(id, disabled),
        Ok(Operation::SetOutOfService { out_of_service }) => control.set_out_of_service(out_of_service),
        Err(error_response) => return error_response,
    };
    outcome.await.into()
}

/// Parses the operation from the call's path and method; an invalid call gets an error response.
fn operation(call: &Call) -> Result<Operation, Response> {
    let path = call.target.split('?').next().unwrap_or("");
    let segments: Vec<&str> = path.strip_prefix("/control/").unwrap_or("").split('/').collect();
    let (method, operation) = match segments[..] {
        ["ready"] => ("GET", Operation::CheckReady),
        ["out-of-service"] => ("POST", Operation::SetOutOfService { out_of_service: true }),
        ["in-service"] => ("POST", Operation::SetOutOfService { out_of_service: false }),
        ["cache-nodes", id, state @ ("offline" | "online")] => {
            let id = server_id(id).ok_or(Response { status: 400, body: "an id that makes no sense\n" })?;
            ("POST", Operation::SetServerDisabled { id, disabled: state == "offline" })
        }
        _ => return Err(Response { status: 404, body: "no such call\n" }),
    };
    if call.method == method {
        Ok(operation)
    } else {
        Err(Response { status: 405, body: "another method\n" })
    }
}

/// Decodes a server's id from a segment of the path: percent-encoded UTF-8, and not empty.
fn server_id(segment: &str) -> Option<String> {
    let id = percent_decode_str(segment).decode_utf8().ok()?;
    (!id.is_empty()).then(|| id.into_owned())
}

/// Writes the response and ends the connection. Further bytes from the caller are read and
/// discarded until the caller closes: closing a socket that holds unread bytes resets the
/// connection, and the caller would lose the response.
pub async fn write_response(stream: &Async<TcpStream>, response: &Response) {
    let Response { status, body } = response;
    let text = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        reason_phrase(*status),
        body.len()
    );
    if write_all(stream, &[text.as_bytes()]).await.is_err() {
        return;
    }
    _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut discarded = Vec::new();
    while let Ok(1..) = read_more(stream, &mut discarded).await {
        discarded.clear();
    }
}
