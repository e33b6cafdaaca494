//! A request as this frontend accepted it: how it is written to a server, and what the server's
//! reply means.

use crate::arguments::Arguments;
use crate::frontend::{FRONTEND_NAME, Frontend};
use crate::server_reply::ServerReply;
use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_balancer::admission::may_start;
use chalkwalk_engine::classes::ClassLimits;
use chalkwalk_engine::response::{BoxFuture, ClientRequest, Response, ResponseStatus, ServerResponse};
use chalkwalk_limits::RequestAttributes;
use chalkwalk_slot_map::{ErrorMeaning, RequestRoute, classify_error};
use chalkwalk_sockets::write_all;
use chalkwalk_time::{Span, Timestamp};
use smol::Async;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use thiserror::Error;

/// Replies up to so many bytes need no memory reservation, as those of an HTTP server.
const MAX_UNRESERVED: usize = 64 << 10;
/// Commands up to so many bytes are accepted by every class: a class's limit is on the body of a
/// request, which a short command does not have.
const MIN_COMMAND_LIMIT: u64 = 64;
/// Allows the one next command for a slot that the server imports.
const ASKING: &[u8] = b"*1\r\n$6\r\nASKING\r\n";
/// Allows reads from a replica on this connection.
const READONLY: &[u8] = b"*1\r\n$8\r\nREADONLY\r\n";

/// A command as it came, on keys of one slot.
pub struct NewRequest<'a> {
    /// The command.
    pub arguments: Arguments,
    /// Its first key, by which its class is found.
    pub key: &'a str,
    /// The slot of its keys.
    pub slot: u16,
    /// Whether it writes.
    pub write: bool,
    /// The user that sent it.
    pub user: &'a str,
}

/// A command is longer than the limit of its class; the text is the error that the client gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("ERR the command is longer than its class allows")]
pub struct TooLongForClass;

/// A request that the engine routes.
pub struct RespRequest {
    /// The frontend that accepted it.
    pub(crate) frontend: Rc<Frontend>,
    /// The command as servers accept it.
    command: Vec<u8>,
    key: String,
    /// The request class that the operator set for the key, by its index in the settings.
    namespace: usize,
    /// The class whose limits apply.
    class: usize,
    write: bool,
    /// The user that sent it.
    user: String,
    received_at: Timestamp,
    expires: Timestamp,
    route: RefCell<RequestRoute>,
    /// Servers whose attempt began with `ASKING` or `READONLY`, the reply to which comes first.
    prefixed: RefCell<Vec<SocketAddr>>,
}

impl RespRequest {
    /// A request under the limits of its class.
    pub fn new(frontend: &Rc<Frontend>, new: NewRequest<'_>) -> Result<RespRequest, TooLongForClass> {
        let NewRequest { arguments, key, slot, write, user } = new;
        let engine = &frontend.engine;
        let settings = &frontend.settings;
        let namespace = settings.class_of(key.as_bytes(), write);
        let ClassLimits { class, time_limit, longest_body } =
            engine.classes.find(attributes(namespace, key, user));
        if arguments.byte_len() as u64 > longest_body.max(MIN_COMMAND_LIMIT) {
            return Err(TooLongForClass);
        }
        let received_at = engine.clock.earliest_arrival();
        // One that is past its deadline is rejected by the balancer, at once.
        let deadline = may_start(engine.clock.now(), received_at + time_limit, engine.response_deadline());
        let stale_reads = !write && settings.stale_reads.get(namespace) == Some(&true);
        Ok(RespRequest {
            frontend: frontend.clone(),
            command: arguments.into_resp(),
            key: key.to_string(),
            namespace,
            class,
            write,
            user: user.to_string(),
            received_at,
            expires: deadline.unwrap_or(received_at),
            route: RefCell::new(RequestRoute::new(slot, stale_reads)),
            prefixed: RefCell::default(),
        })
    }

