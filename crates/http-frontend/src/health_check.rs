//! The health check of a server, as defined by the platform.

use chalkwalk_engine::response::{BoxFuture, HealthCheck};
use chalkwalk_http1 as http1;
use smol::Async;
use std::net::TcpStream;

const HEALTH_PATH: &str = "/alive";

/// Checks that a server responds to `GET /alive` with status 200.
pub struct HttpHealthCheck;

impl HealthCheck for HttpHealthCheck {
    fn check<'a>(&'a self, stream: &'a Async<TcpStream>) -> BoxFuture<'a, Option<bool>> {
        Box::pin(async move {
            let addr = stream.get_ref().peer_addr().ok()?;
            let message = http1::get(stream, addr, HEALTH_PATH, http1::MAX_BUFFERED_BODY_BYTES).await.ok()?;
            (message.status == 200).then_some(!message.close)
        })
    }
}
