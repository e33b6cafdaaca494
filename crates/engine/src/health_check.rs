//! Checks the health of one server, on a new connection.

use crate::connect;
use crate::engine::Engine;
use chalkwalk_balancer::ServerIndex;
use chalkwalk_sockets::with_timeout;

/// The time limit of a check, in connect timeouts: one to connect, and one for the response.
const CONNECT_TIMEOUTS_PER_CHECK: u32 = 2;

/// Checks a server. Returns whether it passed.
pub(crate) async fn check(engine: &Engine, server: ServerIndex) -> bool {
    let timeout = engine.config.connect_timeout.get() * CONNECT_TIMEOUTS_PER_CHECK;
    let passed = with_timeout(timeout, check_on_new_connection(engine, server)).await.flatten().is_some();
    if !passed {
        // An idle connection to a machine that vanished is reset only after the machine is back,
        // and only by the first request sent on the connection.
        engine.pool.close_all(server);
    }
    passed
}

async fn check_on_new_connection(engine: &Engine, server: ServerIndex) -> Option<()> {
    let connection = connect::new_connection(engine, server).await.ok()?;
    if !engine.requests.borrow().may_send_to(server) {
        return None;
    }
    let reusable = engine.health_check.check(&connection.stream).await?;
    if reusable {
        connect::return_to_pool(engine, server, connection);
    }
    Some(())
}
