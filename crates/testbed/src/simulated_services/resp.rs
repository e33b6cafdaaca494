//! Servers that speak RESP as cluster nodes, following the public specification: slots,
//! redirections, replicas, loading.

use super::body::body;
use super::decide::Attempt;
use super::server::{closes_connection, wait_until_due};
use super::{ConnectionCount, SimulatedServices};
use crate::clock::{MILLISECOND, Micros};
use crate::evidence::{ClientRequest, EventKind, RequestId};
use crate::model::cluster::{Command, CommandOutcome, RANK_COUNT};
use crate::model::server::{PlannedReply, Reply};
use crate::resp::{Arguments, bulk, key_slot, read_command};
use crate::wire::Connection;

/// Processing time of a health check.
const HEALTH_CHECK_WORK: Micros = MILLISECOND / 2;
/// Multiplier that spreads keys evenly over the ranks in which they migrate: 2^64 divided by the
/// golden ratio.
const RANK_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
const LOADING_ERROR: &[u8] = b"-LOADING the data set is loaded\r\n";

/// The ids in a key of the testbed, `namespace:{kN}:ID:FIRST`, where N is the number of the
/// requested key.
struct RequestKey {
    id: RequestId,
    /// The id of the client's first try (FIRST), as text.
    tag: Vec<u8>,
}

impl RequestKey {
    fn parse(text: &[u8]) -> Option<RequestKey> {
        let text = std::str::from_utf8(text).ok()?;
        let mut parts = text.rsplit(':');
        let first_try = parts.next()?;
        let id = parts.next()?;
        Some(RequestKey { id: RequestId::from_str_radix(id, 16).ok()?, tag: first_try.as_bytes().to_vec() })
    }
}

/// The server's end of a connection from a proxy.
struct RespConnection<'a> {
    services: &'a SimulatedServices,
    server: usize,
    proxy: usize,
    /// Whether ASKING was sent for the next command.
    asking: bool,
    readonly: bool,
}

/// A command on a key, and the client request that it belongs to.
struct KeyCommand {
    name: String,
    key: RequestKey,
    slot: u16,
    request: ClientRequest,
}

/// Serves commands on a connection until it ends.
pub(super) async fn serve_attempts(
    services: &SimulatedServices,
    server: usize,
    proxy: usize,
    connection: &mut Connection,
) {
    let _count = ConnectionCount::new(&services.connections[server]);
    let mut resp_connection = RespConnection { services, server, proxy, asking: false, readonly: false };
    while resp_connection.serve_next(connection).await.is_some() {}
}

