//! The HTTP reply to a client.

use crate::decimal::format_seconds;
use chalkwalk_engine::response::{BodyStream, Response, ResponseStatus};
use chalkwalk_http1::reason_phrase;
use chalkwalk_sockets::MessageReservation;
use chalkwalk_time::Span;

/// A response as HTTP represents it: a status code, header fields and a body.
pub(crate) struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    /// The rest of the body, if only its start was read in advance.
    pub stream: Option<Box<BodyStream>>,
    retry_after: Option<Span>,
    content_type: String,
    _memory_reservation: Option<MessageReservation>,
}

impl Reply {
    /// Creates a reply without a body.
    pub fn empty(status: u16) -> Reply {
        Reply {
            status,
            body: Vec::new(),
            stream: None,
            retry_after: None,
            content_type: String::new(),
            _memory_reservation: None,
        }
    }

    /// Whether the status code is a client error (4xx).
    pub fn is_client_error(&self) -> bool {
        (400..500).contains(&self.status)
    }

    /// Formats the status line and the header fields, without the empty line that ends the head.
    /// `close` states that the connection closes after the reply.
    pub fn head(&self, content_length: Option<u64>, close: bool) -> String {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        if let Some(length) = content_length {
            head += &format!("Content-Length: {length}\r\n");
        }
        if !self.content_type.is_empty() {
            head += &format!("Content-Type: {}\r\n", self.content_type);
        }
        if let Some(retry_after) = self.retry_after {
            head += &format!("Retry-After: {}\r\n", format_seconds(retry_after));
        }
        if close {
            head += "Connection: close\r\n";
        }
        head
    }
}

impl From<Response> for Reply {
    fn from(response: Response) -> Reply {
        let (status, retry_after) = match response.status {
            ResponseStatus::Served => (200, None),
            ResponseStatus::Rejected(retry_after) => (503, retry_after),
            ResponseStatus::Failed => (500, None),
        };
        Reply {
            status,
            body: response.body,
            stream: response.stream.map(Box::new),
            retry_after,
            content_type: response.content_type,
            _memory_reservation: response.memory_reservation,
        }
    }
}
