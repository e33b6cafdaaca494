//! An accepted request: writes it to a server and reads the server's response.

use crate::decimal::format_seconds;
use crate::frontend::{FRONTEND_NAME, Frontend};
use crate::request_ids::OpenId;
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

/// The header fields that are forwarded to servers unchanged.
const FORWARDED_FIELDS: [&str; 4] = ["Host", "X-Correlation-Id", "Idempotency-Key", "Content-Type"];

/// An accepted request, with the message that carried it.
pub(crate) struct HttpRequest {
    pub frontend: Rc<Frontend>,
    pub message: Message,
    /// The range of the key in the message's buffer.
    pub key: Range<usize>,
    pub namespace: usize,
    pub class: usize,
    /// The generation of the settings in which `class` is an index.
    pub settings_generation: u64,
    pub is_write: bool,
    pub received_at: Timestamp,
    pub expires_at: Timestamp,
    /// The client's connection, while it is being served.
    pub client_stream: Weak<Async<TcpStream>>,
    /// Keeps the correlation id claimed while the request is open.
    pub open_id: OpenId,
}

/// The path of a message's target, without the query.
pub(crate) fn path_of(message: &Message) -> &str {
    message.text(&message.target).split('?').next().unwrap_or("")
}

/// The attributes that determine the class of a request.
pub(crate) fn attributes_of(message: &Message, namespace: usize) -> RequestAttributes<'_> {
    RequestAttributes {
        namespace,
        path: path_of(message),
        tenant: tenant_of(message),
        frontend: FRONTEND_NAME,
    }
}

/// The tenant that a request names in its `X-Facts` field; empty if it names none.
fn tenant_of(message: &Message) -> &str {
    let facts = message.header("X-Facts").unwrap_or("");
    facts.split(',').find_map(|fact| fact.trim().strip_prefix("tenant=")).unwrap_or("")
}

impl HttpRequest {
    async fn write_request(&self, stream: &Async<TcpStream>, time_left: Span) -> io::Result<()> {
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
        if self.is_write || !message.body.is_empty() {
            parts.extend([&b"Content-Length: "[..], length.as_bytes(), b"\r\n"]);
        }
        parts.extend([&b"\r\n"[..], message.slice(&message.body)]);
        write_all(stream, &parts).await?;
        self.open_id.mark_sent();
        Ok(())
    }
}

impl ClientRequest for HttpRequest {
    fn class(&self) -> usize {
        self.class
    }

    fn attributes(&self) -> Option<RequestAttributes<'_>> {
        let same_settings = self.settings_generation == self.frontend.engine.classes.generation();
        same_settings.then(|| attributes_of(&self.message, self.namespace))
    }

    fn received_at(&self) -> Timestamp {
        self.received_at
    }

    fn key(&self) -> &str {
        self.message.text(&self.key)
    }

    fn is_write(&self) -> bool {
        self.is_write
    }

    fn expires_at(&self) -> Timestamp {
        self.expires_at
    }

    /// A waiting client sends nothing. A closed connection and data sent before the response both
    /// end the request.
    fn client_is_waiting(&self) -> bool {
        self.client_stream.upgrade().is_some_and(|client_stream| is_idle(&client_stream))
    }

    fn write_to<'a>(
        &'a self,
        stream: &'a Async<TcpStream>,
        time_left: Span,
    ) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(self.write_request(stream, time_left))
    }

    fn read_response<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<ServerResponse>> {
        Box::pin(async move {
            let reader = ResponseReader::start(stream).await.ok()?;
            server_response::read(reader, stream, &self.frontend.engine.message_memory).await
        })
    }
}
