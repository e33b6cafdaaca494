//! One try of a request: it is sent on an idle connection of its client or on a new one, and sent
//! again if the proxy was closing the connection.

use super::clients::Clients;
use super::connection::{ClientAnswer, ClientConnection, Try};
use crate::clock::{MILLISECOND, Micros};
use crate::evidence::EventKind;
use crate::experiment::Protocol;
use crate::sync::lock;
use crate::wire::{Connection, ReadError};
use smol::future::or;
use smol::{Async, Timer};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a client waits for a response beyond the time limit, to distinguish a late response
/// from a missing one.
const LATE_ANSWER_WAIT: Micros = 500 * MILLISECOND;
/// If a connection ends within this time after a request was written to it, the proxy is taken to
/// have closed it before it could read the request.
const CLOSE_RACE_WINDOW: Micros = 20 * MILLISECOND;
/// Number of further proxies that are tried when one refuses a connection.
const CONNECT_RETRIES: usize = 3;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections of each client; further ones are closed after their response.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// How one try ended, as its client sees it.
pub(super) enum TryOutcome {
    Served,
    /// With the response's `Retry-After`, if it has one.
    Rejected(Option<Micros>),
    Failed,
    /// No proxy accepted a connection, or the connection ended without a response: the request's
    /// effect is unknown.
    NoAnswer,
    Cancelled,
}

/// The result of one exchange on a connection.
enum Exchange {
    Done(TryOutcome),
    /// The proxy was closing the connection; the request is sent again, at most once.
    SendAgain,
}

/// The connection of one exchange, and its state.
struct Channel {
    client: ClientConnection,
    /// Whether an earlier request was answered on the connection.
    reused: bool,
    started_at: Micros,
    /// Whether the request may be sent again if the connection was being closed.
    may_send_again: bool,
}

impl Channel {
    /// Whether the proxy may have closed the connection while the request was on its way.
    fn may_have_raced_close(&self, now: Micros) -> bool {
        self.reused && self.may_send_again && now < self.started_at + CLOSE_RACE_WINDOW
    }
}

impl Clients {
    /// Sends one try and waits for its outcome.
    pub(super) async fn try_once(&self, current: &Try<'_>) -> TryOutcome {
        let mut may_send_again = true;
        loop {
            // A separate binding, so that the lock is not held across the await.
            let idle = self.take_idle_connection(current.arrival.client);
            let reused = idle.is_some();
            let connected = match idle {
                Some(idle) => Some(idle),
                None => self.connect().await,
            };
            let Some(client) = connected else {
                self.recorder.record(current.id, 0, EventKind::NoProxy);
                return TryOutcome::NoAnswer;
            };
            let started_at = self.clock.now();
            match self.exchange(current, Channel { client, reused, started_at, may_send_again }).await {
                Exchange::Done(outcome) => return outcome,
                Exchange::SendAgain => {
                    may_send_again = false;
                    self.sent_again.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// Writes a request and waits for the response, the cancellation or the end of the connection.
    async fn exchange(&self, current: &Try<'_>, mut channel: Channel) -> Exchange {
        if self.write(current, &channel.client).await.is_err() {
            if channel.may_have_raced_close(self.clock.now()) {
                return Exchange::SendAgain;
            }
            return self.unanswered(current, &channel, true);
        }
        let limit = current.limit();
        let wait_limit = current
            .arrival
            .cancels_after
            .map_or(limit + LATE_ANSWER_WAIT, |cancels_after| cancels_after.min(limit));
        let answered = async { Some(current.read_answer(&mut channel.client.connection).await) };
        let cancelled = async {
            self.clock.sleep_until(channel.started_at + wait_limit).await;
            None
        };
        match or(answered, cancelled).await {
            None => {
                self.recorder.record(current.id, channel.client.proxy, EventKind::ClientCancelled);
                Exchange::Done(TryOutcome::Cancelled)
            }
            Some(Ok(answer)) => Exchange::Done(self.receive(current, channel.client, answer)),
            Some(Err(error)) => {
                let raced = channel.may_have_raced_close(self.clock.now());
                if matches!(error, ReadError::Closed) && raced && !self.recorder.was_attempted(current.id) {
                    return Exchange::SendAgain;
                }
                self.unanswered(current, &channel, !matches!(error, ReadError::Malformed))
            }
        }
    }

    fn unanswered(&self, current: &Try<'_>, channel: &Channel, is_connection_closed: bool) -> Exchange {
        let kind = EventKind::Unanswered { is_connection_closed, is_first_on_connection: !channel.reused };
        self.recorder.record(current.id, channel.client.proxy, kind);
        Exchange::Done(TryOutcome::NoAnswer)
    }

    /// Writes the request; it counts as sent when its last byte is written.
    pub(super) async fn write(&self, current: &Try<'_>, client: &ClientConnection) -> std::io::Result<()> {
        current.write(&client.connection).await?;
        self.recorder.record(current.id, client.proxy, EventKind::RequestSent);
        Ok(())
    }

    fn receive(&self, current: &Try<'_>, client: ClientConnection, answer: ClientAnswer) -> TryOutcome {
        let ClientAnswer { status, retry_after, is_own_value, close } = answer;
        let kind = EventKind::Answered { status, retry_after, is_own_value };
        self.recorder.record(current.id, client.proxy, kind);
        if !client.connection.buffered.is_empty() {
            self.recorder.record(current.id, client.proxy, EventKind::UnexpectedBytes);
        } else if !close {
            let mut idle = lock(&self.idle[current.arrival.client]);
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(client);
            }
        }
        match status {
            200 => TryOutcome::Served,
            429 | 503 => TryOutcome::Rejected(retry_after),
            _ => TryOutcome::Failed,
        }
    }

    /// Takes an open idle connection of the client. Unexpected bytes on an idle connection are
    /// recorded, and the connection is dropped.
    fn take_idle_connection(&self, client: usize) -> Option<ClientConnection> {
        let mut idle = lock(&self.idle[client]);
        while let Some(candidate) = idle.pop() {
            if candidate.connection.is_idle() {
                return Some(candidate);
            }
            if candidate.connection.stream.get_ref().peek(&mut [0]).is_ok_and(|count| count > 0) {
                self.recorder.record(0, candidate.proxy, EventKind::UnexpectedBytes);
            }
        }
        None
    }

    /// Opens a connection to the proxy that the load balancer selects.
    pub(super) async fn connect(&self) -> Option<ClientConnection> {
        for _ in 0..=CONNECT_RETRIES {
            let proxy = self.load_balancer.next_proxy()?;
            let addr = match self.experiment.fleet.protocol() {
                Protocol::Resp => self.addresses.resp_address(proxy),
                Protocol::Http => self.addresses.proxy_address(proxy),
            };
            let connecting = async { Async::<TcpStream>::connect(addr).await.ok() };
            let timeout = async {
                Timer::after(CONNECT_TIMEOUT).await;
                None
            };
            if let Some(stream) = or(connecting, timeout).await {
                return Some(ClientConnection { connection: Connection::new(stream), proxy });
            }
            self.connects_refused.fetch_add(1, Ordering::Relaxed);
        }
        None
    }
}
