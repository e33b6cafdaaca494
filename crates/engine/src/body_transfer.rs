//! A long response, passed on part by part while it comes. One part waits at most, so that a client
//! that reads slowly slows the server.

use crate::attempt_handle::AttemptHandle;
use crate::engine::Engine;
use crate::pool::ServerConnection;
use crate::response::{BodyStream, Response, ResponseBody};
use chalkwalk_balancer::{AttemptOutcome, ServerIndex};
use chalkwalk_sockets::within;
use smol::channel::{Sender, bounded};
use smol::future::FutureExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A streamed response of which nothing more arrives for so long, or of which nobody takes more, is
/// broken off. The time limit of the request is over by then, and a server that is slow on purpose
/// writes something each second.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A response of which the start is read.
pub(crate) struct StreamingResponse {
    /// How the attempt ends if the rest of the body comes.
    pub outcome: AttemptOutcome,
    /// The response, with the start of its body.
    pub response: Response,
    pub connection: Rc<ServerConnection>,
    /// What of it is still to come.
    pub body: Box<dyn ResponseBody>,
}

impl StreamingResponse {
    /// The response, from which the rest of its body can be read, and what passes that on.
    pub fn start(self) -> (Response, BodyTransfer) {
        let StreamingResponse { outcome, mut response, connection, body } = self;
        let (sender, parts) = bounded(1);
        let complete = Rc::new(Cell::new(false));
        let stream = BodyStream { content_length: body.content_length(), parts, complete: complete.clone() };
        response.stream = Some(stream);
        (response, BodyTransfer { outcome, complete, parts: sender, body, connection })
    }
}

/// What remains of a response to pass on. The fields are dropped in this order, the connection
/// last.
pub(crate) struct BodyTransfer {
    outcome: AttemptOutcome,
    complete: Rc<Cell<bool>>,
    parts: Sender<Vec<u8>>,
    body: Box<dyn ResponseBody>,
    connection: Rc<ServerConnection>,
}

impl BodyTransfer {
    /// Passes the parts of the body on until it ends, breaks off, is read no more, or the attempt
    /// is cancelled. Returns how the attempt ended.
    pub async fn run(self, engine: &Engine, server: ServerIndex, handle: &AttemptHandle) -> AttemptOutcome {
        let cancelled = async {
            handle.cancelled().await;
            AttemptOutcome::Cancelled
        };
        cancelled.or(self.transfer(engine, server, handle)).await
    }

    async fn transfer(
        mut self,
        engine: &Engine,
        server: ServerIndex,
        handle: &AttemptHandle,
    ) -> AttemptOutcome {
        loop {
            let part = within(STREAM_STALL_TIMEOUT, self.body.next_part(&self.connection.stream)).await;
            match part {
                Some(Ok(Some(part))) => {
                    let sent = within(STREAM_STALL_TIMEOUT, self.parts.send(part)).await;
                    if !matches!(sent, Some(Ok(()))) {
                        return AttemptOutcome::Cancelled;
                    }
                }
                Some(Ok(None)) => break,
                _ => return AttemptOutcome::ConnectionLost,
            }
        }
        self.complete.set(true);
        handle.release_connection();
        if self.body.is_reusable()
            && let Ok(connection) = Rc::try_unwrap(self.connection)
        {
            engine.pool.put(server, connection);
        }
        self.outcome
    }
}
