//! Commands off a connection, one by one.

use crate::arguments::Arguments;
use crate::parse::parse_command;
use chalkwalk_resp::{ProtocolError, ReadLimits, Reader};
use chalkwalk_sockets::read_more;
use smol::Async;
use std::net::TcpStream;

/// What the bytes that were read so far hold.
pub enum Input {
    /// A command.
    Command(Arguments),
    /// An empty array or a blank line, which is not answered.
    Blank,
    /// No whole command.
    Incomplete,
}

/// The bytes of a connection that are not yet parsed.
pub struct CommandReader<'a> {
    stream: &'a Async<TcpStream>,
    parser: Reader,
    buf: Vec<u8>,
    /// How much of the buffer is parsed. It is dropped when all whole commands are, so that a
    /// pipeline is not moved for each.
    parsed: usize,
}

impl<'a> CommandReader<'a> {
    /// A reader at the start of a connection.
    pub fn new(stream: &'a Async<TcpStream>) -> CommandReader<'a> {
        CommandReader { stream, parser: Reader::new(ReadLimits::default()), buf: Vec::new(), parsed: 0 }
    }

    /// The next command that was read already.
    pub fn next_command(&mut self) -> Result<Input, ProtocolError> {
        let Some(command) = parse_command(&mut self.parser, &self.buf[self.parsed..])? else {
            return Ok(Input::Incomplete);
        };
        self.parsed += command.len;
        Ok(command.arguments.map_or(Input::Blank, Input::Command))
    }

    /// Drops the bytes that are parsed.
    pub fn discard_parsed(&mut self) {
        self.buf.drain(..self.parsed);
        self.parsed = 0;
    }

    /// Whether no command has begun. Parsed bytes have to be discarded before.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Waits for more bytes. Returns whether there were any before the end of the stream.
    pub async fn read_more(&mut self) -> bool {
        if self.buf.is_empty() {
            // An idle connection holds no buffer.
            self.buf = Vec::new();
            _ = self.stream.readable().await;
        }
        read_more(self.stream, &mut self.buf).await.unwrap_or(0) > 0
    }
}
