//! Runs one attempt from start to end: acquires a connection, checks right before the first byte
//! whether the attempt may still be sent, writes the request and reads the response. A long
//! response is forwarded by `body_transfer` while it is still being received.

use crate::body_transfer::StreamingResponse;
use crate::connect;
use crate::effect_sink::PendingAttempt;
use crate::engine::Engine;
use crate::pool::ServerConnection;
use crate::response::{Response, ServerResponse};
use chalkwalk_balancer::AttemptOutcome;
use chalkwalk_balancer::admission::{SendRefusal, WrittenAttempt};
use chalkwalk_sockets::with_deadline;
use chalkwalk_time::Timestamp;
use slog::debug;
use smol::future::FutureExt;
use std::rc::Rc;

/// How an attempt ended, or that its response is being streamed.
pub(crate) enum Progress {
    Ended {
        outcome: AttemptOutcome,
        response: Option<Response>,
    },
    /// The start of the response has been read; the rest is still to come.
    Streaming(StreamingResponse),
}

impl Progress {
    fn ended(outcome: AttemptOutcome) -> Progress {
        Progress::Ended { outcome, response: None }
    }
}

/// An attempt that is being sent.
pub(crate) struct Attempt<'a> {
    pub engine: &'a Engine,
    pub pending: &'a PendingAttempt,
    /// Called if the client is found to have disconnected, before the attempt ends for that reason.
    pub on_client_disconnected: &'a dyn Fn(),
}

impl Attempt<'_> {
    /// Sends the attempt and reads its response, or the start of it, until the attempt is cancelled
    /// or times out.
    pub async fn run(&self) -> Progress {
        let cancelled = async {
            self.pending.handle.cancelled().await;
            self.end_early(AttemptOutcome::Cancelled)
        };
        let progress = cancelled.or(self.send());
        let deadline = self.engine.clock.instant(self.pending.times_out_at);
        with_deadline(deadline, progress).await.unwrap_or_else(|| self.end_early(AttemptOutcome::TimedOut))
    }

    /// Ends an attempt before its response. A request whose last byte was not written has certainly
    /// not run on the server.
    fn end_early(&self, outcome: AttemptOutcome) -> Progress {
        Progress::ended(if self.pending.handle.is_written() { outcome } else { AttemptOutcome::NotSent })
    }

    async fn send(&self) -> Progress {
        let Attempt { engine, pending, .. } = self;
        if engine.clock.now() >= pending.times_out_at {
            return Progress::ended(AttemptOutcome::NotSent);
        }
        let deadline = engine.clock.instant(pending.send_deadline());
        let connection = match with_deadline(deadline, self.connect_and_write()).await {
            Some(Ok(connection)) => connection,
            Some(Err(outcome)) => return Progress::ended(outcome),
            None => return Progress::ended(AttemptOutcome::NotSent),
        };
        let Some(ServerResponse { outcome, response, reusable, remaining_body }) =
            pending.request.read_response(&connection.stream).await
        else {
            return Progress::ended(AttemptOutcome::ConnectionLost);
        };
        let response = match (remaining_body, response) {
            (Some(body), Some(response)) => {
                return Progress::Streaming(StreamingResponse { outcome, response, connection, body });
            }
            (_, response) => response,
        };
        pending.handle.release_connection();
        if reusable && let Ok(connection) = Rc::try_unwrap(connection) {
            connect::return_to_pool(engine, pending.server, connection);
        }
        Progress::Ended { outcome, response }
    }

    /// Acquires a connection and writes the request to it. The caller drops this future at the send
    /// deadline, which ends a write that is not complete by then.
    async fn connect_and_write(&self) -> Result<Rc<ServerConnection>, AttemptOutcome> {
        let Attempt { engine, pending, .. } = self;
        let connection = Rc::new(connect::pooled_or_new_connection(engine, pending.server).await?);
        // If the process was stalled, first reads the input that arrived meanwhile: a drain notice,
        // an operator's command or a client's disconnect.
        engine.clock.catch_up().await;
        let allowed_at = engine.clock.now();
        self.check_still_allowed(allowed_at)?;
        if !connect::is_current(engine, pending.server, &connection) {
            // Another process has taken the server's place since the connection was requested.
            return Err(AttemptOutcome::NotSent);
        }
        pending.handle.set_connection(connection.clone());
        let time_left = pending.times_out_at - allowed_at;
        let written = pending.request.write_to(&connection.stream, time_left).await;
        written.map_err(|_| AttemptOutcome::Unreachable)?;
        pending.handle.set_written();
        self.check_written(allowed_at);
        Ok(connection)
    }

    /// Checks whether the attempt may still be sent after all its waits. In a busy process the
    /// executor may handle a new connection and the expiry of the request in the same iteration,
    /// and a client's disconnect may stay unread while the attempt waits for a connection, a
    /// permit, its key's turn or a connection's quiet time. An attempt that is refused here has
    /// certainly not run, so the balancer can route the request to another server.
    fn check_still_allowed(&self, now: Timestamp) -> Result<(), AttemptOutcome> {
        let Attempt { engine, pending, .. } = self;
        let client_connected = pending.request.client_is_waiting();
        let allowed = engine.requests.borrow().may_send(now, pending, client_connected);
        let Err(refusal) = allowed else { return Ok(()) };
        engine.refused_attempts.count(refusal);
        debug!(engine.log, "attempt withheld"; "cache" => pending.server, "why" => ?refusal);
        if refusal == SendRefusal::ClientLeft {
            (self.on_client_disconnected)();
        }
        Err(AttemptOutcome::NotSent)
    }

    /// Checks that sending the attempt broke no rule; a violation is counted.
    fn check_written(&self, allowed_at: Timestamp) {
        let Attempt { engine, pending, .. } = self;
        let written = WrittenAttempt {
            written_at: engine.clock.now(),
            allowed_at,
            deadline: pending.send_deadline(),
            unavailable_since: engine.requests.borrow().servers.unavailable_since(pending.server),
            drain_grace_period: engine.config.drain_grace.get(),
            client_connected: pending.request.client_is_waiting(),
        };
        engine.violations.check(&engine.log, written.violation());
    }
}
