//! Connections to servers for attempts and health checks: one of the pool, or a new one within the
//! descriptor budget.

#[cfg(test)]
mod tests;

use crate::engine::Engine;
use crate::pool::ServerConnection;
use chalkwalk_balancer::{AttemptOutcome, ServerIndex};
use chalkwalk_sockets::within;
use rustix::io::Errno;
use smol::Async;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// A connection to the server, from the pool or new; otherwise how the attempt ends that needed it.
pub(crate) async fn pooled_or_new_connection(
    engine: &Engine,
    server: ServerIndex,
) -> Result<ServerConnection, AttemptOutcome> {
    let addr = address_of(engine, server)?;
    if let Some(connection) = engine.pool.acquire(server, addr).await {
        return Ok(connection);
    }
    open(engine, addr).await
}

/// A new connection to the server; otherwise how an attempt ends that needs it.
pub(crate) async fn new_connection(
    engine: &Engine,
    server: ServerIndex,
) -> Result<ServerConnection, AttemptOutcome> {
    let addr = address_of(engine, server)?;
    open(engine, addr).await
}

fn address_of(engine: &Engine, server: ServerIndex) -> Result<SocketAddr, AttemptOutcome> {
    engine.requests.borrow().servers.addr(server).ok_or(AttemptOutcome::Unreachable)
}

async fn open(engine: &Engine, addr: SocketAddr) -> Result<ServerConnection, AttemptOutcome> {
    let permit = engine.budget.acquire_for_server(|| engine.pool.close_longest_idle()).await;
    let connected = within(engine.config.connect_timeout.get(), Async::<TcpStream>::connect(addr)).await;
    let stream = connected.ok_or(AttemptOutcome::Unreachable)?.map_err(|error| outcome_of(&error))?;
    _ = stream.get_ref().set_nodelay(true);
    Ok(ServerConnection::new(stream, addr, permit))
}

/// How an attempt ends whose connection could not be opened. That this machine is out of
/// descriptors, of buffers or memory, or of ports says nothing about the server.
fn outcome_of(error: &io::Error) -> AttemptOutcome {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL) => {
            AttemptOutcome::NotSent
        }
        _ => AttemptOutcome::Unreachable,
    }
}
