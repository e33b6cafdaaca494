//! A request that this frontend has accepted: how it is written to a server, and how the server's
//! reply is interpreted.

use crate::arguments::Arguments;
use crate::connection::ClientPresence;
use crate::frontend::{FRONTEND_NAME, Frontend};
use crate::long_reply::LongReply;
use crate::server_reply::{ReplyStart, ServerReply};
use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_balancer::admission::may_start_request;
use chalkwalk_engine::classes::ClassLimits;
use chalkwalk_engine::response::{BoxFuture, ClientRequest, Response, ResponseStatus, ServerResponse};
use chalkwalk_limits::RequestAttributes;
use chalkwalk_slot_map::{ErrorMeaning, RequestRoute, classify_error};
use chalkwalk_sockets::{MessageReservation, write_all};
use chalkwalk_time::{Span, Timestamp};
use smol::Async;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use thiserror::Error;

/// Commands up to this length are accepted in every request class. The limit of a class applies to
/// the body of a request, and a short command has none.
const MIN_COMMAND_LIMIT_BYTES: u64 = 64;
/// Allows the next command, and only that one, to access a slot that the server imports.
const ASKING: &[u8] = b"*1\r\n$6\r\nASKING\r\n";
/// Allows reads from a replica on this connection.
const READONLY: &[u8] = b"*1\r\n$8\r\nREADONLY\r\n";

/// A command from a client, with keys in one slot.
pub struct NewRequest<'a> {
    /// The arguments of the command.
    pub arguments: Arguments,
    /// The keys, at least one.
    pub keys: &'a [String],
    /// The slot of the keys.
    pub slot: u16,
    /// Whether the command writes.
    pub write: bool,
    /// The user that sent the command.
    pub user: &'a str,
    /// The client, while its connection is served.
    pub client: Weak<ClientPresence>,
    /// Whether a long reply may be forwarded while it arrives. The replies to the parts of a split
    /// command are merged, and so read whole.
    pub may_stream: bool,
}

/// Why a command is not accepted as a request. The text is the error reply to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The command is longer than its request class allows.
    #[error("ERR the command is longer than its class allows")]
    TooLong,
    /// The keys are in namespaces of which none keeps the guarantees of all others.
    #[error("ERR no namespace of the keys keeps the guarantees of all others")]
    ConflictingNamespaces,
}

/// How a command is treated. The namespace is the one that keeps the guarantees of the namespaces of
/// all keys.
pub struct RequestTerms {
    /// The first key in the namespace.
    deciding_key: String,
    namespace: usize,
    limits: ClassLimits,
    /// Whether replicas may answer the command.
    allow_stale_reads: bool,
}

impl RequestTerms {
    /// Determines the terms of a command of `byte_len` bytes with these keys, which a user sent.
    pub fn find(
        frontend: &Frontend,
        keys: &[String],
        write: bool,
        user: &str,
        byte_len: usize,
    ) -> Result<RequestTerms, RequestError> {
        let settings = &frontend.settings;
        let classes = &frontend.engine.classes;
        let namespaces: Vec<usize> =
            keys.iter().map(|key| settings.namespace_of(key.as_bytes(), write)).collect();
        let namespace =
            classes.strictest_namespace(&namespaces).ok_or(RequestError::ConflictingNamespaces)?;
        let index = namespaces.iter().position(|other| *other == namespace).unwrap_or(0);
        let deciding_key = keys[index].clone();
        let limits = classes.find(attributes(namespace, &deciding_key, user));
        if byte_len as u64 > limits.max_body_bytes.max(MIN_COMMAND_LIMIT_BYTES) {
            return Err(RequestError::TooLong);
        }
        let allow_stale_reads = !write && settings.replicas_may_answer(&namespaces);
        Ok(RequestTerms { deciding_key, namespace, limits, allow_stale_reads })
    }
}

