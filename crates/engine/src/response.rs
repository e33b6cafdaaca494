//! What the engine must know of a request and its response, whatever their protocol: a request can
//! write itself to a server and read the response, which is bytes with a status.

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
    /// With the response of a server.
    Served,
    /// It may be tried again, after so long where that is known.
    Rejected(Option<Span>),
    /// Without a response.
    Failed,
}

/// The one final response to a request, which the frontend that it came by writes in its protocol.
pub struct Response {
    /// How the request ended.
    pub status: ResponseStatus,
    /// Of the body, as the server names it; empty if it did not.
    pub content_type: String,
    /// The body, or its start.
    pub body: Vec<u8>,
    /// What it holds of the memory for long responses.
    pub memory: Option<MemoryReservation>,
    /// The rest of the body, where it is longer than is read whole.
    pub stream: Option<BodyStream>,
}

/// The rest of a body, part by part as the server sends it. At most one part waits: a client that
/// reads slowly slows the server.
pub struct BodyStream {
    /// Of the whole body in bytes, where it is known.
    pub content_length: Option<u64>,
    /// The parts; closed after the last.
    pub parts: Receiver<Vec<u8>>,
    /// Once there are no more parts: whether the body is complete, or has broken off.
    pub complete: Rc<Cell<bool>>,
}

impl Response {
    /// A response without a body.
    pub fn empty(status: ResponseStatus) -> Response {
        Response { status, content_type: String::new(), body: Vec::new(), memory: None, stream: None }
    }
}

/// What came back on a connection for an attempt.
pub struct ServerResponse {
    /// How the attempt ended, or will end if the rest of the body comes.
    pub outcome: AttemptOutcome,
    /// The final response of the request, where it is one.
    pub response: Option<Response>,
    /// Whether the connection may carry another attempt.
    pub reusable: bool,
    /// What of the response is still to come on the connection, where the request has its response
    /// before that.
    pub remaining_body: Option<Box<dyn ResponseBody>>,
}

/// What of a response is still to come.
pub trait ResponseBody {
    /// The next part, `None` at the end; an error if it breaks off.
    fn next_part<'a>(
        &'a mut self,
        stream: &'a Async<TcpStream>,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, BrokenOff>>;

    /// Of the whole body in bytes, where it is known.
    fn content_length(&self) -> Option<u64>;

    /// Whether the connection may carry another attempt after it.
    fn is_reusable(&self) -> bool;
}

/// A body ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenOff;

/// A future of the proxy's one thread.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A request as its frontend accepted it.
pub trait ClientRequest {
    /// The class whose limits applied when it was accepted.
    fn class(&self) -> usize;

    /// What its class is found by; `None` once other settings apply than it was accepted under.
    fn attributes(&self) -> Option<RequestAttributes<'_>>;

    /// When its time began.
    fn received_at(&self) -> Timestamp;

    /// The key that it reads or writes.
    fn key(&self) -> &str;

    /// Whether it writes.
    fn is_write(&self) -> bool;

    /// When its time is over.
    fn expires(&self) -> Timestamp;

    /// Which servers alone may serve it, in order of preference, where the servers themselves
    /// settle that; called again after each attempt. `None`: any, in ring order.
    fn allowed_servers(&self) -> Option<Vec<SocketAddr>> {
        None
    }

    /// Whether its client is still there and waits, as far as can be read at this moment, whether
    /// or not it was notified of.
    fn client_is_waiting(&self) -> bool {
        true
    }

    /// One of its attempts has ended; called before the allowed servers are looked up again.
    fn attempt_ended(&self, _outcome: AttemptOutcome) {}

    /// Writes it whole to a server, with how long its response will be waited for.
    fn write_to<'a>(&'a self, stream: &'a Async<TcpStream>, left: Span) -> BoxFuture<'a, io::Result<()>>;

    /// Reads the server's response to it; `None` if the connection broke or the response can't be
    /// understood.
    fn read_response<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<ServerResponse>>;
}

/// How a server is checked for whether it answers at all, in its own protocol.
pub trait HealthCheck {
    /// `None` if it does not; otherwise whether the connection may carry an attempt after it.
    fn check<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<bool>>;
}
