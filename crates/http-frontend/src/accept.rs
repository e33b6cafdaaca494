//! Client connections, accepted until the proxy shuts down.

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

/// After an accept that failed, as it does when no descriptor is left: short beside any time limit.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Accepts connections until the proxy finishes; those that have arrived by then are accepted as
/// well.
pub async fn accept(frontend: Rc<Frontend>, listener: Async<TcpListener>) {
    let engine = &frontend.engine;
    let mut waiting = None;
    let finishing = engine.lifecycle.reached(Phase::Finishing);
    finishing.or(accept_forever(&frontend, &listener, &mut waiting)).await;
    // A client that is connected by now may have sent a request: it is accepted before the listener
    // closes.
    let arrived = || listener.get_ref().accept().ok().and_then(|(stream, _)| Async::new(stream).ok());
    while let Some(stream) = waiting.take().or_else(arrived) {
        let (permit, admitted) = engine.budget.acquire_for_client().await;
        let arrived_after = engine.clock.earliest_arrival();
        spawn(&frontend, Connection::new(&frontend, stream, permit, admitted), arrived_after);
    }
}

/// Accepts connections. One that waits for its permit is kept in `waiting`, so that it is not lost
/// when this is dropped.
async fn accept_forever(
    frontend: &Rc<Frontend>,
    listener: &Async<TcpListener>,
    waiting: &mut Option<Async<TcpStream>>,
) {
    let engine = &frontend.engine;
    let mut failing = false;
    // No connection that is accepted next arrived before this.
    let mut arrived_after = engine.clock.earliest_arrival();
    loop {
        match listener.get_ref().accept() {
            Ok((stream, _)) => {
                failing = false;
                let Ok(stream) = Async::new(stream) else { continue };
                *waiting = Some(stream);
                // An idle connection is closed only for one that is here: a client that is closed
                // for nothing comes again.
                let (permit, admitted) = engine.budget.acquire_for_client().await;
                if let Some(stream) = waiting.take() {
                    spawn(frontend, Connection::new(frontend, stream, permit, admitted), arrived_after);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                _ = listener.readable().await;
                arrived_after = engine.clock.earliest_arrival();
            }
            Err(error) => {
                if !failing {
                    warn!(engine.log, "cannot accept"; "fault" => %error);
                }
                failing = true;
                engine.budget.close_idle();
                Timer::after(ACCEPT_RETRY).await;
            }
        }
    }
}

fn spawn(frontend: &Frontend, connection: Connection, arrived_after: Timestamp) {
    frontend.engine.executor.spawn(connection.serve(arrived_after)).detach();
}
