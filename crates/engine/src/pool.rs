//! Connections to servers, and the pool of those that are idle. The one used last is reused first;
//! none is reused that is near the server's idle timeout, has unread input, or carried a response
//! just now.

#[cfg(test)]
mod tests;

use crate::budget::Permit;
use chalkwalk_balancer::ServerIndex;
use chalkwalk_sockets::is_idle;
use smol::{Async, Timer};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection to a server, and its permit of the descriptor budget.
pub struct ServerConnection {
    /// The socket.
    pub stream: Async<TcpStream>,
    /// The server's address.
    pub addr: SocketAddr,
    /// When it was opened, or last put into the pool.
    pub since: Instant,
    _permit: Permit,
}

impl ServerConnection {
    /// A connection that was just opened.
    pub fn new(stream: Async<TcpStream>, addr: SocketAddr, permit: Permit) -> ServerConnection {
        ServerConnection { stream, addr, since: Instant::now(), _permit: permit }
    }

    /// Whether a late second response to its last request would have been seen by now.
    fn is_quiet_since(&self, quiet_time: Duration) -> bool {
        self.since.elapsed() >= quiet_time
    }
}

/// Idle connections to one server at most: more than are ever in use at once with a server that is
/// not late.
const MAX_IDLE_PER_SERVER: usize = 64;

/// How long a connection beyond the first to a server is kept idle: what a proxy uses concurrently
/// again and again stays, as the one used last is reused first, and what it needed once is closed.
/// A server accepts so many connections, and the ones that each of a hundred proxies holds idle are
/// the ones that none of them gets when it needs one. A second closed too few
/// (docs/notes/fleet.md), and less would open anew what responses of a tenth of a second need
/// concurrently.
pub const SPARE_IDLE_TIME: Duration = Duration::from_millis(250);

/// How long a connection is quiet after a response before the next request is written to it. A
/// server may send a second response some milliseconds after the first, and nothing in it says
/// which request it is for: read as the next one's it would be a value that no server made for it.
/// Those seen came 1.5 to 5.8 ms after (docs/notes/endings.md); a request that finds no other
/// connection waits this long, which is shorter than a handshake between zones and takes no further
/// connection of the server.
const QUIET_TIME: Duration = Duration::from_millis(10);

/// The idle connections, by server.
pub struct ConnectionPool {
    idle: RefCell<HashMap<ServerIndex, Vec<ServerConnection>>>,
    max_idle_time: Duration,
    quiet_time: Duration,
}

impl ConnectionPool {
    /// `idle_timeout`: after which servers close what is idle. A connection is reused for half of
    /// that: a server that closes earlier than it says is noticed when the connection is looked at
    /// before its reuse.
    pub fn new(idle_timeout: Duration) -> ConnectionPool {
        let max_idle_time = idle_timeout / 2;
        // At most half of the time for which it is reused, where servers close very early.
        let quiet_time = QUIET_TIME.min(max_idle_time / 2);
        ConnectionPool { idle: RefCell::default(), max_idle_time, quiet_time }
    }

    /// The connection used last among those that are quiet for long enough, if it can still be
    /// reused; where none is, the one that will be first, once it is.
    pub async fn acquire(&self, server: ServerIndex, addr: SocketAddr) -> Option<ServerConnection> {
        while let Some(connection) = self.pop(server, addr) {
            if connection.is_quiet_since(self.quiet_time) {
                return Some(connection);
            }
            Timer::at(connection.since + self.quiet_time).await;
            if self.is_reusable(&connection) {
                return Some(connection);
            }
        }
        None
    }

    fn pop(&self, server: ServerIndex, addr: SocketAddr) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        while !connections.is_empty() {
            let last_quiet = connections.iter().rposition(|c| c.is_quiet_since(self.quiet_time));
            let connection = connections.remove(last_quiet.unwrap_or(0));
            if connection.addr == addr && self.is_reusable(&connection) {
                return Some(connection);
            }
        }
        None
    }

    fn is_reusable(&self, connection: &ServerConnection) -> bool {
        connection.since.elapsed() < self.max_idle_time && is_idle(&connection.stream)
    }

    /// Puts a connection back after a response; it is closed where the server has enough idle ones.
    pub fn put(&self, server: ServerIndex, connection: ServerConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(ServerConnection { since: Instant::now(), ..connection });
        }
    }

    /// Closes all idle connections to a server: what broke one connection broke the others.
    pub fn close_all(&self, server: ServerIndex) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes the connection that has been idle longest, to whatever server.
    pub fn close_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let used = idle.values_mut().filter(|connections| !connections.is_empty());
        if let Some(connections) = used.min_by_key(|connections| connections[0].since) {
            connections.remove(0);
        }
    }

    /// Closes the connections beyond one to each server that were not used just now.
    pub fn close_spare(&self) {
        for connections in self.idle.borrow_mut().values_mut() {
            // The one used last is at the end.
            let beyond_one = connections.len().saturating_sub(1);
            let is_spare = |connection: &&ServerConnection| connection.since.elapsed() >= SPARE_IDLE_TIME;
            let spare = connections[..beyond_one].iter().take_while(is_spare).count();
            connections.drain(..spare);
        }
    }

    /// Closes what has been idle too long or was closed by the other side.
    pub fn close_stale(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| self.is_reusable(connection));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
