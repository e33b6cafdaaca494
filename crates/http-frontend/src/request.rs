//! A request as this frontend accepted it: how it is written on to a server, and its response read.

use crate::decimal::format_seconds;
use crate::frontend::{FRONTEND_NAME, Frontend, OpenId};
use crate::server_response;
use chalkwalk_engine::response::{BoxFuture, ClientRequest, ServerResponse};
use chalkwalk_http1::{Message, ResponseReader};
use chalkwalk_limits::RequestAttributes;
use chalkwalk_sockets::{is_idle, write_all};
use chalkwalk_time::{Span, Timestamp};
use smol::Async;
use std::io;
use std::net::TcpStream;
use std::ops::Range;
use std::rc::{Rc, Weak};

/// The fields that are written on to servers as they came.
const FORWARDED_FIELDS: [&str; 4] = ["Host", "X-Correlation-Id", "Idempotency-Key", "Content-Type"];

/// A request, with the message that it came in.
pub(crate) struct HttpRequest {
    pub frontend: Rc<Frontend>,
    pub message: Message,
    /// Where its key is in the message.
    pub key: Range<usize>,
    pub namespace: usize,
    pub class: usize,
    /// Of the settings that its class is of.
    pub generation: u64,
    pub write: bool,
    pub received_at: Timestamp,
    pub expires: Timestamp,
    /// Its client's connection, while that is served.
    pub client: Weak<Async<TcpStream>>,
    /// Its correlation id is in use for as long as it is open.
    pub _open: OpenId,
}

/// The path of a message's target, without its query.
pub(crate) fn path_of(message: &Message) -> &str {
    message.text(&message.target).split('?').next().unwrap_or("")
}

/// What the class of a request in a namespace is found by.
pub(crate) fn attributes_of(message: &Message, namespace: usize) -> RequestAttributes<'_> {
    RequestAttributes {
        namespace,
        path: path_of(message),
        tenant: tenant_of(message),
        frontend: FRONTEND_NAME,
    }
}

/// The tenant that a request is of; empty where it names none.
fn tenant_of(message: &Message) -> &str {
    let facts = message.header("X-Facts").unwrap_or("");
    facts.split(',').find_map(|fact| fact.trim().strip_prefix("tenant=")).unwrap_or("")
}

impl HttpRequest {
    async fn write(&self, stream: &Async<TcpStream>, time_left: Span) -> io::Result<()> {
        let message = &self.message;
        let time_left = format_seconds(time_left);
        let length = message.body.len().to_string();
        let mut parts: Vec<&[u8]> =
            vec![message.slice(&message.method), b" ", message.slice(&message.target), b" HTTP/1.1\r\n"];
        for name in FORWARDED_FIELDS {
            if let Some(value) = message.header_bytes(name) {
                parts.extend([name.as_bytes(), b": ", value, b"\r\n"]);
            }
        }
        parts.extend([&b"X-Time-Left: "[..], time_left.as_bytes(), b"\r\n"]);
        if self.write || !message.body.is_empty() {
            parts.extend([&b"Content-Length: "[..], length.as_bytes(), b"\r\n"]);
        }
        parts.extend([&b"\r\n"[..], message.slice(&message.body)]);
        write_all(stream, &parts).await
    }
}

impl ClientRequest for HttpRequest {
    fn class(&self) -> usize {
        self.class
    }

    fn attributes(&self) -> Option<RequestAttributes<'_>> {
        let same_settings = self.generation == self.frontend.engine.classes.generation();
        same_settings.then(|| attributes_of(&self.message, self.namespace))
    }

    fn received_at(&self) -> Timestamp {
        self.received_at
    }

    fn key(&self) -> &str {
        self.message.text(&self.key)
    }

    fn is_write(&self) -> bool {
        self.write
    }

    fn expires(&self) -> Timestamp {
        self.expires
    }

    /// Nothing comes from a client that waits: its end, and what it sends before the response, both
    /// end the request.
    fn client_is_waiting(&self) -> bool {
        self.client.upgrade().is_some_and(|client| is_idle(&client))
    }

    fn write_to<'a>(&'a self, stream: &'a Async<TcpStream>, left: Span) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(self.write(stream, left))
    }

    fn read_response<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<ServerResponse>> {
        Box::pin(async move {
            let reader = ResponseReader::start(stream).await.ok()?;
            server_response::read(reader, stream, &self.frontend.engine.response_memory).await
        })
    }
}
