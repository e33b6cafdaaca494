//! One try of a request: on a free connection of its client or on a new one, sent again where the connection was being closed.

use super::clients::Clients;
use super::connection::{ClientAnswer, ClientConnection, Try};
use crate::clock::{MILLI, Micros};
use crate::evidence::EventKind;
use crate::experiment::Protocol;
use crate::sync::lock;
use crate::wire::{Connection, ReadError};
use smol::future::or;
use smol::{Async, Timer};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Beyond the time limit a client waits so long for an answer that comes late, to distinguish it from none at all.
const LATE_ANSWER_WAIT: Micros = 500 * MILLI;
/// A connection that ends so soon after a request was written to it had been closed before the proxy could read it.
const CLOSE_RACE: Micros = 20 * MILLI;
/// The front tries so many others when one refuses a connection.
const CONNECT_RETRIES: usize = 3;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections of each client; more are closed after their answer.
const MAX_IDLE: usize = 64;

/// How one try ended, as its client sees it.
pub(super) enum TryOutcome {
    Served,
    /// With its `Retry-After`, where it has one.
    Rejected(Option<Micros>),
    Failed,
    /// Nobody accepted it, or its proxy is gone: nothing is known of its effect.
    NoAnswer,
    Cancelled,
}

/// What follows from one exchange on a connection.
enum Exchange {
    Done(TryOutcome),
    /// The proxy was closing the connection: it is sent again, once.
    SendAgain,
}

/// One exchange's connection, and what is known of it.
struct Channel {
    client: ClientConnection,
    /// Whether something had been answered on it before.
    used: bool,
    begun: Micros,
    /// Whether the request may be sent again if the connection was being closed.
    may_send_again: bool,
}

impl Channel {
    /// Whether its end may have crossed the request.
    fn raced_a_close(&self, now: Micros) -> bool {
        self.used && self.may_send_again && now < self.begun + CLOSE_RACE
    }
}

impl Clients {
    /// One try, to its end.
    pub(super) async fn try_once(&self, current: &Try<'_>) -> TryOutcome {
        let mut may_send_again = true;
        loop {
            // Bound apart, or the lock would be held over the wait.
            let idle = self.idle_connection(current.arrival.client);
            let used = idle.is_some();
            let connected = match idle {
                Some(idle) => Some(idle),
                None => self.connect().await,
            };
            let Some(client) = connected else {
                self.evidence.record(current.id, 0, EventKind::NoProxy);
                return TryOutcome::NoAnswer;
            };
            let begun = self.clock.now();
            match self.exchange(current, Channel { client, used, begun, may_send_again }).await {
                Exchange::Done(outcome) => return outcome,
                Exchange::SendAgain => {
                    may_send_again = false;
                    self.sent_again.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// Writes a request, and waits for what comes of it.
    async fn exchange(&self, current: &Try<'_>, mut channel: Channel) -> Exchange {
        if self.write(current, &channel.client).await.is_err() {
            if channel.raced_a_close(self.clock.now()) {
                return Exchange::SendAgain;
            }
            return self.unanswered(current, &channel, true);
        }
        let limit = current.limit();
        let patience =
            current.arrival.cancels_after.map_or(limit + LATE_ANSWER_WAIT, |after| after.min(limit));
        let answered = async { Some(current.read_answer(&mut channel.client.connection).await) };
        let cancelled = async {
            self.clock.sleep_until(channel.begun + patience).await;
            None
        };
        match or(answered, cancelled).await {
            None => {
                self.evidence.record(current.id, channel.client.proxy, EventKind::ClientCancelled);
                Exchange::Done(TryOutcome::Cancelled)
            }
            Some(Ok(answer)) => Exchange::Done(self.receive(current, channel.client, answer)),
            Some(Err(error)) => {
                let raced = channel.raced_a_close(self.clock.now());
                if matches!(error, ReadError::Closed) && raced && !self.evidence.was_attempted(current.id) {
                    return Exchange::SendAgain;
                }
                self.unanswered(current, &channel, !matches!(error, ReadError::Malformed))
            }
        }
    }

    fn unanswered(&self, current: &Try<'_>, channel: &Channel, reset: bool) -> Exchange {
        let kind = EventKind::Unanswered { reset, fresh: !channel.used };
        self.evidence.record(current.id, channel.client.proxy, kind);
        Exchange::Done(TryOutcome::NoAnswer)
    }

    /// Writes the request; it counts as sent from its last byte on.
    pub(super) async fn write(&self, current: &Try<'_>, client: &ClientConnection) -> std::io::Result<()> {
        current.write(&client.connection).await?;
        self.evidence.record(current.id, client.proxy, EventKind::RequestSent);
        Ok(())
    }

    fn receive(&self, current: &Try<'_>, client: ClientConnection, answer: ClientAnswer) -> TryOutcome {
        let ClientAnswer { status, retry_after, matches, close } = answer;
        let kind = EventKind::Answered { status, retry_after, matches };
        self.evidence.record(current.id, client.proxy, kind);
        if !client.connection.buffered.is_empty() {
            self.evidence.record(current.id, client.proxy, EventKind::UnexpectedBytes);
        } else if !close {
            let mut idle = lock(&self.idle[current.arrival.client]);
            if idle.len() < MAX_IDLE {
                idle.push(client);
            }
        }
        match status {
            200 => TryOutcome::Served,
            429 | 503 => TryOutcome::Rejected(retry_after),
            _ => TryOutcome::Failed,
        }
    }

    /// A connection of the client's that is open and idle; what came on one that nothing should come on is recorded.
    fn idle_connection(&self, client: usize) -> Option<ClientConnection> {
        let mut idle = lock(&self.idle[client]);
        while let Some(candidate) = idle.pop() {
            if candidate.connection.is_idle() {
                return Some(candidate);
            }
            if candidate.connection.stream.get_ref().peek(&mut [0]).is_ok_and(|count| count > 0) {
                self.evidence.record(0, candidate.proxy, EventKind::UnexpectedBytes);
            }
        }
        None
    }

    /// A new connection, to whichever proxy the front deals it to.
    pub(super) async fn connect(&self) -> Option<ClientConnection> {
        for _ in 0..=CONNECT_RETRIES {
            let proxy = self.front.next_proxy()?;
            let addr = match self.experiment.fleet.protocol() {
                Protocol::Resp => self.net.resp(proxy),
                Protocol::Http => self.net.proxy(proxy),
            };
            let connecting = async { Async::<TcpStream>::connect(addr).await.ok() };
            let timeout = async {
                Timer::after(CONNECT_TIMEOUT).await;
                None
            };
            if let Some(stream) = or(connecting, timeout).await {
                return Some(ClientConnection { connection: Connection::new(stream), proxy });
            }
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        None
    }
}