    /// The command that an attempt at a server has to begin with, if any.
    fn prefix(&self, to: SocketAddr) -> &'static [u8] {
        let route = self.route.borrow();
        if route.needs_asking(to) {
            ASKING
        } else if route.needs_readonly(to, &self.frontend.slot_map.borrow()) {
            READONLY
        } else {
            b""
        }
    }

    /// Remembers whether the attempt at a server began with a prefix.
    fn set_prefixed(&self, to: SocketAddr, is_prefixed: bool) {
        let mut prefixed = self.prefixed.borrow_mut();
        prefixed.retain(|other| *other != to);
        prefixed.extend(is_prefixed.then_some(to));
    }

    /// What a server's reply means for the request.
    fn interpret(&self, from: SocketAddr, reply: ServerReply) -> ServerResponse {
        if let Some(outcome) = reply.error_text().and_then(|error| self.apply_error(&error, from)) {
            return without_response(outcome, reply.reusable);
        }
        let memory = self.frontend.engine.response_memory.try_reserve(reply.bytes.len());
        if reply.bytes.len() > MAX_UNRESERVED && memory.is_none() {
            // It has been read, but there is no memory to hold it beside the others.
            return without_response(AttemptOutcome::ServerError, false);
        }
        let response = Response {
            status: ResponseStatus::Served,
            content_type: String::new(),
            body: reply.bytes,
            memory,
            stream: None,
        };
        ServerResponse {
            outcome: AttemptOutcome::Completed,
            response: Some(response),
            reusable: reply.reusable,
            remaining_body: None,
        }
    }

    /// Applies an error to the route and the slot map. Returns how the attempt ended, unless the
    /// error is the reply itself.
    fn apply_error(&self, error: &str, from: SocketAddr) -> Option<AttemptOutcome> {
        let meaning = classify_error(error, from);
        let map_outdated =
            self.route.borrow_mut().on_error(&meaning, &mut self.frontend.slot_map.borrow_mut());
        if map_outdated {
            self.frontend.request_refresh();
        }
        match meaning {
            // The command has not run, which says nothing of the server's health: it is sent
            // elsewhere.
            ErrorMeaning::Moved { .. } | ErrorMeaning::Ask { .. } => Some(AttemptOutcome::CacheMiss),
            ErrorMeaning::RetryLater | ErrorMeaning::MapOutdated => Some(AttemptOutcome::Overloaded),
            ErrorMeaning::Final => None,
        }
    }
}

fn attributes<'a>(namespace: usize, key: &'a str, user: &'a str) -> RequestAttributes<'a> {
    RequestAttributes { namespace, path: key, tenant: user, frontend: FRONTEND_NAME }
}

fn without_response(outcome: AttemptOutcome, reusable: bool) -> ServerResponse {
    ServerResponse { outcome, response: None, reusable, remaining_body: None }
}

impl ClientRequest for RespRequest {
    fn class(&self) -> usize {
        self.class
    }

    fn attributes(&self) -> Option<RequestAttributes<'_>> {
        Some(attributes(self.namespace, &self.key, &self.user))
    }

    fn received_at(&self) -> Timestamp {
        self.received_at
    }

    fn key(&self) -> &str {
        &self.key
    }

    fn is_write(&self) -> bool {
        self.write
    }

    fn expires(&self) -> Timestamp {
        self.expires
    }

    fn allowed_servers(&self) -> Option<Vec<SocketAddr>> {
        Some(self.route.borrow().candidates(&self.frontend.slot_map.borrow()))
    }

    fn attempt_ended(&self, outcome: AttemptOutcome) {
        if matches!(
            outcome,
            AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost | AttemptOutcome::TimedOut
        ) {
            // After an `ASK` the next attempt goes to the owner again, and another may own the slot
            // by now.
            self.route.borrow_mut().on_no_answer();
            self.frontend.request_refresh();
        }
    }

    fn write_to<'a>(&'a self, stream: &'a Async<TcpStream>, _left: Span) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let to = stream.get_ref().peer_addr()?;
            let prefix = self.prefix(to);
            self.set_prefixed(to, !prefix.is_empty());
            write_all(stream, &[prefix, &self.command]).await
        })
    }

    fn read_response<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<ServerResponse>> {
        Box::pin(async move {
            let from = stream.get_ref().peer_addr().ok()?;
            let is_prefixed = self.prefixed.borrow().contains(&from);
            let reply = ServerReply::read(stream, is_prefixed).await?;
            Some(self.interpret(from, reply))
        })
    }
}
