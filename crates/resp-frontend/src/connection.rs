//! Client connections. Commands are accepted in the order of arrival, their attempts run
//! concurrently, and the replies are written in the order of the commands.

mod backpressure;
mod client_presence;
mod command_reader;
mod dispatch;
mod encoded_reply;
mod idle;
mod key_order;
mod open_request;
mod pending_reply;
mod receive;
mod reply;
mod reply_writer;

pub(crate) use client_presence::ClientPresence;

use crate::frontend::Frontend;
use backpressure::{UnreadBytes, reply_queue};
use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_engine::lifecycle::Phase;
use chalkwalk_sockets::{LingerLimits, close_after_peer};
use receive::CommandReceiver;
use reply_writer::{ConnectionEnd, write_replies};
use slog::warn;
use smol::future::FutureExt;
use smol::{Async, Timer};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Delay after a failed accept, which happens when the process has no file descriptors left. The
/// delay is short compared with any time limit.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// After the last reply, commands that the client still sends are discarded for a moment, so that it
/// receives its replies. The bytes are as many as the longest command has.
const LINGER_LIMITS: LingerLimits = LingerLimits { timeout: Duration::from_secs(1), max_bytes: 4 << 20 };

/// Accepts connections until the process reaches `Phase::Finishing`.
pub async fn accept_clients(frontend: Rc<Frontend>, listener: Async<TcpListener>) {
    let process_finishing = async { frontend.engine.lifecycle.wait_for_phase(Phase::Finishing).await };
    process_finishing.or(accept_connections(&frontend, &listener)).await;
}

async fn accept_connections(frontend: &Rc<Frontend>, listener: &Async<TcpListener>) {
    let engine = &frontend.engine;
    let mut last_accept_failed = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                last_accept_failed = false;
                accept_connection(frontend, stream).await;
            }
            Err(error) => {
                // Consecutive failures are logged once.
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

/// Serves a connection in a task of its own, once a file descriptor is available for it. If none
/// becomes available, the first command of the connection is rejected.
async fn accept_connection(frontend: &Rc<Frontend>, stream: Async<TcpStream>) {
    let engine = &frontend.engine;
    let (permit, admitted) = engine.budget.acquire_for_client().await;
    _ = stream.get_ref().set_nodelay(true);
    let stream = Rc::new(stream);
    let connection = ClientConnection::new(engine);
    let frontend = frontend.clone();
    let serve_task = async move {
        serve_connection(&frontend, &stream, &connection, admitted).await;
        drop(permit);
    };
    engine.executor.spawn(serve_task).detach();
}

async fn serve_connection(
    frontend: &Rc<Frontend>,
    stream: &Rc<Async<TcpStream>>,
    connection: &ClientConnection,
    admitted: bool,
) {
    let unread = UnreadBytes::default();
    let presence = ClientPresence::new(stream);
    let (replies, queued_replies) = reply_queue(unread.clone());
    let receive_commands = async {
        let mut receiver =
            CommandReceiver::new(frontend, stream, connection, unread.clone(), presence.clone());
        receiver.run(admitted, replies).await;
        // The accepted commands are still answered: `write_replies` ends the connection.
        std::future::pending().await
    };
    let write_replies = write_replies(stream, queued_replies, &unread, connection, &presence);
    if write_replies.or(receive_commands).await == ConnectionEnd::LastReplyWritten {
        close_after_peer(stream, LINGER_LIMITS).await;
    }
}
