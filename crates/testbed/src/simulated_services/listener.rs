//! Listeners and connections that follow the state of their peer: they accept while the peer is up,
//! refuse while its process is gone, and are silent while its machine or the link to it is gone.

use super::peer::{Link, Peer};
use super::{SimulatedServices, etcd, list, resp, server};
use crate::clock::{Clock, Micros};
use crate::evidence::EventKind;
use crate::experiment::Protocol;
use crate::model::timeline::Reachability;
use crate::wire::Connection;
use smol::future::or;
use smol::{Async, Executor};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Weak};
use std::time::Duration;

/// Length of the listen queue. After a restart, all proxies connect at once.
const BACKLOG: i32 = 1024;
/// Pause after a failure before an address is bound, or a connection accepted, again.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Number of connections that fill a listen queue of length 0: Linux accepts one, and a second one
/// fills the queue.
const BACKLOG_FILL_CONNECTIONS: usize = 2;

impl SimulatedServices {
    /// Binds every address that proxies connect to, and serves connections on them.
    pub fn bind_and_serve(
        self: &Arc<SimulatedServices>,
        executor: &Arc<Executor<'static>>,
    ) -> io::Result<()> {
        for proxy in 0..self.experiment.fleet.proxies {
            for peer in self.peers() {
                let link = Link { peer, proxy };
                let addr = self.address(link);
                let listener = listen(addr)?;
                // A weak reference, because the executor owns this task: a strong one would keep it
                // alive forever.
                let peer_listener =
                    PeerListener { services: self.clone(), executor: Arc::downgrade(executor), link, addr };
                executor.spawn(peer_listener.run(listener)).detach();
            }
        }
        Ok(())
    }
}

fn listen(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(addr)?;
    socket2::SockRef::from(&listener).listen(BACKLOG)?;
    Async::new(listener)
}

/// Waits until a point in time; `Micros::MAX` waits forever.
async fn wait_until(clock: &Clock, until: Micros) {
    match until {
        Micros::MAX => std::future::pending().await,
        until => clock.sleep_until(until).await,
    }
}

/// The listener of one peer for one proxy.
struct PeerListener {
    services: Arc<SimulatedServices>,
    executor: Weak<Executor<'static>>,
    link: Link,
    addr: SocketAddr,
}

impl PeerListener {
    /// Accepts connections while the peer is up, refuses them while its process is gone, and lets
    /// none be established while it is silent.
    async fn run(self, listener: Async<TcpListener>) {
        let mut bound = Some(listener);
        loop {
            let (reachability, until) = self.services.reachability(self.link);
            if reachability == Reachability::Refused {
                bound = None;
                wait_until(&self.services.clock, until).await;
                continue;
            }
            let listener = match bound.take().map_or_else(|| listen(self.addr), Ok) {
                Ok(listener) => listener,
                // The address has not been released yet.
                Err(_) => {
                    smol::Timer::after(RETRY_PAUSE).await;
                    continue;
                }
            };
            if reachability == Reachability::Silent {
                self.stay_silent(&listener, until).await;
            } else {
                or(self.accept(&listener, until), wait_until(&self.services.clock, until)).await;
            }
            bound = Some(listener);
        }
    }

    async fn stay_silent(&self, listener: &Async<TcpListener>, until: Micros) {
        let backlog_connections = fill_backlog(listener, self.addr);
        wait_until(&self.services.clock, until).await;
        drop(backlog_connections);
        // Connections that were queued in the meantime are reset, because the machine that returns
        // has no state of them.
        while let Ok((stream, _)) = listener.get_ref().accept() {
            _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        _ = socket2::SockRef::from(listener.get_ref()).listen(BACKLOG);
    }

    async fn accept(&self, listener: &Async<TcpListener>, until: Micros) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                smol::Timer::after(RETRY_PAUSE).await;
                continue;
            };
            let Some(executor) = self.executor.upgrade() else { return };
            let services = self.services.clone();
            let link = self.link;
            match link.peer {
                Peer::Etcd(endpoint) => {
                    let serving =
                        etcd::serve(services.clone(), self.executor.clone(), (link.proxy, endpoint), stream);
                    executor.spawn(serve_etcd(services, link, serving, until)).detach();
                }
                _ => executor.spawn(serve(services, link, stream, until)).detach(),
            }
        }
    }
}

/// Shortens the listen queue to length 0 and fills it. From then on the kernel drops packets that
/// would open a connection, as happens with a machine that is gone.
fn fill_backlog(listener: &Async<TcpListener>, addr: SocketAddr) -> Vec<socket2::Socket> {
    _ = socket2::SockRef::from(listener.get_ref()).listen(0);
    let connect = |_| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        _ = socket.connect(&addr.into());
        Some(socket)
    };
    (0..BACKLOG_FILL_CONNECTIONS).filter_map(connect).collect()
}

/// Runs a future until it ends or a point in time is reached. Returns whether the future ended.
async fn ends_before(clock: &Clock, until: Micros, serving: impl Future<Output = ()>) -> bool {
    let served = async {
        serving.await;
        true
    };
    let timed_out = async {
        wait_until(clock, until).await;
        false
    };
    or(served, timed_out).await
}

/// Serves a connection until it ends or the peer is no longer up.
async fn serve(services: Arc<SimulatedServices>, link: Link, stream: Async<TcpStream>, until: Micros) {
    let mut connection = Connection::new(stream);
    let serving = serve_peer(&services, link, &mut connection);
    if ends_before(&services.clock, until, serving).await {
        return;
    }
    // The connection stays open and silent until the peer is back, without any state of it. An
    // attempt in progress ends with the connection, whichever side closes it.
    loop {
        let (reachability, until) = services.reachability(link);
        if reachability != Reachability::Silent {
            abort_attempt(&services, link, &mut connection);
            return connection.reset();
        }
        let closed = async {
            match connection.open_attempt {
                Some(_) => connection.wait_closed().await,
                None => std::future::pending().await,
            }
        };
        if ends_before(&services.clock, until, closed).await {
            abort_attempt(&services, link, &mut connection);
        }
    }
}

async fn serve_peer(services: &SimulatedServices, link: Link, connection: &mut Connection) {
    match link.peer {
        Peer::Server(index) if services.experiment.fleet.protocol() == Protocol::Resp => {
            resp::serve_attempts(services, index, link.proxy, connection).await;
        }
        Peer::Server(index) => server::serve_attempts(services, index, link.proxy, connection).await,
        Peer::List { .. } => list::serve_calls(services, link.proxy, connection).await,
        // Connections to etcd are served by `etcd::serve`.
        Peer::Etcd(_) => {}
    }
}

/// Records that the attempt in progress on a connection was aborted.
fn abort_attempt(services: &SimulatedServices, link: Link, connection: &mut Connection) {
    if let (Some(id), Peer::Server(server)) = (connection.open_attempt.take(), link.peer) {
        services.recorder.record(id, link.proxy, EventKind::AttemptAborted { server: server as u16 });
    }
}

/// Serves a connection to etcd until it ends or the peer is no longer up.
async fn serve_etcd(
    services: Arc<SimulatedServices>,
    link: Link,
    serving: impl Future<Output = ()>,
    until: Micros,
) {
    let mut serving = std::pin::pin!(serving);
    if ends_before(&services.clock, until, serving.as_mut()).await {
        return;
    }
    // While the peer is silent, the future is not polled, so the connection is silent. The
    // connection is reset when the future is dropped at the end of this function.
    while let (Reachability::Silent, until) = services.reachability(link) {
        wait_until(&services.clock, until).await;
    }
}
