//! Forwards a long response part by part while it is being received. At most one part is buffered,
//! so a client that reads slowly applies backpressure to the server.

use crate::attempt_handle::AttemptHandle;
use crate::connect;
use crate::engine::Engine;
use crate::pool::ServerConnection;
use crate::response::{BodyStream, Response, ResponseBody};
use chalkwalk_balancer::{AttemptOutcome, ServerIndex};
use chalkwalk_sockets::with_timeout;
use smol::channel::{Sender, bounded};
use smol::future::FutureExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A streamed response is aborted if the server sends nothing for this long. The time limit of the
/// request is over by then, and a server that is slow on purpose writes something every second.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A response of which the start has been read.
pub(crate) struct StreamingResponse {
    /// How the attempt ends if the rest of the body arrives.
    pub outcome: AttemptOutcome,
    /// The response, with the start of its body.
    pub response: Response,
    pub connection: Rc<ServerConnection>,
    /// The part of the body that is still to come.
    pub body: Box<dyn ResponseBody>,
}

impl StreamingResponse {
    /// Returns the response, whose body stream yields the rest of the body, and the transfer that
    /// feeds the stream.
    pub fn start(self) -> (Response, BodyTransfer) {
        let StreamingResponse { outcome, mut response, connection, body } = self;
        let (sender, parts) = bounded(1);
        let complete = Rc::new(Cell::new(false));
        let stream = BodyStream { content_length: body.content_length(), parts, complete: complete.clone() };
        response.stream = Some(stream);
        (response, BodyTransfer { outcome, complete, parts: sender, body, connection })
    }
}

/// The rest of a response body that is still to be forwarded. Fields are dropped in declaration
/// order, so the connection is dropped last.
pub(crate) struct BodyTransfer {
    outcome: AttemptOutcome,
    complete: Rc<Cell<bool>>,
    parts: Sender<Vec<u8>>,
    body: Box<dyn ResponseBody>,
    connection: Rc<ServerConnection>,
}

impl BodyTransfer {
    /// Forwards the parts of the body until it ends, the connection breaks, the reader is gone, or
    /// the attempt is cancelled. Returns how the attempt ended.
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
            let part = with_timeout(STREAM_STALL_TIMEOUT, self.body.next_part(&self.connection.stream)).await;
            match part {
                Some(Ok(Some(part))) => {
                    // The frontend bounds this wait: it drops the receiver of a client that has
                    // left or reads too slowly.
                    if self.parts.send(part).await.is_err() {
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
            connect::return_to_pool(engine, server, connection);
        }
        self.outcome
    }
}
