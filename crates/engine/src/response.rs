//! The protocol-independent interface of requests and responses: a request can write itself to a
//! server and read the response, which is bytes with a status.

use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_limits::RequestAttributes;
use chalkwalk_sockets::MessageReservation;
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
    /// A server has responded.
    Served,
    /// The client may retry the request, after the given time if there is one.
    Rejected(Option<Span>),
    /// There is no response from a server.
    Failed,
}

/// The one final response to a request. The frontend that accepted the request writes it in its own
/// protocol.
pub struct Response {
    /// How the request ended.
    pub status: ResponseStatus,
    /// The content type of the body, as the server states it; empty if it does not.
    pub content_type: String,
    /// The body, or its start.
    pub body: Vec<u8>,
    /// The memory that the body has reserved.
    pub memory_reservation: Option<MessageReservation>,
    /// The rest of the body, if the body is too long to be read whole.
    pub stream: Option<BodyStream>,
}

/// The rest of a body, part by part as the server sends it. At most one part is buffered, so a
/// client that reads slowly applies backpressure to the server.
pub struct BodyStream {
    /// Length of the whole body in bytes, if it is known.
    pub content_length: Option<u64>,
    /// The parts; the channel is closed after the last.
    pub parts: Receiver<Vec<u8>>,
    /// After the last part: true if the body is complete, false if it was cut off.
    pub complete: Rc<Cell<bool>>,
}

impl Response {
    /// A response without a body.
    pub fn empty(status: ResponseStatus) -> Response {
        Response {
            status,
            content_type: String::new(),
            body: Vec::new(),
            memory_reservation: None,
            stream: None,
        }
    }
}

/// What an attempt has read from its connection.
pub struct ServerResponse {
    /// How the attempt ended, or will end if the rest of the body arrives.
    pub outcome: AttemptOutcome,
    /// The final response to the request, if the attempt produced it.
    pub response: Option<Response>,
    /// Whether the connection may carry another attempt.
    pub reusable: bool,
    /// The rest of the body, if it is still to be read from the connection after the response is
    /// passed to the client.
    pub remaining_body: Option<Box<dyn ResponseBody>>,
}

/// The rest of a response body that is still to be read from the connection.
pub trait ResponseBody {
    /// Reads the next part. Returns `None` at the end of the body, and an error if the body is cut
    /// off.
    fn next_part<'a>(
        &'a mut self,
        stream: &'a Async<TcpStream>,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, IncompleteBody>>;

    /// Length of the whole body in bytes, if it is known.
    fn content_length(&self) -> Option<u64>;

    /// Whether the connection may carry another attempt after this body.
    fn is_reusable(&self) -> bool;
}

/// The error of a body that ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

/// A boxed future for the single-threaded executor, so it need not be `Send`.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A request as accepted by its frontend.
pub trait ClientRequest {
    /// The index of the class whose limits applied when the request was accepted.
    fn class(&self) -> usize;

    /// The attributes that determine the class; `None` if the settings have been replaced since the
    /// request was accepted.
    fn attributes(&self) -> Option<RequestAttributes<'_>>;

    /// When the time limit of the request started to run.
    fn received_at(&self) -> Timestamp;

    /// The key that the request reads or writes.
    fn key(&self) -> &str;

    /// Whether the request is a write.
    fn is_write(&self) -> bool;

    /// When the time limit of the request is over.
    fn expires_at(&self) -> Timestamp;

    /// The only servers that may serve the request, in order of preference, for protocols in which
    /// the servers determine that. Called again after each attempt. `None` allows any server, in
    /// ring order.
    fn allowed_servers(&self) -> Option<Vec<SocketAddr>> {
        None
    }

    /// Whether the client is still connected and waits for the response, as far as its connection
    /// shows at this moment, even if the frontend has not yet been notified of a disconnect.
    fn client_is_waiting(&self) -> bool {
        true
    }

    /// Notifies the request that one of its attempts has ended; called before `allowed_servers` is
    /// called again.
    fn attempt_ended(&self, _outcome: AttemptOutcome) {}

    /// Writes the whole request to a server. `time_left` is how long the proxy will wait for the
    /// response.
    fn write_to<'a>(&'a self, stream: &'a Async<TcpStream>, time_left: Span)
    -> BoxFuture<'a, io::Result<()>>;

    /// Reads the server's response; `None` if the connection broke or the response is malformed.
    fn read_response<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<ServerResponse>>;
}

/// Checks whether a server responds at all, in the server's protocol.
pub trait HealthCheck {
    /// Returns `None` if the server does not respond, and otherwise whether the connection may
    /// carry an attempt afterwards.
    fn check<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<bool>>;
}
