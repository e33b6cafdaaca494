//! Receives a connection's commands until the client ends it, breaks the protocol, or the
//! connection has to be closed.

use super::backpressure::{ReplyQueue, UnreadBytes};
use super::command_reader::{CommandReader, Input};
use super::dispatch::Dispatcher;
use super::idle::evicted_while_idle;
use super::pending_reply::PendingReply;
use super::reply::error_reply;
use crate::frontend::Frontend;
use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_sockets::within;
use smol::Async;
use smol::future::FutureExt;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// From its first byte to a whole command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// Between two commands. Drivers keep pools of connections; idle ones are closed sooner where
/// descriptors are short.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// The reply to the first command of a connection that no descriptor was free for.
const NOT_ADMITTED: &str = "TRYAGAIN deferred, no place for this connection";

/// The receiving side of a connection.
pub struct Receiving<'a> {
    connection: &'a ClientConnection,
    reader: CommandReader<'a>,
    dispatcher: Dispatcher<'a>,
    /// Whether the client has sent a command.
    used: bool,
}

impl<'a> Receiving<'a> {
    /// The receiving side of a new connection.
    pub fn new(
        frontend: &'a Rc<Frontend>,
        stream: &'a Async<TcpStream>,
        connection: &'a ClientConnection,
        unread: UnreadBytes,
    ) -> Receiving<'a> {
        let peer = stream.get_ref().peer_addr().map_or(String::new(), |addr| addr.to_string());
        Receiving {
            connection,
            reader: CommandReader::new(stream),
            dispatcher: Dispatcher::new(frontend, peer, unread),
            used: false,
        }
    }

    /// Receives commands until the connection ends. `admitted`: a descriptor was free for it; else
    /// its first command is rejected.
    pub async fn run(&mut self, admitted: bool, replies: ReplyQueue) {
        loop {
            let more = match self.reader.next_command() {
                Ok(Input::Command(arguments)) => {
                    self.used = true;
                    let reply = if admitted {
                        self.dispatcher.dispatch(arguments).await
                    } else {
                        PendingReply::Last(error_reply(NOT_ADMITTED))
                    };
                    replies.push(reply).await
                }
                Ok(Input::Blank) => {
                    self.used = true;
                    true
                }
                Ok(Input::Incomplete) => self.receive_more(&replies).await,
                Err(error) => {
                    let reply = error_reply(&format!("ERR Protocol error: {error}"));
                    replies.push(PendingReply::Last(reply)).await
                }
            };
            if !more {
                return;
            }
        }
    }

    /// Waits for more bytes. Returns false where the connection ends instead.
    async fn receive_more(&mut self, replies: &ReplyQueue) -> bool {
        self.reader.discard_parsed();
        let between_commands = self.reader.is_empty();
        if between_commands && self.connection.must_close() {
            replies.close().await;
            return false;
        }
        let timeout = if between_commands { IDLE_TIMEOUT } else { COMMAND_TIMEOUT };
        let idle = between_commands && replies.is_empty();
        let closed = async {
            closed_while_idle(self.connection, idle, self.used).await;
            false
        };
        let received = within(timeout, self.reader.read_more().or(closed)).await.unwrap_or(false);
        if !received && (idle || self.reader.is_empty()) {
            replies.close().await;
        }
        received
    }
}

/// Waits until an idle connection has to be closed; for ever if it is not idle.
async fn closed_while_idle(connection: &ClientConnection, idle: bool, used: bool) {
    if !idle {
        return std::future::pending().await;
    }
    let evicted = evicted_while_idle(&connection.engine, used);
    evicted.or(connection.close_due()).await;
}
