//! Dispatches the commands of a connection: each is answered by the frontend itself, sent to one
//! server, or split by slot.

use super::ClientPresence;
use super::backpressure::UnreadBytes;
use super::encoded_reply::EncodedReply;
use super::key_order::KeyOrder;
use super::open_request::OpenRequest;
use super::pending_reply::{OpenPart, OpenSplit, PendingReply};
use super::reply::error_reply;
use crate::arguments::Arguments;
use crate::command::{Command, CommandError, KeyedCommand, SlotKeys, SplitCommand, classify_command};
use crate::frontend::Frontend;
use crate::request::{NewRequest, RequestError, RequestTerms, RespRequest};
use crate::session::Session;
use chalkwalk_resp::Writer;
use chalkwalk_sockets::MessageMemory;
use smol::lock::Semaphore;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of requests of one connection that are in flight; later commands are not read
/// until a request has ended. It equals the concurrency limit of a server about which nothing is
/// known yet, so that commands are not rejected only because they are pipelined.
const MAX_IN_FLIGHT_REQUESTS: usize = 8;

/// Commands and replies up to this length are held without a reservation. It is more than most of
/// them take, and eight of them per connection are little memory.
const MAX_UNRESERVED_BYTES: usize = 512;

/// Why a command is not accepted. The text is the error reply to the client, in the wording that
/// cluster servers use.
#[derive(Debug, Error)]
enum DispatchError {
    /// The client has not authenticated.
    #[error("NOAUTH Authentication required.")]
    NotAuthenticated,
    /// The command itself is invalid.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// Another proxy instance serves the slot.
    #[error("MOVED {slot} {addr}")]
    Moved {
        /// The slot of the command's keys.
        slot: u16,
        /// The address at which clients connect to that instance.
        addr: SocketAddr,
    },
    /// Too little memory is free for the command or its reply.
    #[error("TRYAGAIN deferred, no memory for this command")]
    NoMemory,
    /// The command is not accepted as a request.
    #[error(transparent)]
    Request(#[from] RequestError),
}

/// Dispatches the commands of one connection.
pub struct Dispatcher<'a> {
    frontend: &'a Rc<Frontend>,
    session: Session,
    key_order: KeyOrder,
    in_flight_permits: Arc<Semaphore>,
    unread: UnreadBytes,
    presence: Rc<ClientPresence>,
}

