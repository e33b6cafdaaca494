//! A message, and where its parts stand in its buffer.

use chalkwalk_sockets::MemoryReservation;
use std::ops::Range;

/// A request or a response. Its parts are ranges of its buffer.
#[derive(Default)]
pub struct Message {
    /// The head's bytes, and the body's behind them once they are read.
    pub buf: Vec<u8>,
    /// A request's method.
    pub method: Range<usize>,
    /// A request's target.
    pub target: Range<usize>,
    /// A response's status; 0 of a request.
    pub status: u16,
    /// The body, its framing taken off.
    pub body: Range<usize>,
    /// Whether the connection is to be closed after this message or the response to it.
    pub close: bool,
    /// Whether it is of HTTP/1.0, which knows no chunks.
    pub is_http10: bool,
    /// What its body has reserved of the memory for long bodies.
    pub reservations: Vec<MemoryReservation>,
    /// The header fields, in their order.
    pub(crate) headers: Vec<Header>,
}

/// A header field's name and value, as ranges of the buffer.
pub(crate) struct Header {
    /// The name, in any case.
    pub name: Range<usize>,
    /// The value.
    pub value: Range<usize>,
}

impl Message {
    /// A part of the buffer.
    pub fn slice(&self, range: &Range<usize>) -> &[u8] {
        &self.buf[range.clone()]
    }

    /// A part of the buffer as text; empty if it is not UTF-8.
    pub fn text(&self, range: &Range<usize>) -> &str {
        std::str::from_utf8(self.slice(range)).unwrap_or("")
    }

    /// All values of a header field, in their order.
    fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.headers
            .iter()
            .filter(move |header| self.text(&header.name).eq_ignore_ascii_case(name))
            .map(|header| self.slice(&header.value))
    }

    /// The first value of a header field.
    pub fn header_bytes(&self, name: &str) -> Option<&[u8]> {
        self.values(name).next()
    }

    /// The first value of a header field as text, trimmed; `None` also if it is not UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.header_bytes(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Whether one of these header fields is there more than once: a reader of the first value then
    /// sees another message than a reader of the last.
    pub fn has_duplicate(&self, names: &[&str]) -> bool {
        names.iter().any(|name| self.values(name).nth(1).is_some())
    }
}
