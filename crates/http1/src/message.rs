//! A message as one buffer, with the positions of its parts in that buffer.

use chalkwalk_sockets::MessageReservation;
use std::ops::Range;

/// A request or a response. Its parts are stored as ranges of its buffer.
#[derive(Default)]
pub struct Message {
    /// The bytes of the head, followed by the decoded body once it has been read.
    pub buf: Vec<u8>,
    /// The method of a request.
    pub method: Range<usize>,
    /// The target of a request.
    pub target: Range<usize>,
    /// The status code of a response; 0 for a request.
    pub status: u16,
    /// The body, without its framing.
    pub body: Range<usize>,
    /// Whether the connection is to be closed after this message or the response to it.
    pub close: bool,
    /// Whether the message is HTTP/1.0, which does not support chunked encoding.
    pub is_http10: bool,
    /// Memory that the message has reserved.
    pub reservation: Option<MessageReservation>,
    /// The header fields, in the order received.
    pub(crate) headers: Vec<Header>,
}

/// The name and value of a header field, as ranges of the buffer.
pub(crate) struct Header {
    /// The name, in the case in which it was received.
    pub name: Range<usize>,
    /// The value.
    pub value: Range<usize>,
}

impl Message {
    /// The bytes of a range of the buffer.
    pub fn slice(&self, range: &Range<usize>) -> &[u8] {
        &self.buf[range.clone()]
    }

    /// A range of the buffer as text; empty if it is not valid UTF-8.
    pub fn text(&self, range: &Range<usize>) -> &str {
        std::str::from_utf8(self.slice(range)).unwrap_or("")
    }

    /// All values of a header field, in the order received.
    fn header_values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.headers
            .iter()
            .filter(move |header| self.text(&header.name).eq_ignore_ascii_case(name))
            .map(|header| self.slice(&header.value))
    }

    /// The first value of a header field, as bytes.
    pub fn header_bytes(&self, name: &str) -> Option<&[u8]> {
        self.header_values(name).next()
    }

    /// The first value of a header field as trimmed text; `None` if the field is absent or its
    /// value is not valid UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.header_bytes(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Whether any of these header fields occurs more than once. A recipient that uses the first
    /// value would then interpret the message differently from one that uses the last.
    pub fn has_duplicate(&self, names: &[&str]) -> bool {
        names.iter().any(|name| self.header_values(name).nth(1).is_some())
    }
}
