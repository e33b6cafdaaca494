//! Listeners and connections that come and go with their peer: open while it is up, refused while its process is gone, silent
//! while its machine or link is.

use super::peer::{Link, Peer};
use super::{Site, etcd, list, resp, server};
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

/// All proxies connect at once after a restart.
const BACKLOG: i32 = 1024;
/// Before an address is bound, or a connection accepted, again after a failure.
const RETRY_AFTER: Duration = Duration::from_millis(5);
/// Linux lets one connection into a queue of no length; one more fills it.
const FILLING_CONNECTIONS: usize = 2;

impl Site {
    /// Binds every address that proxies are given, and serves on them.
    pub fn open(self: &Arc<Site>, executor: &Arc<Executor<'static>>) -> io::Result<()> {
        for proxy in 0..self.experiment.fleet.proxies {
            for peer in self.peers() {
                let link = Link { peer, proxy };
                let addr = self.address(link);
                let listener = listen(addr)?;
                // Weak, or the executor would hold itself by its own tasks.
                let listening =
                    Listening { site: self.clone(), executor: Arc::downgrade(executor), link, addr };
                executor.spawn(listening.run(listener)).detach();
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

/// Ends when a stretch of time does.
async fn until_or_forever(clock: &Clock, until: Micros) {
    match until {
        Micros::MAX => std::future::pending().await,
        until => clock.sleep_until(until).await,
    }
}

/// One peer's address for one proxy.
struct Listening {
    site: Arc<Site>,
    executor: Weak<Executor<'static>>,
    link: Link,
    addr: SocketAddr,
}

impl Listening {
    /// Accepts while the peer is up; refuses while its process is gone; and lets nothing come up while it is silent.
    async fn run(self, listener: Async<TcpListener>) {
        let mut bound = Some(listener);
        loop {
            let (reachability, until) = self.site.reachability(self.link);
            if reachability == Reachability::Refused {
                bound = None;
                until_or_forever(&self.site.clock, until).await;
                continue;
            }
            let listener = match bound.take().map_or_else(|| listen(self.addr), Ok) {
                Ok(listener) => listener,
                // The address is still being released.
                Err(_) => {
                    smol::Timer::after(RETRY_AFTER).await;
                    continue;
                }
            };
            if reachability == Reachability::Silent {
                self.stay_silent(&listener, until).await;
            } else {
                or(self.accept(&listener, until), until_or_forever(&self.site.clock, until)).await;
            }
            bound = Some(listener);
        }
    }

    async fn stay_silent(&self, listener: &Async<TcpListener>, until: Micros) {
        let filling = fill_backlog(listener, self.addr);
        until_or_forever(&self.site.clock, until).await;
        drop(filling);
        // What came meanwhile is reset: the machine knows nothing of it.
        while let Ok((stream, _)) = listener.get_ref().accept() {
            _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        _ = socket2::SockRef::from(listener.get_ref()).listen(BACKLOG);
    }

    async fn accept(&self, listener: &Async<TcpListener>, until: Micros) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                smol::Timer::after(RETRY_AFTER).await;
                continue;
            };
            let Some(executor) = self.executor.upgrade() else { return };
            let site = self.site.clone();
            let link = self.link;
            match link.peer {
                Peer::Etcd(endpoint) => {
                    let serving =
                        etcd::serve(site.clone(), self.executor.clone(), (link.proxy, endpoint), stream);
                    executor.spawn(serve_etcd(site, link, serving, until)).detach();
                }
                _ => executor.spawn(serve(site, link, stream, until)).detach(),
            }
        }
    }
}

/// A listen queue of no length, filled: from then on the kernel drops what would open a connection, as a machine that is gone
/// does.
fn fill_backlog(listener: &Async<TcpListener>, addr: SocketAddr) -> Vec<socket2::Socket> {
    _ = socket2::SockRef::from(listener.get_ref()).listen(0);
    let connect = |_| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        _ = socket.connect(&addr.into());
        Some(socket)
    };
    (0..FILLING_CONNECTIONS).filter_map(connect).collect()
}

/// Runs until its end, or until a moment; whether it ended.
async fn ends_before(clock: &Clock, until: Micros, serving: impl Future<Output = ()>) -> bool {
    let served = async {
        serving.await;
        true
    };
    let gone = async {
        until_or_forever(clock, until).await;
        false
    };
    or(served, gone).await
}

/// One connection, until it ends or the stretch does in which the peer is up.
async fn serve(site: Arc<Site>, link: Link, stream: Async<TcpStream>, until: Micros) {
    let mut connection = Connection::new(stream);
    let serving = serve_peer(&site, link, &mut connection);
    if ends_before(&site.clock, until, serving).await {
        return;
    }
    // Open and silent, until the peer is back and knows nothing of it. An attempt that is open ends with the connection,
    // whichever side ends it.
    loop {
        let (reachability, until) = site.reachability(link);
        if reachability != Reachability::Silent {
            abort_attempt(&site, link, &mut connection);
            return connection.reset();
        }
        let closed = async {
            match connection.open_attempt {
                Some(_) => connection.wait_closed().await,
                None => std::future::pending().await,
            }
        };
        if ends_before(&site.clock, until, closed).await {
            abort_attempt(&site, link, &mut connection);
        }
    }
}

async fn serve_peer(site: &Site, link: Link, connection: &mut Connection) {
    match link.peer {
        Peer::Server(index) if site.experiment.fleet.protocol() == Protocol::Resp => {
            resp::serve_attempts(site, index, link.proxy, connection).await;
        }
        Peer::Server(index) => server::serve_attempts(site, index, link.proxy, connection).await,
        Peer::List { .. } => list::serve_calls(site, link.proxy, connection).await,
        // Its connections are not of this kind: `etcd::serve` has them.
        Peer::Etcd(_) => {}
    }
}

/// The attempt that was open on a connection ends with it.
fn abort_attempt(site: &Site, link: Link, connection: &mut Connection) {
    if let (Some(id), Peer::Server(server)) = (connection.open_attempt.take(), link.peer) {
        site.evidence.record(id, link.proxy, EventKind::AttemptAborted { server: server as u16 });
    }
}

/// The same for a connection to etcd.
async fn serve_etcd(site: Arc<Site>, link: Link, serving: impl Future<Output = ()>, until: Micros) {
    let mut serving = std::pin::pin!(serving);
    if ends_before(&site.clock, until, serving.as_mut()).await {
        return;
    }
    // Not played on, it is silent; it is reset by the end of this.
    while let (Reachability::Silent, until) = site.reachability(link) {
        until_or_forever(&site.clock, until).await;
    }
}
