//! What happens to each command of a connection: it is answered here, sent to one server, or split
//! by slot.

use super::backpressure::UnreadBytes;
use super::key_order::KeyOrder;
use super::open_request::OpenRequest;
use super::pending_reply::{OpenPart, OpenSplit, PendingReply};
use super::reply::error_reply;
use crate::arguments::Arguments;
use crate::command::{Command, CommandError, KeyedCommand, SplitCommand, classify_command};
use crate::frontend::Frontend;
use crate::request::{NewRequest, RespRequest, TooLongForClass};
use crate::session::Session;
use chalkwalk_resp::Writer;
use smol::lock::Semaphore;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;

/// Requests of one connection that are in flight at once; later commands wait unread. As many as
/// the concurrency limit of a server that nothing is known of yet, so that a pipeline alone is no
/// reason to reject its commands.
const MAX_OPEN_REQUESTS: usize = 8;

/// Why a command is not accepted; the text is the error reply, as the dialect defines it.
#[derive(Debug, Error)]
enum DispatchError {
    /// The client has to authenticate first.
    #[error("NOAUTH Authentication required.")]
    NotAuthenticated,
    /// The command itself is wrong.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// Another instance answers for the slot.
    #[error("MOVED {slot} {addr}")]
    Moved {
        /// The slot of the command's keys.
        slot: u16,
        /// Where clients reach that instance.
        addr: SocketAddr,
    },
    /// The command is too long.
    #[error(transparent)]
    TooLong(#[from] TooLongForClass),
}

/// The commands of one connection.
pub struct Dispatcher<'a> {
    frontend: &'a Rc<Frontend>,
    session: Session,
    key_order: KeyOrder,
    open_requests: Arc<Semaphore>,
    unread: UnreadBytes,
}

impl<'a> Dispatcher<'a> {
    /// The commands of a new connection from that peer.
    pub fn new(frontend: &'a Rc<Frontend>, peer: String, unread: UnreadBytes) -> Dispatcher<'a> {
        Dispatcher {
            frontend,
            session: Session::new(frontend.next_connection_id(), peer, &frontend.settings),
            key_order: KeyOrder::default(),
            open_requests: Arc::new(Semaphore::new(MAX_OPEN_REQUESTS)),
            unread,
        }
    }

    /// Accepts one command, once the client has read enough of the replies before it.
    pub async fn dispatch(&mut self, arguments: Arguments) -> PendingReply {
        self.unread.below_limit().await;
        match self.try_dispatch(arguments).await {
            Ok(reply) => reply,
            Err(error) => PendingReply::Ready(error_reply(&error.to_string())),
        }
    }

    async fn try_dispatch(&mut self, arguments: Arguments) -> Result<PendingReply, DispatchError> {
        if !self.session.may_run(&arguments.keyword(0)) {
            return Err(DispatchError::NotAuthenticated);
        }
        match classify_command(&arguments, self.frontend.settings.split_multi_slot)? {
            Command::Local => Ok(self.execute(&arguments)),
            Command::Keyed(command) => self.start_keyed(arguments, command).await,
            Command::Split(command) => self.start_split(&arguments, command).await,
        }
    }

    fn execute(&mut self, arguments: &Arguments) -> PendingReply {
        let mut out = Writer::default();
        self.session.execute(arguments, &self.frontend.settings, &mut out);
        if self.session.closing {
            PendingReply::Last(out.take_bytes())
        } else {
            PendingReply::Ready(out.take_bytes())
        }
    }

    async fn start_keyed(
        &mut self,
        arguments: Arguments,
        command: KeyedCommand,
    ) -> Result<PendingReply, DispatchError> {
        self.check_instance(command.keys.slot)?;
        let keys = arguments.key_texts(&command.keys.positions);
        let request = self.start(arguments, keys, command.keys.slot, command.write).await?;
        Ok(PendingReply::Request { request, resp3: self.session.resp3 })
    }

    async fn start_split(
        &mut self,
        arguments: &Arguments,
        command: SplitCommand,
    ) -> Result<PendingReply, DispatchError> {
        for part in &command.parts {
            self.check_instance(part.slot)?;
        }
        let mut all_positions: Vec<usize> =
            command.parts.iter().flat_map(|part| part.positions.iter().copied()).collect();
        all_positions.sort_unstable();
        let index_of = |position: &usize| all_positions.partition_point(|other| other < position);
        let mut parts = Vec::with_capacity(command.parts.len());
        for part in command.parts {
            let key_indices = part.positions.iter().map(index_of).collect();
            let keys = arguments.key_texts(&part.positions);
            let part_arguments = arguments.with_keys(&part.positions, command.step);
            let request = self.start(part_arguments, keys, part.slot, command.write).await?;
            parts.push(OpenPart { request, key_indices });
        }
        let resp3 = self.session.resp3;
        Ok(PendingReply::Split(OpenSplit { parts, rule: command.merge, write: command.write, resp3 }))
    }

    /// Whether this instance answers for a slot, or no instance does.
    fn check_instance(&self, slot: u16) -> Result<(), DispatchError> {
        let settings = &self.frontend.settings;
        match settings.instance_of(slot) {
            Some(instance) if instance.addr != settings.listen => {
                Err(DispatchError::Moved { slot, addr: instance.addr })
            }
            _ => Ok(()),
        }
    }

    /// Starts a request once earlier commands on its keys are answered and fewer than the limit are
    /// in flight.
    async fn start(
        &mut self,
        arguments: Arguments,
        keys: Vec<String>,
        slot: u16,
        write: bool,
    ) -> Result<OpenRequest, DispatchError> {
        self.key_order.wait_for_earlier(&keys, write).await;
        let permit = self.open_requests.acquire_arc().await;
        let new = NewRequest { arguments, key: &keys[0], slot, write, user: &self.session.user };
        let started = OpenRequest::start(RespRequest::new(self.frontend, new)?, permit);
        self.key_order.add(keys, write, &started.done);
        Ok(started.request)
    }
}
