//! One connection of a client to a proxy: writes requests and reads responses in the experiment's
//! protocol.

use crate::clock::{Micros, micros_from_seconds, seconds_from_micros};
use crate::evidence::RequestId;
use crate::experiment::{Experiment, Protocol, Repeats};
use crate::load::plan::Arrival;
use crate::resp::{self, RespReply};
use crate::simulated_services::body::body_matches;
use crate::wire::{Connection, ReadError};
use std::io;

/// The value that write requests set.
const NEW_VALUE: &[u8] = b"new value";

/// A connection and the proxy at its other end.
pub(super) struct ClientConnection {
    pub connection: Connection,
    pub proxy: usize,
}

/// One request of a client: the first try or a retry.
pub(super) struct Try<'a> {
    pub experiment: &'a Experiment,
    pub arrival: &'a Arrival,
    pub id: RequestId,
    /// The id of the first try, whose effect this request repeats.
    pub first_id: RequestId,
    pub is_retry: bool,
}

/// The response to a client's request.
pub(super) struct ClientAnswer {
    pub status: u16,
    pub retry_after: Option<Micros>,
    /// Whether the body belongs to this request.
    pub is_own_value: bool,
    /// Whether the proxy closes the connection after the response.
    pub close: bool,
}

impl Try<'_> {
    /// The time limit.
    pub fn limit(&self) -> Micros {
        micros_from_seconds(self.experiment.classes[self.arrival.class].limit_ms / 1e3)
    }

    /// Writes the request.
    pub async fn write(&self, connection: &Connection) -> io::Result<()> {
        match self.experiment.fleet.protocol() {
            Protocol::Resp => connection.write(&[&self.resp_command()]).await,
            Protocol::Http => {
                let body = self.body();
                connection.write(&[self.http_head(body.len()).as_bytes(), body]).await
            }
        }
    }

    fn body(&self) -> &'static [u8] {
        if self.experiment.classes[self.arrival.class].write { NEW_VALUE } else { b"" }
    }

    /// Encodes the request as a RESP command. The hash tag in braces decides the key's slot; after
    /// it, the key has the id of this request and the id of its first try.
    fn resp_command(&self) -> Vec<u8> {
        let class = &self.experiment.classes[self.arrival.class];
        let (id, first_id) = (self.id, self.first_id);
        let key = format!("{}:{{k{}}}:{id:016x}:{first_id:016x}", class.name, self.arrival.key);
        if class.write {
            resp::encode_command(&[b"SET", key.as_bytes(), NEW_VALUE])
        } else {
            resp::encode_command(&[b"GET", key.as_bytes()])
        }
    }

    fn http_head(&self, body_length: usize) -> String {
        let class = &self.experiment.classes[self.arrival.class];
        let mut head = format!(
            "{} /api/k{} HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: {:016x}\r\n\
             X-Service-Class: {}\r\nX-Time-Left: {:.4}\r\n",
            if class.write { "PUT" } else { "GET" },
            self.arrival.key,
            self.id,
            class.name,
            seconds_from_micros(self.limit()),
        );
        if let Some(tenant) = self.experiment.load.tenants.get(self.arrival.tenant) {
            head += &format!("X-Facts: tenant={}\r\n", tenant.name);
        }
        if self.is_retry {
            head += "X-Repeat: 1\r\n";
        }
        if class.repeats() == Repeats::Tagged {
            head += &format!("Idempotency-Key: t{:016x}\r\n", self.first_id);
        }
        head + &format!("Content-Length: {body_length}\r\n\r\n")
    }

    /// Reads the response.
    pub async fn read_answer(&self, connection: &mut Connection) -> Result<ClientAnswer, ReadError> {
        match self.experiment.fleet.protocol() {
            Protocol::Resp => self.read_resp(connection).await,
            Protocol::Http => self.read_http(connection).await,
        }
    }

    async fn read_resp(&self, connection: &mut Connection) -> Result<ClientAnswer, ReadError> {
        let reply = resp::read_reply(connection).await?;
        let (status, retry_after) = reply.status();
        let is_write = self.experiment.classes[self.arrival.class].write;
        let is_own_value = match &reply {
            // The response to a write does not name the request that it belongs to.
            RespReply::Value(body) => is_write || body_matches(body, self.id),
            _ => true,
        };
        Ok(ClientAnswer { status, retry_after, is_own_value, close: false })
    }

    async fn read_http(&self, connection: &mut Connection) -> Result<ClientAnswer, ReadError> {
        let message = connection.read_response().await?;
        let retry_after = message.field("Retry-After").and_then(|value| value.parse::<f64>().ok());
        Ok(ClientAnswer {
            status: message.status,
            retry_after: retry_after.map(micros_from_seconds),
            is_own_value: message.status != 200 || body_matches(message.body(), self.id),
            close: message.close,
        })
    }
}
