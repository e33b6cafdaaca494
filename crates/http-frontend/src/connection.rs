//! Serves one client connection: passes its requests through the stages, one request at a time.

use crate::admit::{AdmitError, Admitted, admit};
use crate::frontend::Frontend;
use crate::read_request::read_request;
use crate::reply::Reply;
use crate::route::route;
use crate::shared_ids::ClaimError;
use crate::write_reply::{ReplyOptions, ReplyOutcome, refuse, write_reply};
use chalkwalk_engine::budget::Permit;
use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_http1::{HttpError, Message};
use chalkwalk_sockets::is_idle;
use chalkwalk_time::{Span, Timestamp};
use smol::Async;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

/// Maximum time to read a message that was completely received before its connection was served;
/// such a message takes only a few turns of the executor.
const QUEUED_MESSAGE_READ_TIME: Span = Span::from_millis(10);

/// A client connection. The order of the fields matters because they are dropped in this order: the
/// socket is closed before the connection is counted as closed, and the permit is released last.
pub(crate) struct Connection {
    /// Bytes that were read beyond the end of the current message.
    read_ahead: Vec<u8>,
    stream: Rc<Async<TcpStream>>,
    client_connection: ClientConnection,
    permit: Permit,
    /// Whether requests on the connection are admitted; otherwise they are rejected immediately.
    admitted: bool,
    frontend: Rc<Frontend>,
}

/// Arrival time of a first message that was received before its connection was served. The message
/// may have waited as long as the connection did, and that wait counts against its time limit. This
/// applies only to a message that is complete and is therefore read by `read_deadline`; a message
/// that is still arriving has not waited.
struct QueuedMessage {
    earliest_arrival: Timestamp,
    read_deadline: Timestamp,
}

impl Connection {
    /// Wraps a connection that was just accepted.
    pub fn new(
        frontend: &Rc<Frontend>,
        stream: Async<TcpStream>,
        permit: Permit,
        admitted: bool,
    ) -> Connection {
        _ = stream.get_ref().set_nodelay(true);
        Connection {
            read_ahead: Vec::new(),
            stream: Rc::new(stream),
            client_connection: ClientConnection::new(&frontend.engine),
            permit,
            admitted,
            frontend: frontend.clone(),
        }
    }

    /// Serves the connection until it ends. `earliest_arrival` is the earliest time at which the
    /// connection can have arrived.
    pub async fn serve(mut self, earliest_arrival: Timestamp) {
        let mut opened_at = Some(Instant::now());
        let mut queued = self.queued_message(earliest_arrival);
        loop {
            let message = match self.read_message(opened_at.take()).await {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(error) => return refuse(&self.stream, Reply::empty(error.status())).await,
            };
            let received_at = self.received_at(queued.take());
            self.admit_if_possible().await;
            let close = message.close || !self.admitted;
            let is_http10 = message.is_http10;
            let Some(reply) = self.reply_to(message, received_at).await else { return };
            if reply.is_client_error() {
                return refuse(&self.stream, reply).await;
            }
            let options = ReplyOptions { close: close || self.client_connection.must_close(), is_http10 };
            match write_reply(&self.stream, reply, options).await {
                ReplyOutcome::KeepOpen => {}
                ReplyOutcome::Closed => return,
                ReplyOutcome::ClientTooSlow { written_bytes } => {
                    return self.client_connection.log_slow_client(written_bytes);
                }
            }
        }
    }

    fn queued_message(&self, earliest_arrival: Timestamp) -> Option<QueuedMessage> {
        let is_queued = !is_idle(&self.stream);
        let read_deadline = self.frontend.engine.clock.now() + QUEUED_MESSAGE_READ_TIME;
        is_queued.then_some(QueuedMessage { earliest_arrival, read_deadline })
    }

    async fn read_message(&mut self, opened_at: Option<Instant>) -> Result<Option<Message>, HttpError> {
        read_request(&self.client_connection, &self.stream, &mut self.read_ahead, opened_at).await
    }

    /// The arrival time of the message that was just read.
    fn received_at(&self, queued: Option<QueuedMessage>) -> Timestamp {
        let clock = &self.frontend.engine.clock;
        match queued {
            Some(queued) if clock.now() < queued.read_deadline => queued.earliest_arrival,
            _ => clock.earliest_arrival(),
        }
    }

    /// Admits a connection that was accepted while all others were busy, if a permit is available
    /// by now or becomes available soon.
    async fn admit_if_possible(&mut self) {
        if !self.admitted
            && let Some(permit) = self.frontend.engine.budget.acquire_for_client_with_timeout().await
        {
            self.permit = permit;
            self.admitted = true;
        }
    }

    /// Returns the reply to a message, or `None` if the client has disconnected.
    async fn reply_to(&mut self, message: Message, received_at: Timestamp) -> Option<Reply> {
        if !self.read_ahead.is_empty() {
            // The client sent more than one request at once (pipelining): none of them is accepted.
            return Some(Reply::empty(400));
        }
        match admit(&self.frontend, message, received_at, &self.stream) {
            Err(error) => Some(Reply::empty(error.status())),
            Ok(Admitted::Readiness { ready }) => Some(Reply::empty(if ready { 200 } else { 503 })),
            Ok(Admitted::Request(_)) if !self.admitted => Some(Reply::empty(503)),
            Ok(Admitted::Request(request)) => match request.open_id.claim_shared().await {
                Ok(()) => route(&self.frontend.engine, &self.stream, &mut self.read_ahead, request).await,
                Err(ClaimError::InUse) => Some(Reply::empty(AdmitError::IdInUse.status())),
                Err(ClaimError::Unavailable) => Some(Reply::empty(503)),
            },
        }
    }
}
