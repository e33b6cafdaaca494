//! Reads commands from a connection, one by one.

use crate::arguments::Arguments;
use crate::parse::parse_command;
use chalkwalk_resp::{ProtocolError, ReadLimits, Reader};
use chalkwalk_sockets::read_more;
use smol::Async;
use std::net::TcpStream;

/// What the bytes that have been read but not parsed begin with.
pub enum NextCommand {
    /// The bytes begin with a command.
    Command(Arguments),
    /// The bytes begin with an empty array or a blank line, which gets no reply.
    Blank,
    /// The bytes hold no complete command.
    Incomplete,
}

/// Reads the commands of one connection.
pub struct CommandReader<'a> {
    stream: &'a Async<TcpStream>,
    parser: Reader,
    buf: Vec<u8>,
    /// The length of the parsed commands at the start of the buffer. They are dropped once all
    /// complete commands are parsed, so that pipelined commands are not moved after each command.
    parsed_bytes: usize,
}

impl<'a> CommandReader<'a> {
    /// Creates a reader for a new connection.
    pub fn new(stream: &'a Async<TcpStream>) -> CommandReader<'a> {
        CommandReader { stream, parser: Reader::new(ReadLimits::default()), buf: Vec::new(), parsed_bytes: 0 }
    }

    /// Parses the next command among the bytes that have been read.
    pub fn next_command(&mut self) -> Result<NextCommand, ProtocolError> {
        let Some(command) = parse_command(&mut self.parser, &self.buf[self.parsed_bytes..])? else {
            return Ok(NextCommand::Incomplete);
        };
        self.parsed_bytes += command.len;
        Ok(command.arguments.map_or(NextCommand::Blank, NextCommand::Command))
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

    /// Waits for more bytes. Returns false at the end of the stream or after an error.
    pub async fn read_more(&mut self) -> bool {
        if self.buf.is_empty() {
            // The buffer is freed while the connection is idle.
            self.buf = Vec::new();
            _ = self.stream.readable().await;
        }
        read_more(self.stream, &mut self.buf).await.unwrap_or(0) > 0
    }
}