/// A request that the engine routes.
pub struct RespRequest {
    /// The frontend that accepted the request.
    pub(crate) frontend: Rc<Frontend>,
    /// The command in the form that servers accept.
    command: Vec<u8>,
    /// The key that determines the namespace and, with the user, the request class.
    deciding_key: String,
    /// The key by which the balancer orders requests.
    order_key: String,
    /// The index of the namespace that the settings assign to the key.
    namespace: usize,
    /// The request class whose limits apply.
    class: usize,
    write: bool,
    /// The user that sent the command.
    user: String,
    /// The client, while its connection is served.
    client: Weak<ClientPresence>,
    /// Whether a long reply may be forwarded while it arrives.
    may_stream: bool,
    /// The memory for the command.
    _reservation: Option<Rc<MessageReservation>>,
    received_at: Timestamp,
    expires_at: Timestamp,
    route: RefCell<RequestRoute>,
    /// The servers at which the attempt began with `ASKING` or `READONLY`. The reply to that
    /// command precedes the reply to the request.
    prefixed_servers: RefCell<Vec<SocketAddr>>,
}

impl RespRequest {
    /// Creates a request with the limits of its request class.
    pub fn new(frontend: &Rc<Frontend>, new_request: NewRequest<'_>) -> Result<RespRequest, RequestError> {
        let NewRequest { arguments, keys, slot, write, user, client, may_stream } = new_request;
        let engine = &frontend.engine;
        let terms = RequestTerms::find(frontend, keys, write, user, arguments.byte_len())?;
        let RequestTerms { deciding_key, namespace, limits, allow_stale_reads } = terms;
        let order_key =
            if engine.classes.keeps_order(namespace) { slot_key(slot) } else { deciding_key.clone() };
        let received_at = engine.clock.earliest_arrival() - Span::from(arguments.waited);
        // A request whose deadline has passed is accepted here, and rejected by the balancer at
        // once.
        let deadline = may_start_request(
            engine.clock.now(),
            received_at + limits.time_limit,
            engine.response_deadline(),
        );
        Ok(RespRequest {
            frontend: frontend.clone(),
            _reservation: arguments.reservation(),
            command: arguments.into_resp(),
            deciding_key,
            order_key,
            namespace,
            class: limits.class,
            write,
            user: user.to_string(),
            client,
            may_stream,
            received_at,
            expires_at: deadline.unwrap_or(received_at),
            route: RefCell::new(RequestRoute::new(slot, allow_stale_reads)),
            prefixed_servers: RefCell::default(),
        })
    }

    /// The command with which an attempt at a server has to begin; empty if there is none.
    fn prefix(&self, server: SocketAddr) -> &'static [u8] {
        let route = self.route.borrow();
        if route.needs_asking(server) {
            ASKING
        } else if route.needs_readonly(server, &self.frontend.slot_map.borrow()) {
            READONLY
        } else {
            b""
        }
    }

    /// Records whether the attempt at a server began with a prefix.
    fn record_prefix(&self, server: SocketAddr, is_prefixed: bool) {
        let mut prefixed_servers = self.prefixed_servers.borrow_mut();
        prefixed_servers.retain(|other| *other != server);
        prefixed_servers.extend(is_prefixed.then_some(server));
    }

    /// Interprets a server's reply to the request.
    fn interpret(&self, server: SocketAddr, reply: ServerReply) -> ServerResponse {
        if let Some(outcome) = reply.error_text().and_then(|error| self.apply_error(&error, server)) {
            return without_response(outcome, reply.reusable);
        }
        let response = Response {
            status: ResponseStatus::Served,
            content_type: String::new(),
            body: reply.bytes,
            memory_reservation: reply.reservation,
            stream: None,
        };
        ServerResponse {
            outcome: AttemptOutcome::Completed,
            response: Some(response),
            reusable: reply.reusable,
            remaining_body: None,
        }
    }

    /// Applies an error to the route and the slot map. Returns the outcome of the attempt, or
    /// `None` if the error is the reply to the client.
    fn apply_error(&self, error: &str, server: SocketAddr) -> Option<AttemptOutcome> {
        let meaning = classify_error(error, server);
        let map_outdated =
            self.route.borrow_mut().on_error(&meaning, &mut self.frontend.slot_map.borrow_mut());
        if map_outdated {
            self.frontend.request_refresh();
        }
        match meaning {
            // The command has not run and is sent to another server. The redirection says nothing
            // about the health of this one.
            ErrorMeaning::Moved { .. } | ErrorMeaning::Ask { .. } => Some(AttemptOutcome::CacheMiss),
            ErrorMeaning::RetryLater | ErrorMeaning::MapOutdated => Some(AttemptOutcome::Overloaded),
            ErrorMeaning::Final => None,
        }
    }
}

