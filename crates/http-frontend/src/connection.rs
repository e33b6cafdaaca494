//! One client's connection, one request at a time on it: the stages in their order.

use crate::admit::{Admitted, admit};
use crate::frontend::Frontend;
use crate::read_request::read_request;
use crate::reply::Reply;
use crate::route::route;
use crate::write_reply::{ReplyOptions, refuse, write_reply};
use chalkwalk_engine::budget::Permit;
use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_http1::{HttpError, Message};
use chalkwalk_sockets::is_idle;
use chalkwalk_time::{Span, Timestamp};
use smol::Async;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Instant;

/// A message that was there whole is read in a few turns of the executor.
const READ_AT_ONCE: Span = Span::from_millis(10);

/// A client's connection. The fields are dropped in this order: the socket is closed before the
/// connection counts as closed, and its permit is given back last.
pub(crate) struct Connection {
    /// What was read beyond the present message.
    unread: Vec<u8>,
    stream: Rc<Async<TcpStream>>,
    open: ClientConnection,
    permit: Permit,
    /// Whether its requests are admitted; otherwise they are rejected at once.
    admitted: bool,
    frontend: Rc<Frontend>,
}

/// When a first message arrived that was there before the connection was served: it may have waited
/// for as long as the connection did, and that much less time is left to it. It is whole then; what
/// is still on its way has not waited.
struct QueuedMessage {
    arrived_after: Timestamp,
    read_by: Timestamp,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(
        frontend: &Rc<Frontend>,
        stream: Async<TcpStream>,
        permit: Permit,
        admitted: bool,
    ) -> Connection {
        _ = stream.get_ref().set_nodelay(true);
        Connection {
            unread: Vec::new(),
            stream: Rc::new(stream),
            open: ClientConnection::new(&frontend.engine),
            permit,
            admitted,
            frontend: frontend.clone(),
        }
    }

    /// Serves the connection to its end. It cannot have arrived before `arrived_after`.
    pub async fn serve(mut self, arrived_after: Timestamp) {
        let mut opened = Some(Instant::now());
        let mut queued = self.queued_message(arrived_after);
        loop {
            let message = match self.read_message(opened.take()).await {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(error) => return refuse(&self.stream, Reply::empty(error.status())).await,
            };
            let received_at = self.received_at(queued.take());
            self.admit_if_possible().await;
            let close = message.close || !self.admitted;
            let http10 = message.is_http10;
            let Some(reply) = self.reply_to(message, received_at).await else { return };
            if reply.is_client_error() {
                return refuse(&self.stream, reply).await;
            }
            let options = ReplyOptions { close: close || self.open.must_close(), http10 };
            if !write_reply(&self.stream, reply, options).await {
                return;
            }
        }
    }

    fn queued_message(&self, arrived_after: Timestamp) -> Option<QueuedMessage> {
        let is_queued = !is_idle(&self.stream);
        let read_by = self.frontend.engine.clock.now() + READ_AT_ONCE;
        is_queued.then_some(QueuedMessage { arrived_after, read_by })
    }

    async fn read_message(&mut self, opened: Option<Instant>) -> Result<Option<Message>, HttpError> {
        read_request(&self.open, &self.stream, &mut self.unread, opened).await
    }

    /// When the message that was just read arrived.
    fn received_at(&self, queued: Option<QueuedMessage>) -> Timestamp {
        let clock = &self.frontend.engine.clock;
        match queued {
            Some(queued) if clock.now() < queued.read_by => queued.arrived_after,
            _ => clock.earliest_arrival(),
        }
    }

    /// A connection that was accepted while all others were busy is admitted where by now one is
    /// not.
    async fn admit_if_possible(&mut self) {
        if !self.admitted
            && let Some(permit) = self.frontend.engine.budget.acquire_for_client_soon().await
        {
            self.permit = permit;
            self.admitted = true;
        }
    }

    /// The reply to a message; `None` if the client has gone.
    async fn reply_to(&mut self, message: Message, received_at: Timestamp) -> Option<Reply> {
        if !self.unread.is_empty() {
            // More than one request at once: none of it is accepted.
            return Some(Reply::empty(400));
        }
        match admit(&self.frontend, message, received_at, &self.stream) {
            Err(error) => Some(Reply::empty(error.status())),
            Ok(Admitted::Readiness { ready }) => Some(Reply::empty(if ready { 200 } else { 503 })),
            Ok(Admitted::Request(_)) if !self.admitted => Some(Reply::empty(503)),
            Ok(Admitted::Request(request)) => {
                route(&self.frontend.engine, &self.stream, &mut self.unread, request).await
            }
        }
    }
}
