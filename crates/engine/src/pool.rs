//! Connections to servers, and those that are idle: the last used first. None is used that is near its end, not quiet, or
//! just back.

use crate::budget::Permit;
use chalkwalk_balancer::ServerIndex;
use chalkwalk_sockets::is_idle;
use smol::{Async, Timer};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection and its place in the budget.
pub struct ServerConnection {
    pub stream: Async<TcpStream>,
    pub addr: SocketAddr,
    pub since: Instant, // in the pool
    _permit: Permit,
}

impl ServerConnection {
    pub fn new(stream: Async<TcpStream>, addr: SocketAddr, permit: Permit) -> ServerConnection {
        ServerConnection { stream, addr, since: Instant::now(), _permit: permit }
    }

    /// What came after its last answer has been seen by now.
    fn rested(&self, rest: Duration) -> bool {
        self.since.elapsed() >= rest
    }
}

/// Kept for each server at most: more than are ever out at once to a server that is not late.
const MOST_IDLE: usize = 64;

/// How long a connection beyond the first to a server is kept idle: what a proxy uses side by side again and again stays, as
/// the last used goes first, and what it needed once goes back. A server has places for so many connections, and the ones
/// that each of a hundred proxies holds idle are the ones that none of them gets when it needs one. A second gave too few
/// back (docs/notes/fleet.md), and less would open anew what answers of a tenth of a second need side by side.
pub const SPARE: Duration = Duration::from_millis(250);

/// How long a connection rests after an answer before the next request is written to it. A server may send a second answer some
/// milliseconds after the first, and nothing in it tells whose it is: read as the next one's it would be a value that no server
/// made for it. Those seen came 1.5 to 5.8 ms after (docs/notes/endings.md); a request that finds no other waits for the rest, which
/// is shorter than a handshake between zones and takes no place at the server.
const REST: Duration = Duration::from_millis(10);

pub struct ConnectionPool {
    idle: RefCell<HashMap<ServerIndex, Vec<ServerConnection>>>,
    longest: Duration,
    rest: Duration,
}

impl ConnectionPool {
    /// `idle_time`: after which servers close what is idle. It is used for half of that: a server that closes earlier than
    /// it says is seen by the look at what has come.
    pub fn new(idle_time: Duration) -> ConnectionPool {
        let longest = idle_time / 2;
        // Half of what it may be kept, where servers close very early.
        ConnectionPool { idle: RefCell::default(), longest, rest: REST.min(longest / 2) }
    }

    /// The connection used last of those that have rested, if it can still be used; where none has, the one that will be
    /// first, once it has.
    pub async fn rested(&self, server: ServerIndex, addr: SocketAddr) -> Option<ServerConnection> {
        while let Some(conn) = self.take(server, addr) {
            if conn.rested(self.rest) {
                return Some(conn);
            }
            Timer::at(conn.since + self.rest).await;
            if self.usable(&conn) {
                return Some(conn);
            }
        }
        None
    }

    fn take(&self, server: ServerIndex, addr: SocketAddr) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        let of_server = idle.get_mut(&server)?;
        while !of_server.is_empty() {
            let conn =
                of_server.remove(of_server.iter().rposition(|conn| conn.rested(self.rest)).unwrap_or(0));
            if conn.addr == addr && self.usable(&conn) {
                return Some(conn);
            }
        }
        None
    }

    fn usable(&self, conn: &ServerConnection) -> bool {
        conn.since.elapsed() < self.longest && is_idle(&conn.stream)
    }

    pub fn put(&self, server: ServerIndex, conn: ServerConnection) {
        let mut idle = self.idle.borrow_mut();
        let of_server = idle.entry(server).or_default();
        if of_server.len() < MOST_IDLE {
            of_server.push(ServerConnection { since: Instant::now(), ..conn });
        }
    }

    /// Closes all that is idle to a server: what broke one connection broke the others.
    pub fn forget(&self, server: ServerIndex) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Closes the connection that has been idle longest, to whatever server.
    pub fn close_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|v| !v.is_empty()).min_by_key(|v| v[0].since);
        oldest.map(|of_server| of_server.remove(0));
    }

    /// Gives back what is beyond one to a server and was not used just now.
    pub fn trim(&self) {
        for of_server in self.idle.borrow_mut().values_mut() {
            // The last used stands at the end.
            let beyond = of_server.len().saturating_sub(1);
            let spare = of_server[..beyond].iter().take_while(|conn| conn.since.elapsed() >= SPARE).count();
            of_server.drain(..spare);
        }
    }

    /// Closes what has been idle too long or was closed by the other side.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|v| v.retain(|conn| self.usable(conn)));
        idle.retain(|_, v| !v.is_empty());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::budget::DescriptorBudget;
    use std::net::TcpListener;
    use std::thread::sleep;

    /// Of six connections that were used side by side one is kept, and two of those that are used side by side all the
    /// time: a hundred proxies hold a hundred places of a server and not six hundred.
    #[test]
    fn connections_that_were_needed_once_are_given_back() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (pool, budget) = (ConnectionPool::new(Duration::from_secs(30)), DescriptorBudget::new(64));
        let open = || {
            let permit = smol::block_on(budget.acquire_for_server(|| ()));
            ServerConnection::new(Async::new(TcpStream::connect(addr).unwrap()).unwrap(), addr, permit)
        };
        let both: Vec<ServerConnection> = (0..6).map(|_| open()).collect();
        both.into_iter().for_each(|conn| pool.put(0, conn));
        let mut kept = Vec::new();
        for side_by_side in [2, 0] {
            for _ in 0..6 {
                let used: Vec<ServerConnection> =
                    (0..side_by_side).filter_map(|_| pool.take(0, addr)).collect();
                used.into_iter().for_each(|conn| pool.put(0, conn));
                sleep(SPARE / 5);
                pool.trim();
            }
            kept.push(pool.idle.borrow()[&0].len());
        }
        expect_test::expect!["[2, 1]"].assert_eq(&format!("{kept:?}"));
    }
}
