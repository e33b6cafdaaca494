//! Accepts client connections until the proxy shuts down.

use crate::connection::Connection;
use crate::frontend::Frontend;
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_time::Timestamp;
use slog::warn;
use smol::future::FutureExt;
use smol::{Async, Timer};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Delay before the next accept after one has failed, for example because no file descriptor was
/// available. It is short compared to any time limit of a request.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the proxy reaches [`Phase::Finishing`], and then those that are
/// already in the listener's queue.
pub async fn accept_connections(frontend: Rc<Frontend>, listener: Async<TcpListener>) {
    let engine = &frontend.engine;
    let mut awaiting_permit = None;
    let finishing = engine.lifecycle.wait_for_phase(Phase::Finishing);
    finishing.or(accept_forever(&frontend, &listener, &mut awaiting_permit)).await;
    // A client in the listener's queue may have sent a request already, so its connection is
    // accepted before the listener closes.
    let accept_pending = || listener.get_ref().accept().ok().and_then(|(stream, _)| Async::new(stream).ok());
    while let Some(stream) = awaiting_permit.take().or_else(accept_pending) {
        let (permit, admitted) = engine.budget.acquire_for_client().await;
        let earliest_arrival = engine.clock.earliest_arrival();
        spawn_connection(&frontend, Connection::new(&frontend, stream, permit, admitted), earliest_arrival);
    }
}

/// Accepts connections until this future is dropped. A connection that waits for its permit is kept
/// in `awaiting_permit`, so that it is not lost then.
async fn accept_forever(
    frontend: &Rc<Frontend>,
    listener: &Async<TcpListener>,
    awaiting_permit: &mut Option<Async<TcpStream>>,
) {
    let engine = &frontend.engine;
    let mut last_accept_failed = false;
    // The earliest time at which the connection accepted next can have arrived.
    let mut earliest_arrival = engine.clock.earliest_arrival();
    loop {
        match listener.get_ref().accept() {
            Ok((stream, _)) => {
                last_accept_failed = false;
                let Ok(stream) = Async::new(stream) else { continue };
                *awaiting_permit = Some(stream);
                // Acquiring a permit may close an idle connection, so it happens only once a new
                // connection needs the permit. A client whose connection is closed needlessly would
                // only connect again.
                let (permit, admitted) = engine.budget.acquire_for_client().await;
                if let Some(stream) = awaiting_permit.take() {
                    spawn_connection(
                        frontend,
                        Connection::new(frontend, stream, permit, admitted),
                        earliest_arrival,
                    );
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                _ = listener.readable().await;
                earliest_arrival = engine.clock.earliest_arrival();
            }
            Err(error) => {
                if !last_accept_failed {
                    warn!(engine.log, "cannot accept"; "fault" => %error);
                }
                last_accept_failed = true;
                engine.budget.close_idle();
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection(frontend: &Frontend, connection: Connection, earliest_arrival: Timestamp) {
    frontend.engine.executor.spawn(connection.serve(earliest_arrival)).detach();
}
