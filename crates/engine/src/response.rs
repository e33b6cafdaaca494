//! What a request is to the engine: something that can be written to a server, and whose answer is bytes with a verdict.

use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_limits::RequestAttributes;
use chalkwalk_sockets::MemoryReservation;
use chalkwalk_time::{Span, Timestamp};
use smol::Async;
use smol::channel::Receiver;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    Served,
    /// May be tried again, after so long where that is told.
    Rejected(Option<Span>),
    Failed,
}

/// The one final answer of a request, to be worded by the door it came by.
pub struct Response {
    pub status: ResponseStatus,
    /// What the body is, in the server's own words; empty if it did not say.
    pub content_type: String,
    pub body: Vec<u8>,
    /// Its part of the room for long answers.
    pub memory: Option<MemoryReservation>,
    /// What comes after the body that is here, where it is longer than is read whole.
    pub stream: Option<BodyStream>,
}

/// The rest of an answer, part by part as a server gives it. One part waits at most: who takes it slowly slows the server.
pub struct BodyStream {
    /// Of the whole body in bytes, where it is told.
    pub content_length: Option<u64>,
    pub parts: Receiver<Vec<u8>>,
    /// Once there are no more parts: whether the answer is whole, or has broken off.
    pub complete: Rc<Cell<bool>>,
}

impl Response {
    pub fn empty(status: ResponseStatus) -> Response {
        Response { status, content_type: String::new(), body: Vec::new(), memory: None, stream: None }
    }
}

/// What came back on a connection for an attempt.
pub struct ServerResponse {
    pub outcome: AttemptOutcome,
    /// Where it resolves the request.
    pub response: Option<Response>,
    /// Whether the connection may carry another attempt.
    pub reusable: bool,
    /// What of the answer is still to come on the connection, where the request is resolved before that.
    pub remaining_body: Option<Box<dyn ResponseBody>>,
}

/// What of an answer is still to come.
pub trait ResponseBody {
    /// The next part, `None` at the end; an error if it breaks off.
    fn next_part<'a>(
        &'a mut self,
        stream: &'a Async<TcpStream>,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, ()>>;
    /// Of the whole body in bytes, where it is told.
    fn content_length(&self) -> Option<u64>;
    /// Whether the connection may carry another attempt after it.
    fn is_reusable(&self) -> bool;
}

pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A request as its door took it.
pub trait ClientRequest {
    /// The class whose limits held when it was taken.
    fn class(&self) -> usize;
    /// What a class is found by; `None` once other settings hold than it was taken under.
    fn attributes(&self) -> Option<RequestAttributes<'_>>;
    /// When its time began.
    fn received_at(&self) -> Timestamp;
    fn key(&self) -> &str;
    fn is_write(&self) -> bool;
    fn expires(&self) -> Timestamp;
    /// Which servers alone may serve it, the first first, where that is settled by the servers themselves; asked again after
    /// each attempt. `None`: any, in ring order.
    fn allowed_servers(&self) -> Option<Vec<SocketAddr>> {
        None
    }
    /// Whether whoever asked is still there and waits, as far as can be read at this moment, heard of or not.
    fn client_is_waiting(&self) -> bool {
        true
    }
    /// One of its attempts has ended; told before it is asked for the order again.
    fn attempt_ended(&self, _ending: AttemptOutcome) {}
    /// Writes it whole to a server, and how long it will be waited for.
    fn write_to<'a>(&'a self, stream: &'a Async<TcpStream>, left: Span) -> BoxFuture<'a, io::Result<()>>;
    /// Reads what the server says to it; `None` if the connection broke or nothing of it can be read.
    fn read_response<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<ServerResponse>>;
}

/// How a server is asked whether it answers at all, in its own protocol.
pub trait HealthCheck {
    /// Whether it does, and whether the connection may carry an attempt after it.
    fn check<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<bool>>;
}
