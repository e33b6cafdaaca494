//! Connections to servers, and the pool of idle ones. The most recently used connection is reused
//! first. A connection is not reused if its process has been replaced, if it is close to the server's idle timeout, has unread input,
//! or carried a response only a moment ago.

#[cfg(test)]
mod tests;

use crate::budget::Permit;
use crate::server_process::ServerProcess;
use chalkwalk_balancer::ServerIndex;
use chalkwalk_sockets::is_idle;
use smol::{Async, Timer};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A connection to a server with its permit from the descriptor budget.
pub struct ServerConnection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// The process that it was opened to.
    pub process: ServerProcess,
    /// When it was opened, or last returned to the pool.
    pub idle_since: Instant,
    _permit: Permit,
}

impl ServerConnection {
    /// A connection that was just opened.
    pub fn new(stream: Async<TcpStream>, process: ServerProcess, permit: Permit) -> ServerConnection {
        ServerConnection { stream, process, idle_since: Instant::now(), _permit: permit }
    }

    /// Whether the connection has been unused for `quiet_time`, so that a late second response to
    /// its last request would have arrived by now.
    fn has_been_quiet_for(&self, quiet_time: Duration) -> bool {
        self.idle_since.elapsed() >= quiet_time
    }
}

/// Maximum number of idle connections per server: more than are ever in use at once with a server
/// that responds in time.
const MAX_IDLE_PER_SERVER: usize = 64;

/// How long a connection is kept idle if it is not the most recently used one to its server.
/// Connections that a proxy uses concurrently all the time stay open, because the most recently
/// used one is reused first; connections needed only once are closed. A server accepts a limited
/// number of connections, and those that a hundred proxies hold idle are not available to a proxy
/// that needs one. With one second, too few were closed (docs/notes/fleet.md); with less than 250
/// ms, the connections that concurrent responses of 0.1 s need would be opened again and again.
pub const SPARE_IDLE_TIME: Duration = Duration::from_millis(250);

/// How long a connection stays unused after a response before the next request is written to it. A
/// server may send a second response some milliseconds after the first, and nothing in it says to
/// which request it belongs: read as the response to the next request, it would be a value that no
/// server produced for that request. Observed second responses came 1.5 to 5.8 ms after the first
/// (docs/notes/endings.md). A request that finds no other connection waits this long, which is
/// shorter than a handshake between zones and uses no further connection of the server.
const QUIET_TIME: Duration = Duration::from_millis(10);

/// The idle connections, by server.
pub struct ConnectionPool {
    idle: RefCell<HashMap<ServerIndex, Vec<ServerConnection>>>,
    max_idle_time: Duration,
    quiet_time: Duration,
}

impl ConnectionPool {
    /// Creates an empty pool. `idle_timeout` is the time after which servers close idle
    /// connections. A connection is reused for only half of it. A server that closes earlier than
    /// configured is detected by the check of the connection before its reuse.
    pub fn new(idle_timeout: Duration) -> ConnectionPool {
        let max_idle_time = idle_timeout / 2;
        // The quiet time is at most half of the time during which a connection is reused. This
        // matters for servers that close idle connections very early.
        let quiet_time = QUIET_TIME.min(max_idle_time / 2);
        ConnectionPool { idle: RefCell::default(), max_idle_time, quiet_time }
    }

    /// Returns the most recently used connection among those that have been quiet long enough, if
    /// it can still be reused. If there is none, waits for the one that becomes quiet first.
    pub async fn acquire(&self, server: ServerIndex, process: ServerProcess) -> Option<ServerConnection> {
        while let Some(connection) = self.pop(server, process) {
            if connection.has_been_quiet_for(self.quiet_time) {
                return Some(connection);
            }
            Timer::at(connection.idle_since + self.quiet_time).await;
            if self.is_reusable(&connection) {
                return Some(connection);
            }
        }
        None
    }

    fn pop(&self, server: ServerIndex, process: ServerProcess) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        while !connections.is_empty() {
            let last_quiet_index =
                connections.iter().rposition(|connection| connection.has_been_quiet_for(self.quiet_time));
            let connection = connections.remove(last_quiet_index.unwrap_or(0));
            if connection.process == process && self.is_reusable(&connection) {
                return Some(connection);
            }
        }
        None
    }

    fn is_reusable(&self, connection: &ServerConnection) -> bool {
        connection.idle_since.elapsed() < self.max_idle_time && is_idle(&connection.stream)
    }

    /// Returns a connection to the pool after a response. It is closed if the pool already holds
    /// the maximum for the server.
    pub fn put(&self, server: ServerIndex, connection: ServerConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(ServerConnection { idle_since: Instant::now(), ..connection });
        }
    }

    /// Closes all idle connections to a server: the failure of one connection affects the others
    /// too.
    pub fn close_all(&self, server: ServerIndex) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes the connection that has been idle longest, to any server.
    pub fn close_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let non_empty = idle.values_mut().filter(|connections| !connections.is_empty());
        if let Some(connections) = non_empty.min_by_key(|connections| connections[0].idle_since) {
            connections.remove(0);
        }
    }

    /// For each server, closes the connections that were not used within [`SPARE_IDLE_TIME`],
    /// except for the most recently used one.
    pub fn close_spare(&self) {
        for connections in self.idle.borrow_mut().values_mut() {
            // The most recently used connection is at the end.
            let all_but_last = connections.len().saturating_sub(1);
            let is_spare =
                |connection: &&ServerConnection| connection.idle_since.elapsed() >= SPARE_IDLE_TIME;
            let spare = connections[..all_but_last].iter().take_while(is_spare).count();
            connections.drain(..spare);
        }
    }

    /// Closes connections that have been idle too long or were closed by the server.
    pub fn close_stale(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| self.is_reusable(connection));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
