//! Reads commands from a connection, one by one, within the memory for messages.

use crate::arguments::Arguments;
use crate::message_cost::message_cost;
use crate::parse::parse_command;
use chalkwalk_resp::{ProtocolError, ReadLimits, Reader};
use chalkwalk_sockets::{
    LATER_READ_BYTES, MessageMemory, MessageReservation, is_idle, read_more, with_timeout,
};
use smol::Async;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Bytes of an incomplete command that are held without a reservation.
const MAX_UNRESERVED_BYTES: usize = 4 << 10;
/// Maximum time that an incomplete command waits for memory, if its time limit is longer.
const MAX_MEMORY_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that had arrived before a read are read within this time.
const QUEUED_READ_TIME: Duration = Duration::from_millis(10);

/// What the bytes that have been read but not parsed begin with.
pub enum NextCommand {
    /// The bytes begin with a command.
    Command(Arguments),
    /// The bytes begin with an empty array or a blank line, which gets no reply.
    Blank,
    /// The bytes hold no complete command.
    Incomplete,
}

/// The result of waiting for further bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes have arrived.
    Received,
    /// The stream has ended, or failed.
    Ended,
    /// No memory became free for the rest of the command.
    NoMemory,
}

/// Reads the commands of one connection.
pub struct CommandReader<'a> {
    stream: &'a Async<TcpStream>,
    parser: Reader,
    buf: Vec<u8>,
    /// The length of the parsed commands at the start of the buffer. They are dropped once all
    /// complete commands are parsed, so that pipelined commands are not moved after each command.
    parsed_bytes: usize,
    /// The memory for the incomplete command at the end of the buffer.
    reservation: MessageReservation,
    memory: MessageMemory,
    /// When the first bytes of the incomplete command were read, put off by the time that the command
    /// has waited for memory.
    command_started: Option<Instant>,
    /// How long the whole command has waited for memory; zero while its client still sends it.
    waited_for_memory: Duration,
    memory_timeout: Duration,
}

impl<'a> CommandReader<'a> {
    /// Creates a reader for a new connection. An incomplete command may wait for memory as long as
    /// the shortest time limit of a command: its client may have sent it whole already.
    pub fn new(
        stream: &'a Async<TcpStream>,
        memory: &MessageMemory,
        min_time_limit: Duration,
    ) -> CommandReader<'a> {
        CommandReader {
            stream,
            parser: Reader::new(ReadLimits::default()),
            buf: Vec::new(),
            parsed_bytes: 0,
            reservation: memory.empty_reservation(),
            memory: memory.clone(),
            command_started: None,
            waited_for_memory: Duration::ZERO,
            memory_timeout: min_time_limit.min(MAX_MEMORY_TIMEOUT),
        }
    }

    /// Parses the next command among the bytes that have been read.
    pub fn next_command(&mut self) -> Result<NextCommand, ProtocolError> {
        let Some(command) = parse_command(&mut self.parser, &self.buf[self.parsed_bytes..])? else {
            return Ok(NextCommand::Incomplete);
        };
        self.command_started = None;
        let reservation = std::mem::replace(&mut self.reservation, self.memory.empty_reservation());
        let bytes = self.take_command(command.len);
        if command.arguments.is_empty() {
            return Ok(NextCommand::Blank);
        }
        let reservation = (reservation.bytes() > 0).then_some(reservation);
        let mut arguments = Arguments::new(bytes, command.arguments, reservation);
        arguments.waited = std::mem::take(&mut self.waited_for_memory);
        Ok(NextCommand::Command(arguments))
    }

    /// Takes a parsed command out of the buffer. A command that was read in several parts begins the
    /// buffer, and is not copied.
    fn take_command(&mut self, len: usize) -> Vec<u8> {
        if self.reservation_covers_buffer(len) {
            let rest = self.buf.split_off(len);
            return std::mem::replace(&mut self.buf, rest);
        }
        let start = self.parsed_bytes;
        self.parsed_bytes += len;
        self.buf[start..start + len].to_vec()
    }

    fn reservation_covers_buffer(&self, len: usize) -> bool {
        self.parsed_bytes == 0 && len > MAX_UNRESERVED_BYTES
    }

    /// Drops the parsed bytes.
    pub fn discard_parsed(&mut self) {
        self.buf.drain(..self.parsed_bytes);
        self.parsed_bytes = 0;
    }

    /// Whether no part of a command has been read. The caller has to discard the parsed bytes
    /// first.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// When the first bytes of the incomplete command were read.
    pub fn command_started(&mut self) -> Instant {
        *self.command_started.get_or_insert_with(Instant::now)
    }

    /// Waits for more bytes.
    pub async fn read_more(&mut self) -> ReadOutcome {
        if self.buf.is_empty() {
            // The buffer is freed while the connection is idle.
            self.buf = Vec::new();
            _ = self.stream.readable().await;
        } else if !self.reserve_next_read().await {
            return ReadOutcome::NoMemory;
        }
        let started_at = Instant::now();
        let read = read_more(self.stream, &mut self.buf).await;
        if started_at.elapsed() > QUEUED_READ_TIME {
            self.waited_for_memory = Duration::ZERO;
        }
        match read {
            Ok(1..) => ReadOutcome::Received,
            Ok(0) | Err(_) => ReadOutcome::Ended,
        }
    }

    /// Reads bytes that have already arrived. Returns whether there were any.
    pub async fn read_arrived(&mut self) -> bool {
        !is_idle(self.stream) && self.read_more().await == ReadOutcome::Received
    }

    /// Reserves memory for the incomplete command as far as it is announced, so that commands that
    /// arrive at the same time do not keep each other from being completed. Returns false if too
    /// little is free for too long.
    async fn reserve_next_read(&mut self) -> bool {
        let announced = self.parser.announced_bytes().max(self.buf.len());
        let held = message_cost(announced, self.parser.parsed_frames());
        if self.buf.len() < MAX_UNRESERVED_BYTES && held < 2 * MAX_UNRESERVED_BYTES {
            return true;
        }
        let needed = held + LATER_READ_BYTES;
        if !self.reservation.try_grow_to(needed) {
            // The frames are not held during the wait. They are parsed again from the buffer.
            self.parser = Reader::new(ReadLimits::default());
            let waiting_since = Instant::now();
            if with_timeout(self.memory_timeout, self.reservation.grow_to(needed)).await.is_none() {
                return false;
            }
            let waited = waiting_since.elapsed();
            self.waited_for_memory += waited;
            self.command_started = self.command_started.map(|started| started + waited);
        }
        self.buf.reserve_exact(announced + LATER_READ_BYTES - self.buf.len());
        true
    }
}
