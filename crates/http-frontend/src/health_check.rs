//! The platform's health check of a server.

use chalkwalk_engine::response::{BoxFuture, HealthCheck};
use chalkwalk_http1 as http1;
use smol::Async;
use std::net::TcpStream;

const HEALTH_PATH: &str = "/alive";

/// A server passes if it answers `GET /alive` with status 200.
pub struct AliveCheck;

impl HealthCheck for AliveCheck {
    fn check<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<bool>> {
        Box::pin(async move {
            let host = stream.get_ref().peer_addr().ok()?;
            let message = http1::get(stream, host, HEALTH_PATH, http1::MAX_BUFFERED_BODY).await.ok()?;
            (message.status == 200).then_some(!message.close)
        })
    }
}