impl<'a> Dispatcher<'a> {
    /// Creates the dispatcher of a new connection from `peer`.
    pub fn new(
        frontend: &'a Rc<Frontend>,
        peer: String,
        unread: UnreadBytes,
        presence: Rc<ClientPresence>,
    ) -> Dispatcher<'a> {
        Dispatcher {
            frontend,
            session: Session::new(frontend.next_connection_id(), peer, &frontend.settings),
            key_order: KeyOrder::default(),
            in_flight_permits: Arc::new(Semaphore::new(MAX_IN_FLIGHT_REQUESTS)),
            unread,
            presence,
        }
    }

    /// Whether requests other than the one that is being started are in flight.
    fn has_open_requests(&self) -> bool {
        // The dispatcher and each permit hold a reference to the semaphore.
        Arc::strong_count(&self.in_flight_permits) > 2
    }

    /// Accepts a command, once the number of unread bytes of earlier replies is below its limit.
    pub async fn dispatch(&mut self, mut arguments: Arguments) -> PendingReply {
        let reserved = self.reserve(&mut arguments);
        self.unread.wait_below_limit().await;
        let reply = match reserved {
            Ok(()) => self.try_dispatch(arguments).await,
            Err(error) => Err(error),
        };
        reply.unwrap_or_else(|error| PendingReply::Ready(EncodedReply::new(error_reply(&error.to_string()))))
    }

    /// Reserves memory for a command while it waits and is served.
    fn reserve(&self, arguments: &mut Arguments) -> Result<(), DispatchError> {
        let cost = arguments.cost();
        if cost <= MAX_UNRESERVED_BYTES || arguments.reserved_bytes() >= cost {
            return Ok(());
        }
        let reservation = self.memory().try_reserve(cost).ok_or(DispatchError::NoMemory)?;
        arguments.set_reservation(reservation);
        Ok(())
    }

    fn memory(&self) -> &MessageMemory {
        &self.frontend.engine.message_memory
    }

    async fn try_dispatch(&mut self, arguments: Arguments) -> Result<PendingReply, DispatchError> {
        if !self.session.may_run(&arguments.keyword(0)) {
            return Err(DispatchError::NotAuthenticated);
        }
        match classify_command(&arguments, self.frontend.settings.split_multi_slot)? {
            Command::Local => self.execute(&arguments),
            Command::Keyed(command) => self.start_keyed(arguments, command).await,
            Command::Split(command) => self.start_split(arguments, command).await,
        }
    }

    fn execute(&mut self, arguments: &Arguments) -> Result<PendingReply, DispatchError> {
        let mut out = Writer::default();
        self.session.execute(arguments, &self.frontend.settings, &mut out);
        let bytes = out.take_bytes();
        let reservation = (bytes.len() > MAX_UNRESERVED_BYTES)
            .then(|| self.memory().try_reserve(bytes.len()).ok_or(DispatchError::NoMemory))
            .transpose()?;
        let mut reply = EncodedReply::with_reservation(bytes, reservation);
        reply.is_last = self.session.closing;
        Ok(PendingReply::Ready(reply))
    }

    async fn start_keyed(
        &mut self,
        arguments: Arguments,
        command: KeyedCommand,
    ) -> Result<PendingReply, DispatchError> {
        self.check_instance(command.keys.slot)?;
        let keys = arguments.key_texts(&command.keys.positions);
        let request = self.start(arguments, keys, &command.keys, command.write, true).await?;
        Ok(PendingReply::Request { request, resp3: self.session.resp3 })
    }

    async fn start_split(
        &mut self,
        mut arguments: Arguments,
        command: SplitCommand,
    ) -> Result<PendingReply, DispatchError> {
        // The parts are copies, which are held beside the command until the last of them is sent.
        let copied_cost = 2 * arguments.cost();
        let reservation = self.memory().try_reserve(copied_cost).ok_or(DispatchError::NoMemory)?;
        arguments.set_reservation(reservation);
        for part in &command.parts {
            self.check_instance(part.slot)?;
        }
        let mut all_positions: Vec<usize> =
            command.parts.iter().flat_map(|part| part.positions.iter().copied()).collect();
        all_positions.sort_unstable();
        let index_of = |position: &usize| all_positions.partition_point(|other| other < position);
        let part_commands: Vec<Arguments> =
            command.parts.iter().map(|part| arguments.with_keys(&part.positions, command.step)).collect();
        // Either all parts are accepted, or none is sent.
        for (part, part_arguments) in command.parts.iter().zip(&part_commands) {
            let keys = arguments.key_texts(&part.positions);
            let user = &self.session.user;
            RequestTerms::find(self.frontend, &keys, command.write, user, part_arguments.byte_len())?;
        }
        let mut parts = Vec::with_capacity(command.parts.len());
        for (part, part_arguments) in command.parts.into_iter().zip(part_commands) {
            let key_indices = part.positions.iter().map(index_of).collect();
            let keys = arguments.key_texts(&part.positions);
            let request = self.start(part_arguments, keys, &part, command.write, false).await?;
            parts.push(OpenPart { request, key_indices });
        }
        Ok(PendingReply::Split(OpenSplit {
            parts,
            merge_rule: command.merge,
            write: command.write,
            resp3: self.session.resp3,
            memory: self.memory().clone(),
        }))
    }

    /// Checks that this instance serves a slot, or that no instance does. If another one does, the
    /// client is redirected to it.
    fn check_instance(&self, slot: u16) -> Result<(), DispatchError> {
        let settings = &self.frontend.settings;
        match settings.instance_of(slot) {
            Some(instance) if instance.addr != settings.listen_addr => {
                Err(DispatchError::Moved { slot, addr: instance.addr })
            }
            _ => Ok(()),
        }
    }

    /// Starts a request, once the earlier commands on its keys that conflict with it are answered
    /// and fewer requests than the limit are in flight.
    async fn start(
        &mut self,
        arguments: Arguments,
        keys: Vec<String>,
        slot_keys: &SlotKeys,
        write: bool,
        may_stream: bool,
    ) -> Result<OpenRequest, DispatchError> {
        let key_hashes = self.key_order.hashes(&keys);
        self.key_order.wait_for_earlier(&key_hashes, write).await;
        let permit = self.in_flight_permits.acquire_arc().await;
        self.presence.wait_until_present(|| self.has_open_requests()).await;
        let client = Rc::downgrade(&self.presence);
        let new_request = NewRequest {
            arguments,
            keys: &keys,
            slot: slot_keys.slot,
            write,
            user: &self.session.user,
            client,
            may_stream,
        };
        let request = RespRequest::new(self.frontend, new_request)?;
        let started = OpenRequest::start(request, permit, key_hashes.clone());
        self.key_order.add(&key_hashes, write, &started.done);
        Ok(started.request)
    }
}
