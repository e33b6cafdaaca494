//! Receives the commands of a connection until the client closes it or violates the protocol, or
//! until the proxy has to close it.

use super::ClientPresence;
use super::backpressure::{ReplyQueue, UnreadBytes};
use super::command_reader::{CommandReader, NextCommand, ReadOutcome};
use super::dispatch::Dispatcher;
use super::encoded_reply::EncodedReply;
use super::idle::wait_for_eviction;
use super::pending_reply::PendingReply;
use super::reply::error_reply;
use crate::frontend::Frontend;
use chalkwalk_engine::engine::ClientConnection;
use chalkwalk_sockets::{with_deadline, with_timeout};
use smol::Async;
use smol::future::{FutureExt, yield_now};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time from the first bytes of a command to its end, without the time that it waits for
/// memory.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time between two commands. It is long, as client libraries keep pools of connections.
/// When file descriptors are scarce, idle connections are closed sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Maximum number of commands of a connection that are handled before other tasks run.
const COMMANDS_PER_TURN: usize = 32;

/// The reply to a command that was not received in time.
const COMMAND_TIMEOUT_ERROR: &str = "ERR Protocol error: the command was not received in time";
/// The reply to a command for whose rest no memory became free.
const NO_MEMORY_ERROR: &str = "TRYAGAIN deferred, no memory for this command";
/// The reply to the first command of a connection for which no file descriptor was available.
const NOT_ADMITTED_ERROR: &str = "TRYAGAIN deferred, no place for this connection";

/// The receiving side of a connection.
pub struct CommandReceiver<'a> {
    connection: &'a ClientConnection,
    reader: CommandReader<'a>,
    dispatcher: Dispatcher<'a>,
    /// Whether the client has sent a command on this connection.
    has_sent_command: bool,
}

impl<'a> CommandReceiver<'a> {
    /// Creates the receiving side of a new connection.
    pub fn new(
        frontend: &'a Rc<Frontend>,
        stream: &'a Async<TcpStream>,
        connection: &'a ClientConnection,
        unread: UnreadBytes,
        presence: Rc<ClientPresence>,
    ) -> CommandReceiver<'a> {
        let peer = stream.get_ref().peer_addr().map_or(String::new(), |addr| addr.to_string());
        let min_time_limit = Duration::from(frontend.engine.classes.min_time_limit());
        CommandReceiver {
            connection,
            reader: CommandReader::new(stream, &frontend.engine.message_memory, min_time_limit),
            dispatcher: Dispatcher::new(frontend, peer, unread, presence),
            has_sent_command: false,
        }
    }

    /// Receives commands until the connection ends. `admitted` states whether a file descriptor was
    /// available for the connection; if not, its first command is rejected.
    pub async fn run(&mut self, admitted: bool, replies: ReplyQueue) {
        let mut since_yield = 0;
        loop {
            let keep_open = match self.reader.next_command() {
                Ok(NextCommand::Command(arguments)) => {
                    self.has_sent_command = true;
                    let reply = if admitted {
                        self.dispatcher.dispatch(arguments).await
                    } else {
                        last_reply(NOT_ADMITTED_ERROR)
                    };
                    replies.push(reply).await
                }
                Ok(NextCommand::Blank) => {
                    self.has_sent_command = true;
                    true
                }
                Ok(NextCommand::Incomplete) => self.receive_more(&replies).await,
                Err(error) => replies.push(last_reply(&format!("ERR Protocol error: {error}"))).await,
            };
            if !keep_open {
                return;
            }
            since_yield += 1;
            if since_yield >= COMMANDS_PER_TURN {
                since_yield = 0;
                yield_now().await;
            }
        }
    }

    /// Waits for more bytes. Returns false if the connection ends instead.
    async fn receive_more(&mut self, replies: &ReplyQueue) -> bool {
        self.reader.discard_parsed();
        // A client that sends without a pause leaves the executor to the other connections between
        // its reads.
        yield_now().await;
        if self.reader.is_empty() {
            return self.receive_next_command(replies).await;
        }
        let deadline = self.reader.command_started() + COMMAND_TIMEOUT;
        match with_deadline(deadline, self.reader.read_more()).await {
            Some(ReadOutcome::Received) => true,
            Some(ReadOutcome::NoMemory) => replies.push(last_reply(NO_MEMORY_ERROR)).await,
            Some(ReadOutcome::Ended) => false,
            None => replies.push(last_reply(COMMAND_TIMEOUT_ERROR)).await,
        }
    }

    /// Waits for the first bytes of a command. Returns false if the connection ends instead.
    async fn receive_next_command(&mut self, replies: &ReplyQueue) -> bool {
        if self.connection.must_close() {
            replies.close().await;
            return false;
        }
        let close_requested = async {
            replies.wait_until_empty().await;
            wait_until_close_due(self.connection, self.has_sent_command).await;
            ReadOutcome::Ended
        };
        let received = with_timeout(IDLE_TIMEOUT, self.reader.read_more().or(close_requested)).await;
        // A command whose first bytes arrived before the close is still accepted.
        let received = received == Some(ReadOutcome::Received) || self.reader.read_arrived().await;
        if !received {
            replies.close().await;
        }
        received
    }
}

fn last_reply(error: &str) -> PendingReply {
    PendingReply::Ready(EncodedReply::last(error_reply(error)))
}

/// Waits until an idle connection has to be closed.
async fn wait_until_close_due(connection: &ClientConnection, has_sent_command: bool) {
    let evicted = wait_for_eviction(&connection.engine, has_sent_command);
    evicted.or(connection.wait_until_close_due()).await;
}
