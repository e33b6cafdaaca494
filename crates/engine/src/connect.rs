//! Connections to servers for attempts and health checks, either from the pool or newly opened
//! within the descriptor budget.

#[cfg(test)]
mod tests;

use crate::engine::Engine;
use crate::pool::ServerConnection;
use crate::server_process::ServerProcess;
use chalkwalk_balancer::{AttemptOutcome, ServerIndex};
use chalkwalk_sockets::with_timeout;
use rustix::io::Errno;
use smol::Async;
use std::io;
use std::net::TcpStream;

/// Returns a connection to the server, from the pool or new. The error is the outcome of the
/// attempt that needs the connection.
pub(crate) async fn pooled_or_new_connection(
    engine: &Engine,
    server: ServerIndex,
) -> Result<ServerConnection, AttemptOutcome> {
    let process = process_of(engine, server)?;
    if let Some(connection) = engine.pool.acquire(server, process).await {
        return Ok(connection);
    }
    open(engine, process).await
}

/// Opens a new connection to the server. The error is the outcome of the attempt that needs it.
pub(crate) async fn new_connection(
    engine: &Engine,
    server: ServerIndex,
) -> Result<ServerConnection, AttemptOutcome> {
    let process = process_of(engine, server)?;
    open(engine, process).await
}

/// Whether the process that a connection belongs to still serves at the server's address.
pub(crate) fn is_current(engine: &Engine, server: ServerIndex, connection: &ServerConnection) -> bool {
    process_of(engine, server) == Ok(connection.process)
}

/// Returns a connection to the pool after a response, unless another process has taken the place of
/// the one that it belongs to.
pub(crate) fn return_to_pool(engine: &Engine, server: ServerIndex, connection: ServerConnection) {
    if is_current(engine, server, &connection) {
        engine.pool.put(server, connection);
    }
}

fn process_of(engine: &Engine, server: ServerIndex) -> Result<ServerProcess, AttemptOutcome> {
    engine.requests.borrow().servers.process(server).ok_or(AttemptOutcome::Unreachable)
}

async fn open(engine: &Engine, process: ServerProcess) -> Result<ServerConnection, AttemptOutcome> {
    let permit = engine.budget.acquire_for_server(|| engine.pool.close_longest_idle()).await;
    let connected =
        with_timeout(engine.config.connect_timeout.get(), Async::<TcpStream>::connect(process.addr)).await;
    let stream = connected.ok_or(AttemptOutcome::Unreachable)?.map_err(|error| outcome_of(&error))?;
    _ = stream.get_ref().set_nodelay(true);
    Ok(ServerConnection::new(stream, process, permit))
}

/// The outcome of an attempt whose connection could not be opened. A shortage of descriptors,
/// buffers, memory or ports on this machine says nothing about the server.
fn outcome_of(error: &io::Error) -> AttemptOutcome {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL) => {
            AttemptOutcome::NotSent
        }
        _ => AttemptOutcome::Unreachable,
    }
}