impl RespConnection<'_> {
    /// Serves one command; `None` if the connection ends.
    async fn serve_next(&mut self, connection: &mut Connection) -> Option<()> {
        let arguments = read_command(connection).await.ok()?;
        let started_at = self.services.clock.now();
        let command_name = arguments.first().map_or(&[][..], Vec::as_slice);
        let name = String::from_utf8_lossy(command_name).to_uppercase();
        if let Some(answer) = self.answer_without_key(&name, started_at).await {
            return connection.write(&[&answer]).await.ok();
        }
        let command = self.identify(connection, name, &arguments).await?;
        let server = self.server as u16;
        self.record_at(started_at, command.key.id, EventKind::AttemptStarted { server });
        let (plan, answer) = self.plan(&command);
        self.reply(connection, command.key.id, plan, &answer).await
    }

    fn record_at(&self, at: Micros, id: RequestId, kind: EventKind) {
        self.services.recorder.record_at(at, id, self.proxy, kind);
    }

    fn address(&self, node: usize) -> String {
        self.services.addresses.server_address(self.proxy, node, self.services.origin_index()).to_string()
    }

    /// The answer to a command that has no key.
    async fn answer_without_key(&mut self, name: &str, now: Micros) -> Option<Vec<u8>> {
        let services = self.services;
        match name {
            "PING" => {
                let done = services.timelines.servers[self.server].speed.completion(now, HEALTH_CHECK_WORK);
                services.clock.sleep_until(done).await;
                let loading = services.cluster.is_loading(self.server, done);
                Some(if loading { LOADING_ERROR.to_vec() } else { b"+PONG\r\n".to_vec() })
            }
            "ASKING" => {
                self.asking = true;
                Some(b"+OK\r\n".to_vec())
            }
            "READONLY" => {
                self.readonly = true;
                Some(b"+OK\r\n".to_vec())
            }
            "CLUSTER" => {
                let addr = |node| self.address(node);
                let text = services.cluster.nodes_reply(self.server, now, services.origin_index(), addr);
                Some(bulk(text.as_bytes()))
            }
            _ => None,
        }
    }

    /// Finds the client request that a command belongs to. A command that belongs to none is
    /// recorded and rejected.
    async fn identify(
        &self,
        connection: &Connection,
        name: String,
        arguments: &Arguments,
    ) -> Option<KeyCommand> {
        let key_text = arguments.get(1).map_or(&[][..], Vec::as_slice);
        let Some(key) = RequestKey::parse(key_text) else {
            _ = connection.write(&[b"-ERR no key of the lab's\r\n"]).await;
            return None;
        };
        let Some(request) = self.services.recorder.request(key.id) else {
            let unknown = EventKind::UnknownRequest { server: self.server as u16 };
            self.services.recorder.record(key.id, self.proxy, unknown);
            _ = connection.write(&[b"-ERR an id that nobody sent\r\n"]).await;
            return None;
        };
        Some(KeyCommand { name, key, slot: key_slot(key_text), request })
    }

    /// Decides the outcome of a command that was received completely, and its answer.
    fn plan(&mut self, command: &KeyCommand) -> (PlannedReply, Vec<u8>) {
        let now = self.services.clock.now();
        let is_write = command.name == "SET";
        let server = self.server as u16;
        self.record_at(now, command.key.id, EventKind::AttemptReceived { server, is_write });
        if let Some((reply, answer)) = self.refusal(command, is_write, now) {
            return (PlannedReply::no_effect(reply, now), answer);
        }
        let plan = self.services.decide(&Attempt {
            server: self.server,
            proxy: self.proxy,
            now,
            id: command.key.id,
            request: &command.request,
            is_write,
            tag: Some(&command.key.tag),
        });
        (plan, self.answer(command, is_write, plan.reply))
    }

    /// The answer of a server that does not hold the key, or does not hold it yet.
    fn refusal(&mut self, command: &KeyCommand, is_write: bool, now: Micros) -> Option<(Reply, Vec<u8>)> {
        let slot = command.slot;
        let rank = (command.request.key.wrapping_mul(RANK_FACTOR) >> 32) % RANK_COUNT;
        let asking = std::mem::take(&mut self.asking);
        let cluster_command = Command { slot, rank, asking, readonly: self.readonly, is_write };
        let (reply, answer) = match self.services.cluster.handle(self.server, now, cluster_command) {
            CommandOutcome::Execute => return None,
            CommandOutcome::Moved(target) => {
                (Reply::Miss, format!("-MOVED {slot} {}\r\n", self.address(target)).into_bytes())
            }
            CommandOutcome::Ask(target) => {
                (Reply::Miss, format!("-ASK {slot} {}\r\n", self.address(target)).into_bytes())
            }
            CommandOutcome::TryAgain => (Reply::Unprocessed, b"-TRYAGAIN the key is on its way\r\n".to_vec()),
            CommandOutcome::Loading => (Reply::Unprocessed, LOADING_ERROR.to_vec()),
        };
        Some((reply, answer))
    }

    /// The encoded reply.
    fn answer(&self, command: &KeyCommand, is_write: bool, reply: Reply) -> Vec<u8> {
        let request = &command.request;
        let bytes = self.services.experiment.classes[request.class_index].bytes;
        let value = || body(command.key.id, request.key, self.server, bytes);
        match reply {
            Reply::Hit | Reply::Fetched if is_write => b"+OK\r\n".to_vec(),
            Reply::Hit | Reply::Fetched => bulk(&value()),
            Reply::Unprocessed => b"-LOADING busy\r\n".to_vec(),
            Reply::Truncated => {
                let value = value();
                bulk(&value)[..value.len() / 2].to_vec()
            }
            Reply::Garbage => b"?what\r\n".to_vec(),
            Reply::Error | Reply::Miss => b"-ERR failed\r\n".to_vec(),
            Reply::NoReply | Reply::Reset => Vec::new(),
        }
    }

    async fn reply(
        &self,
        connection: &mut Connection,
        id: RequestId,
        plan: PlannedReply,
        answer: &[u8],
    ) -> Option<()> {
        let server = self.server as u16;
        let aborted = EventKind::AttemptAborted { server };
        if !wait_until_due(self.services, connection, &plan).await {
            self.services.recorder.record(id, self.proxy, aborted);
            return None;
        }
        // Recorded with the time before the write, because the proxy may act on the reply before
        // the write returns.
        let replied = self.services.clock.now();
        if connection.write(&[answer]).await.is_err() {
            self.services.recorder.record(id, self.proxy, aborted);
            return None;
        }
        self.record_at(replied, id, EventKind::Replied { server, reply: plan.reply });
        (!closes_connection(connection, &plan)).then_some(())
    }
}
