//! The health check for RESP servers.

use crate::server_reply::ServerReply;
use chalkwalk_engine::response::{BoxFuture, HealthCheck};
use chalkwalk_resp::{FrameKind, Writer};
use chalkwalk_sockets::{MessageMemory, write_all};
use smol::Async;
use std::net::TcpStream;

/// The memory that the reply to a health check may hold. A longer reply never completes.
const MAX_REPLY_BYTES: usize = 32 << 10;

/// Sends `PING`, which a healthy server answers at once. A server that is loading its data set
/// replies with an error, counts as unhealthy, and gets no requests.
pub struct PingHealthCheck;

impl HealthCheck for PingHealthCheck {
    fn check<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<bool>> {
        Box::pin(async move {
            let mut out = Writer::default();
            out.command(&[b"PING"]);
            write_all(stream, &[out.as_bytes()]).await.ok()?;
            let reply =
                ServerReply::read(stream, false, &MessageMemory::with_shares(MAX_REPLY_BYTES, 0)).await?;
            (reply.kind() == FrameKind::SimpleString).then_some(reply.reusable)
        })
    }
}
