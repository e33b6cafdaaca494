//! Clients' connections. Commands are accepted as they come, their attempts do not wait for each
//! other, and replies go out in order.

mod backpressure;
mod command_reader;
mod dispatch;
mod idle;
mod key_order;
mod open_request;
mod pending_reply;
mod receive;
mod reply;
mod reply_writer;

use crate::frontend::Frontend;
use backpressure::{UnreadBytes, reply_queue};
use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_engine::lifecycle::Phase;
use receive::Receiving;
use reply_writer::write_replies;
use slog::warn;
use smol::future::FutureExt;
use smol::{Async, Timer};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// After an accept that failed, as it does when no descriptor is left: short compared with any time
/// limit.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Accepts connections until the process finishes.
pub async fn accept_clients(frontend: Rc<Frontend>, listener: Async<TcpListener>) {
    let finishing = async { frontend.engine.lifecycle.reached(Phase::Finishing).await };
    finishing.or(accept_all(&frontend, &listener)).await;
}

async fn accept_all(frontend: &Rc<Frontend>, listener: &Async<TcpListener>) {
    let engine = &frontend.engine;
    let mut failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                failing = false;
                accept_one(frontend, stream).await;
            }
            Err(error) => {
                // One line for a row of failures.
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

/// Serves a connection in a task of its own, once a descriptor is free for it. Where none is, its
/// commands are rejected.
async fn accept_one(frontend: &Rc<Frontend>, stream: Async<TcpStream>) {
    let engine = &frontend.engine;
    let (permit, admitted) = engine.budget.acquire_for_client().await;
    _ = stream.get_ref().set_nodelay(true);
    let connection = ClientConnection::new(engine);
    let frontend = frontend.clone();
    let serving = async move {
        serve(&frontend, &stream, &connection, admitted).await;
        drop(permit);
    };
    engine.executor.spawn(serving).detach();
}

async fn serve(
    frontend: &Rc<Frontend>,
    stream: &Async<TcpStream>,
    connection: &ClientConnection,
    admitted: bool,
) {
    let (replies, queued) = reply_queue();
    let unread = UnreadBytes::default();
    let receiving = async {
        let mut receiving = Receiving::new(frontend, stream, connection, unread.clone());
        receiving.run(admitted, replies).await;
        // Commands that were accepted are still answered.
        std::future::pending().await
    };
    write_replies(stream, queued, &unread).or(receiving).await;
}