/// The common order key of all commands in a slot. A command may have several keys, and commands that
/// share any of them share their slot.
fn slot_key(slot: u16) -> String {
    format!("slot {slot}")
}

fn attributes<'a>(namespace: usize, key: &'a str, user: &'a str) -> RequestAttributes<'a> {
    RequestAttributes { namespace, path: key, tenant: user, frontend: FRONTEND_NAME }
}

fn without_response(outcome: AttemptOutcome, reusable: bool) -> ServerResponse {
    ServerResponse { outcome, response: None, reusable, remaining_body: None }
}

/// The response to a request whose reply is forwarded while it arrives.
fn streamed_response(rest: LongReply, start: Vec<u8>) -> ServerResponse {
    ServerResponse {
        outcome: AttemptOutcome::Completed,
        response: Some(Response { body: start, ..Response::empty(ResponseStatus::Served) }),
        reusable: false,
        remaining_body: Some(Box::new(rest)),
    }
}

impl ClientRequest for RespRequest {
    fn class(&self) -> usize {
        self.class
    }

    fn attributes(&self) -> Option<RequestAttributes<'_>> {
        Some(attributes(self.namespace, &self.deciding_key, &self.user))
    }

    fn received_at(&self) -> Timestamp {
        self.received_at
    }

    fn key(&self) -> &str {
        &self.order_key
    }

    fn is_write(&self) -> bool {
        self.write
    }

    fn expires_at(&self) -> Timestamp {
        self.expires_at
    }

    /// A client that resets its connection has gone. One that ended its stream may wait for replies.
    fn client_is_waiting(&self) -> bool {
        self.client.upgrade().is_some_and(|client| !client.has_reset())
    }

    fn allowed_servers(&self) -> Option<Vec<SocketAddr>> {
        Some(self.route.borrow().candidates(&self.frontend.slot_map.borrow()))
    }

    fn attempt_ended(&self, outcome: AttemptOutcome) {
        if matches!(
            outcome,
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost | AttemptOutcome::TimedOut
        ) {
            // After an `ASK`, the next attempt goes to the owner again. The slot may have a new
            // owner by now, so the map is refreshed.
            self.route.borrow_mut().on_no_answer();
            self.frontend.request_refresh();
        }
    }

    fn write_to<'a>(
        &'a self,
        stream: &'a Async<TcpStream>,
        _time_left: Span,
    ) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let server = stream.get_ref().peer_addr()?;
            let prefix = self.prefix(server);
            self.record_prefix(server, !prefix.is_empty());
            write_all(stream, &[prefix, &self.command]).await
        })
    }

    fn read_response<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<ServerResponse>> {
        Box::pin(async move {
            let server = stream.get_ref().peer_addr().ok()?;
            let is_prefixed = self.prefixed_servers.borrow().contains(&server);
            let memory = &self.frontend.engine.message_memory;
            if !self.may_stream {
                let reply = ServerReply::read(stream, is_prefixed, memory).await?;
                return Some(self.interpret(server, reply));
            }
            match ServerReply::read_start(stream, is_prefixed, memory).await? {
                ReplyStart::Whole(reply) => Some(self.interpret(server, reply)),
                ReplyStart::Long { start, total_bytes } => {
                    Some(streamed_response(LongReply::new(total_bytes, &start, memory), start))
                }
            }
        })
    }
}
