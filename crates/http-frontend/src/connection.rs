//! Clients' connections, one request at a time on each.

use crate::admit::admit;
use crate::door::Frontend;
use crate::relay::{self, Reply};
use crate::route::route;
use crate::take_in::take_in;
use chalkwalk_engine::budget::Permit;
use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_sockets::is_idle;
use chalkwalk_time::{Span, Timestamp};
use slog::warn;
use smol::future::FutureExt;
use smol::{Async, Timer};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// After an accept that failed, as it does when no descriptor is left: short beside any time limit.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What was there whole is read in a few turns of the executor.
const READ_AT_ONCE: Span = Span::from_millis(10);

/// Takes connections until the proxy empties; whoever has one by then is let in.
pub async fn accept(door: Rc<Frontend>, listener: Async<TcpListener>) {
    let engine = &door.engine;
    let mut held = None;
    let over = async {
        engine.lifecycle.reached(Phase::Finishing).await;
    };
    let taking = async {
        let mut failing = false;
        // No connection that is accepted next came before that.
        let mut clear = engine.clock.earliest_arrival();
        loop {
            match listener.get_ref().accept() {
                Ok((stream, _)) => {
                    failing = false;
                    let Ok(stream) = Async::new(stream) else { continue };
                    held = Some(stream);
                    // Room is made only for one that is here: whoever is closed for nothing comes again.
                    let (permit, taken) = engine.budget.acquire_for_client().await;
                    if let Some(stream) = held.take() {
                        welcome(&door, stream, permit, taken, clear);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    _ = listener.readable().await;
                    clear = engine.clock.earliest_arrival();
                }
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn!(engine.log, "cannot accept"; "fault" => %e);
                    }
                    engine.budget.close_idle();
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
    };
    over.or(taking).await;
    // Whoever has a connection by now may have written a request to it: taken in, before the door closes.
    let waiting = || listener.get_ref().accept().ok().and_then(|(stream, _)| Async::new(stream).ok());
    while let Some(stream) = held.take().or_else(waiting) {
        let (permit, taken) = engine.budget.acquire_for_client().await;
        welcome(&door, stream, permit, taken, engine.clock.earliest_arrival());
    }
}

fn welcome(door: &Rc<Frontend>, stream: Async<TcpStream>, permit: Permit, taken: bool, clear: Timestamp) {
    _ = stream.get_ref().set_nodelay(true);
    let open = ClientConnection::new(&door.engine);
    door.engine.executor.spawn(serve(door.clone(), stream, permit, open, taken, clear)).detach();
}

/// One connection, to its end: the stages in their order. Requests that are not taken are turned away at once.
async fn serve(
    door: Rc<Frontend>,
    stream: Async<TcpStream>,
    mut permit: Permit,
    open: ClientConnection,
    mut taken: bool,
    clear: Timestamp,
) {
    let (engine, stream) = (&door.engine, Rc::new(stream));
    let mut rest = Vec::new();
    let mut opened = Some(Instant::now());
    // What is there already may have waited for as long as the connection did: that much less time is left to it. It is
    // whole then, and what is still on its way has not waited.
    let (mut waited, welcomed) = (!is_idle(&stream), engine.clock.now());
    loop {
        let message = match take_in(&open, &stream, &mut rest, opened.take()).await {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(error) => return relay::turn_down(&stream, Reply::bare(error.status())).await,
        };
        let waited = std::mem::take(&mut waited) && engine.clock.now() < welcomed + READ_AT_ONCE;
        let came = if waited { clear } else { engine.clock.earliest_arrival() };
        if !taken && let Some(place) = engine.budget.acquire_for_client_soon().await {
            // It came while all others were busy; by now one is not.
            _ = std::mem::replace(&mut permit, place);
            taken = true;
        }
        let (close, old) = (message.close || !taken, message.is_http10);
        let answer = match admit(&door, message, came, &stream) {
            // More at once than one request: none of it is taken.
            _ if !rest.is_empty() => Reply::bare(400),
            Ok(_) if !taken => Reply::bare(503),
            Ok(request) => match route(engine, &stream, &mut rest, request).await {
                Some(answer) => answer,
                None => return,
            },
            Err(answer) => answer,
        };
        if (400..500).contains(&answer.status) {
            return relay::turn_down(&stream, answer).await;
        }
        let close = close || open.must_close();
        if !relay::relay(&stream, answer, close, old).await {
            return;
        }
    }
}
